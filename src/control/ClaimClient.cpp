#include "control/ClaimClient.h"

#include "control/ClaimTable.h"
#include "core/Log.h"
#include "http/HttpClient.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace foxtail {
namespace {

/// Timeout of one attempt, so that a lost leader does not use up the whole
/// deadline.
constexpr milliseconds kAttemptTimeout{ 700 };
/// Delay between attempts while there is no leader.
constexpr milliseconds kRetryPause{ 25 };
constexpr milliseconds kReleaseTimeout{ 10000 };
/// Largest answer that is recorded with a claim, in bytes.
constexpr size_t kMaxRecordBytes = 1024 * 1024;

} // namespace

ClaimClient::ClaimClient(const std::vector<ControlPeer>& aPeers,
                         FrameTransport& aFrames,
                         Metrics& aMetrics,
                         uint64_t aSeed)
  : frames_(aFrames)
  , random_(aSeed)
  , resends_(aMetrics.Counter("foxtail_claim_resends_total",
                              "Claims, records and releases sent again"))
  , claimSeconds_(
      aMetrics.SecondsHistogram("foxtail_claim_seconds",
                                "Time to claim a key, failures included"))
{
  for (const ControlPeer& peer : aPeers) {
    if (const auto endpoint = ParseEndpoint(peer.endpoint_); endpoint.ok()) {
      endpoints_.push_back(*endpoint);
    }
  }
  if (!endpoints_.empty()) {
    target_ = endpoints_.front();
  }
}

boost::asio::awaitable<absl::StatusOr<ClaimResult>> ClaimClient::Claim(
  ClaimRequest aRequest,
  milliseconds aTimeout)
{
  const TimePoint begin = Now();
  const GrantId grant = NewGrant();
  PendingCommand command;
  command.payload_ = EncodeCommand({ {}, ClaimAction{ aRequest, grant, {} } });
  command.deadline_ = begin + aTimeout;
  auto result = co_await Send(command);
  claimSeconds_.Observe(std::chrono::duration<double>(Now() - begin).count());
  if (result.ok() && result->state_ == ClaimState::Granted) {
    StoreGrant(aRequest, grant);
  } else if (!result.ok() && command.mayBeAppended_) {
    // Nothing is dispatched under this grant. Its release lets a later resend
    // of the caller be granted.
    ReleaseInBackground(
      co_await boost::asio::this_coro::executor, aRequest, grant);
  }
  co_return result;
}

boost::asio::awaitable<absl::Status> ClaimClient::Record(ClaimRequest aRequest,
                                                         ActionRecord aRecord,
                                                         milliseconds aTimeout)
{
  if (aRecord.body_.size() > kMaxRecordBytes) {
    co_return MakeError(ErrorKind::InvalidRequest,
                        "the answer is too large to be recorded; "
                        "resends get the outcome unknown");
  }
  PendingCommand command;
  command.payload_ = EncodeCommand(
    { {}, RecordAction{ aRequest, GrantOf(aRequest), std::move(aRecord) } });
  command.deadline_ = Now() + aTimeout;
  const auto result = co_await Send(command);
  EraseGrant(aRequest);
  if (!result.ok()) {
    co_return result.status();
  }
  if (result->state_ != ClaimState::Granted) {
    co_return MakeError(ErrorKind::Conflict,
                        "this instance no longer holds the claim: its "
                        "retention has passed");
  }
  co_return absl::OkStatus();
}

boost::asio::awaitable<absl::Status> ClaimClient::Release(ClaimRequest aRequest,
                                                          milliseconds aTimeout)
{
  PendingCommand command;
  command.payload_ =
    EncodeCommand({ {}, ReleaseAction{ aRequest, GrantOf(aRequest), {} } });
  command.deadline_ = Now() + aTimeout;
  const auto result = co_await Send(command);
  EraseGrant(aRequest);
  co_return result.status();
}

void ClaimClient::ReleaseInBackground(
  const boost::asio::any_io_executor& aExecutor,
  ClaimRequest aRequest,
  GrantId aGrant)
{
  LogLine(LogLevel::Info, "claim_abandoned")
    .Add("service", aRequest.service_)
    .Add("request", aRequest.request_)
    .Add("reason", "no reply before the deadline; the grant is released");
  boost::asio::co_spawn(
    aExecutor, SendRelease(std::move(aRequest), aGrant), boost::asio::detached);
}

boost::asio::awaitable<void> ClaimClient::SendRelease(ClaimRequest aRequest,
                                                      GrantId aGrant)
{
  PendingCommand command;
  command.payload_ =
    EncodeCommand({ {}, ReleaseAction{ aRequest, aGrant, {} } });
  command.deadline_ = Now() + kReleaseTimeout;
  (void)co_await Send(command);
}

boost::asio::awaitable<absl::StatusOr<ClaimResult>> ClaimClient::Send(
  PendingCommand& aCommand)
{
  boost::asio::steady_timer pause(co_await boost::asio::this_coro::executor);
  while (Now() < aCommand.deadline_) {
    const FrameTransport::Endpoint target = Target();
    const auto reply = co_await SendOnce(aCommand);
    if (reply.ok() && reply->status_ == CommandReplyStatus::Done) {
      co_return reply->result_;
    }
    if (reply.ok() && reply->status_ == CommandReplyStatus::Overloaded &&
        !aCommand.mayBeAppended_) {
      co_return MakeError(ErrorKind::Overloaded,
                          "the control instances accept no further claims at "
                          "present; resend later");
    }
    const bool isRedirected = reply.ok() &&
                              reply->status_ == CommandReplyStatus::NotLeader &&
                              !reply->leader_.empty();
    if (isRedirected) {
      SetTarget(reply->leader_);
    } else {
      SelectNextTarget(target);
    }
    // The first redirect is followed at once; further ones mean that an
    // election is in progress.
    if (!isRedirected || aCommand.attempts_ > 1) {
      pause.expires_after(kRetryPause);
      co_await pause.async_wait(boost::asio::use_awaitable);
    }
  }
  co_return TimeoutError(aCommand);
}

boost::asio::awaitable<absl::StatusOr<CommandReply>> ClaimClient::SendOnce(
  PendingCommand& aCommand)
{
  if (++aCommand.attempts_ > 1) {
    resends_.Increment();
  }
  const auto left = std::chrono::ceil<milliseconds>(aCommand.deadline_ - Now());
  // These are named variables because g++ 12 destroys temporaries of a co_await
  // expression twice.
  Frame request;
  request.kind_ = FrameKind::Command;
  request.payload_ = aCommand.payload_;
  const FrameTransport::Endpoint target = Target();
  auto call = frames_.Call(target,
                           std::move(request),
                           std::clamp(left, milliseconds(1), kAttemptTimeout));
  const auto frame = co_await std::move(call);
  if (!frame.ok()) {
    const bool isNothingSent = KindOf(frame.status()) == ErrorKind::Unavailable;
    aCommand.mayBeAppended_ |= !isNothingSent;
    co_return frame.status();
  }
  auto reply = DecodeCommandReply(frame->payload_);
  const bool isAppended =
    !reply.ok() || reply->status_ == CommandReplyStatus::Unknown;
  aCommand.mayBeAppended_ |= isAppended;
  co_return reply;
}

absl::Status ClaimClient::TimeoutError(const PendingCommand& aCommand) const
{
  if (aCommand.mayBeAppended_) {
    return MakeError(ErrorKind::DeadlineExceeded,
                     "no control instance confirmed the claim before the "
                     "deadline; resend under the same key");
  }
  return MakeError(ErrorKind::NoQuorum,
                   "no leader among the control instances can be reached from "
                   "here, so the key was not claimed; resend under the same "
                   "key, or through another availability zone");
}

FrameTransport::Endpoint ClaimClient::Target()
{
  const std::lock_guard lock(mutex_);
  return target_;
}

void ClaimClient::SetTarget(const std::string& aLeader)
{
  const auto endpoint = ParseEndpoint(aLeader);
  if (!endpoint.ok()) {
    return;
  }
  const std::lock_guard lock(mutex_);
  target_ = *endpoint;
}

void ClaimClient::SelectNextTarget(const FrameTransport::Endpoint& aFailed)
{
  const std::lock_guard lock(mutex_);
  // Another request may have set a new target in the meantime.
  if (endpoints_.empty() || target_ != aFailed) {
    return;
  }
  targetIndex_ = (targetIndex_ + 1) % endpoints_.size();
  target_ = endpoints_[targetIndex_];
}

GrantId ClaimClient::NewGrant()
{
  const std::lock_guard lock(mutex_);
  return GrantId(random_.Next());
}

GrantId ClaimClient::GrantOf(const ClaimRequest& aRequest)
{
  const std::lock_guard lock(mutex_);
  const auto found = grants_.find(ClaimTable::KeyOf(aRequest));
  return found == grants_.end() ? GrantId() : found->second;
}

void ClaimClient::StoreGrant(const ClaimRequest& aRequest, GrantId aGrant)
{
  const std::lock_guard lock(mutex_);
  grants_[ClaimTable::KeyOf(aRequest)] = aGrant;
}

void ClaimClient::EraseGrant(const ClaimRequest& aRequest)
{
  const std::lock_guard lock(mutex_);
  grants_.erase(ClaimTable::KeyOf(aRequest));
}

} // namespace foxtail
