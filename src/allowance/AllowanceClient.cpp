#include "allowance/AllowanceClient.h"

#include "core/Log.h"
#include "core/Metrics.h"
#include "instance/Endpoint.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <utility>

namespace foxtail {

namespace asio = boost::asio;

namespace {

/// How long a control instance may wait for others, by its distance: the reply
/// must arrive within callTimeout_.
microseconds PeerWait(const AllowanceSettings& aSettings, int aDistance)
{
  constexpr milliseconds kNearReserve{ 5 };
  constexpr milliseconds kFarReserve{ 20 };
  return duration_cast<microseconds>(aSettings.callTimeout_) -
         (aDistance < 2 ? kNearReserve : kFarReserve);
}

} // namespace

AllowanceClient::AllowanceClient(AllowanceSettings aSettings,
                                 FrameTransport& aFrames,
                                 asio::io_context& aContext,
                                 Metrics& aMetrics,
                                 Controls aControls)
  : settings_(aSettings)
  , frames_(aFrames)
  , context_(aContext)
  , controls_(std::move(aControls))
  , held_(aSettings)
  , choice_(aSettings)
  , timer_(aContext)
  , granted_(aMetrics.Counter("foxtail_allowance_permits_total",
                              "Permits used by requests"))
  , refused_(aMetrics.Counter("foxtail_allowance_refusals_total",
                              "Requests refused as over their quota"))
  , unavailable_(
      aMetrics.Counter("foxtail_allowance_unanswered_total",
                       "Requests for which no control instance answered"))
  , returned_(aMetrics.Counter("foxtail_allowance_returned_total",
                               "Permits returned by requests that did not run"))
  , expired_(aMetrics.Counter("foxtail_allowance_held_expired_total",
                              "Permits that expired unused here"))
{
}

AllowanceClient::~AllowanceClient() = default;

PermitDecision AllowanceClient::Take(const std::string& aName, TimePoint aNow)
{
  // A request does not overtake those that wait.
  const auto queue = queues_.find(aName);
  const PermitDecision decision = held_.Take(aName, aNow);
  if (const auto* permit = std::get_if<Permit>(&decision)) {
    if (queue != queues_.end() && !queue->second.waiting_.empty()) {
      held_.Return(aName, *permit, aNow);
      return PermitMissing{};
    }
    granted_.Increment();
  } else if (std::holds_alternative<PermitRefused>(decision)) {
    refused_.Increment();
  }
  expired_.Increment(static_cast<double>(held_.TakeExpired()));
  return decision;
}

std::shared_ptr<void> AllowanceClient::Wait(const std::string& aName,
                                            DocumentVersion aVersion,
                                            TimePoint aUntil,
                                            Callback aCallback)
{
  version_ = std::max(version_, std::optional(aVersion));
  auto waiting =
    std::make_shared<Waiting>(Waiting{ aUntil, std::move(aCallback) });
  queues_[aName].waiting_.push_back(waiting);
  ScheduleFlush();
  if (aUntil < timerAt_) {
    ScheduleTimer();
  }
  return waiting;
}

void AllowanceClient::Return(const std::string& aName,
                             Permit aPermit,
                             TimePoint aNow)
{
  returned_.Increment();
  held_.Return(aName, aPermit, aNow);
  if (queues_.contains(aName)) {
    ScheduleFlush();
  }
}

void AllowanceClient::ScheduleFlush()
{
  if (!std::exchange(isFlushScheduled_, true)) {
    asio::post(context_, [this] {
      isFlushScheduled_ = false;
      Flush();
    });
  }
}

void AllowanceClient::Flush()
{
  const TimePoint now = Now();
  std::vector<std::string> names;
  names.reserve(queues_.size());
  for (const auto& [name, queue] : queues_) {
    names.push_back(name);
  }
  for (const std::string& name : names) {
    Complete(name, std::nullopt, now);
  }
  const auto controls = controls_(now);
  const AllowanceControl* control = choice_.Choose(controls, now);
  if (control == nullptr || !choice_.MaySend(control->endpoint_)) {
    // The next reply or the end of a wait leads to another flush.
    return;
  }
  std::vector<std::string> first;
  std::vector<std::string> again;
  for (auto& [name, queue] : queues_) {
    if (!queue.isAsked_) {
      // A second message to a far instance takes too long.
      const bool mayWait = queue.isShort_ || control->distance_ >= 2;
      auto& list = mayWait ? again : first;
      if (list.size() < kMaxAllowanceAsks) {
        list.push_back(name);
      }
    }
  }
  if (!first.empty()) {
    SendBatch(*control, first, false, now);
  }
  if (!again.empty() && choice_.MaySend(control->endpoint_)) {
    SendBatch(*control, again, true, now);
  }
}

void AllowanceClient::SendBatch(const AllowanceControl& aControl,
                                const std::vector<std::string>& aNames,
                                bool aMayWait,
                                TimePoint aNow)
{
  AllowanceRequest request;
  request.version_ = version_;
  request.wait_ =
    aMayWait ? PeerWait(settings_, aControl.distance_) : microseconds(0);
  for (const std::string& name : aNames) {
    Queue& queue = queues_[name];
    queue.isAsked_ = true;
    request.asks_.push_back(held_.MakeAsk(name, queue.waiting_.size(), aNow));
  }
  choice_.OnSent(aControl.endpoint_);
  asio::co_spawn(
    context_, Ask(aControl.endpoint_, std::move(request)), asio::detached);
}

asio::awaitable<void> AllowanceClient::Ask(std::string aEndpoint,
                                           AllowanceRequest aRequest)
{
  absl::Status status = MakeError(ErrorKind::InvalidSettings,
                                  "the endpoint of a control instance is no "
                                  "address and port");
  const TimePoint askedAt = Now();
  AllowanceReply reply;
  if (const auto endpoint = ToEndpoint(aEndpoint)) {
    Frame frame{ FrameKind::Allowance, 0, EncodeAllowanceRequest(aRequest) };
    // g++ 12 destroys temporaries within an awaited expression twice.
    auto call =
      frames_.Call(*endpoint, std::move(frame), settings_.callTimeout_);
    const auto result = co_await std::move(call);
    status = result.status();
    if (result.ok()) {
      auto decoded = DecodeAllowanceReply(result->payload_);
      status = decoded.status();
      if (decoded.ok()) {
        reply = *std::move(decoded);
      }
    }
  }
  const TimePoint now = Now();
  if (status.ok() && !reply.gives_) {
    status = MakeError(ErrorKind::Unavailable,
                       "the control instance is in no contact with a majority; "
                       "check its network");
  }
  for (const AllowanceAsk& ask : aRequest.asks_) {
    if (const auto queue = queues_.find(ask.name_); queue != queues_.end()) {
      queue->second.isAsked_ = false;
    }
  }
  if (status.ok()) {
    choice_.OnReply(aEndpoint, now - askedAt);
    ApplyReply(reply, askedAt, now);
  } else {
    choice_.OnFailure(aEndpoint, now);
    LogLine(LogLevel::Info, "allowance_control_skipped")
      .Add("endpoint", aEndpoint)
      .Add("error", status);
  }
  Flush();
}

void AllowanceClient::ApplyReply(const AllowanceReply& aReply,
                                 TimePoint aAskedAt,
                                 TimePoint aNow)
{
  for (const AllowanceGrant& grant : aReply.grants_) {
    held_.OnGrant(grant, aAskedAt, aNow);
    const auto queue = queues_.find(grant.name_);
    if (queue == queues_.end()) {
      continue;
    }
    queue->second.isShort_ = grant.outcome_ == AllowanceOutcome::Short;
    Complete(grant.name_,
             grant.outcome_ == AllowanceOutcome::Refused
               ? std::optional(held_.RefusedUntil(grant.name_))
               : std::nullopt,
             aNow);
  }
}

void AllowanceClient::Complete(const std::string& aName,
                               std::optional<TimePoint> aRefusedUntil,
                               TimePoint aNow)
{
  const auto found = queues_.find(aName);
  if (found == queues_.end()) {
    return;
  }
  std::deque<std::weak_ptr<Waiting>> kept;
  std::vector<std::pair<std::shared_ptr<Waiting>, PermitOutcome>> ended;
  for (const auto& entry : found->second.waiting_) {
    auto waiting = entry.lock();
    if (waiting == nullptr) {
      continue;
    }
    if (waiting->until_ <= aNow) {
      // A control instance that has none replied in time, others may have some.
      ended.emplace_back(
        std::move(waiting),
        found->second.isShort_
          ? PermitOutcome(PermitRefused{ aNow + settings_.minRefusal_ })
          : PermitOutcome(PermitUnavailable{}));
    } else if (const auto permit = held_.TakeForWaiting(aName, aNow)) {
      ended.emplace_back(std::move(waiting), *permit);
    } else if (aRefusedUntil) {
      ended.emplace_back(std::move(waiting), PermitRefused{ *aRefusedUntil });
    } else {
      kept.push_back(entry);
    }
  }
  if (kept.empty() && !found->second.isAsked_) {
    queues_.erase(found);
  } else {
    found->second.waiting_ = std::move(kept);
  }
  for (const auto& [waiting, outcome] : ended) {
    End(waiting, outcome);
  }
}

void AllowanceClient::End(const std::shared_ptr<Waiting>& aWaiting,
                          PermitOutcome aOutcome)
{
  if (std::holds_alternative<Permit>(aOutcome)) {
    granted_.Increment();
  } else if (std::holds_alternative<PermitRefused>(aOutcome)) {
    refused_.Increment();
  } else {
    unavailable_.Increment();
  }
  // The callback may release the wait, and with it itself.
  const Callback callback = std::exchange(aWaiting->callback_, nullptr);
  callback(aOutcome, Now());
}

void AllowanceClient::ScheduleTimer()
{
  TimePoint next = TimePoint::max();
  for (const auto& [name, queue] : queues_) {
    for (const auto& entry : queue.waiting_) {
      if (const auto waiting = entry.lock()) {
        next = std::min(next, waiting->until_);
      }
    }
  }
  if (next == TimePoint::max() || next >= timerAt_) {
    return;
  }
  timerAt_ = next;
  timer_.expires_at(next);
  timer_.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      timerAt_ = TimePoint::max();
      Flush();
      ScheduleTimer();
    }
  });
}

} // namespace foxtail
