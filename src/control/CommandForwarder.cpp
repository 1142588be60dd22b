#include "control/CommandForwarder.h"

#include "control/CommandMessages.h"
#include "control/LeaderEndpoints.h"
#include "http/HttpClient.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

namespace foxtail {
namespace {

/// Timeout of one attempt: a lost leader is replaced within this time, and the
/// next attempt reaches the new one.
constexpr milliseconds kAttemptTimeout{ 400 };
constexpr milliseconds kRetryPause{ 40 };

absl::Status NotAppliedError()
{
  return MakeError(ErrorKind::Conflict, "another command was applied first");
}

} // namespace

CommandForwarder::CommandForwarder(ReplicatedControl& aControl,
                                   FrameTransport& aFrames)
  : control_(aControl)
  , frames_(aFrames)
{
}

boost::asio::awaitable<absl::Status> CommandForwarder::Commit(
  CommandFactory aMake,
  TimePoint aDeadline)
{
  boost::asio::steady_timer pause(co_await boost::asio::this_coro::executor);
  absl::Status status;
  while (true) {
    const auto left = std::chrono::ceil<milliseconds>(aDeadline - Now());
    // g++ 12 destroys temporaries within an awaited expression twice.
    auto attempt =
      CommitOnce(aMake, std::clamp(left, milliseconds(1), kAttemptTimeout));
    const absl::Status before =
      std::exchange(status, co_await std::move(attempt));
    if (KindOf(status) == ErrorKind::Conflict) {
      // An attempt whose outcome is unknown may be what this one conflicts
      // with.
      co_return before.ok() ? status : before;
    }
    if (status.ok() || Now() + kRetryPause >= aDeadline) {
      break;
    }
    pause.expires_after(kRetryPause);
    co_await pause.async_wait(boost::asio::use_awaitable);
  }
  co_return status;
}

boost::asio::awaitable<absl::Status> CommandForwarder::CommitOnce(
  CommandFactory aMake,
  milliseconds aTimeout)
{
  struct Attempt
  {
    std::string leader_;
    CommandBody body_;
  };
  auto inspection =
    control_.Inspect([make = std::move(aMake)](const ConsensusNode& aNode,
                                               const ControlState& aState) {
      return Attempt{ LeaderFrameEndpoint(aNode, aState), make(aState) };
    });
  Attempt attempt = co_await std::move(inspection);
  if (!attempt.leader_.empty()) {
    auto sending =
      SendToLeader(attempt.leader_, std::move(attempt.body_), aTimeout);
    co_return co_await std::move(sending);
  }
  auto submission = control_.Submit(std::move(attempt.body_), aTimeout);
  const auto result = co_await std::move(submission);
  if (!result.ok()) {
    co_return result.status();
  }
  co_return IsApplied(*result) ? absl::OkStatus() : NotAppliedError();
}

boost::asio::awaitable<absl::Status> CommandForwarder::SendToLeader(
  std::string aLeader,
  CommandBody aBody,
  milliseconds aTimeout)
{
  const auto endpoint = ParseEndpoint(aLeader);
  if (!endpoint.ok()) {
    co_return endpoint.status();
  }
  Frame frame;
  frame.kind_ = FrameKind::Command;
  frame.payload_ = EncodeCommand({ {}, std::move(aBody) });
  auto call = frames_.Call(*endpoint, std::move(frame), aTimeout);
  const auto answer = co_await std::move(call);
  if (!answer.ok()) {
    co_return answer.status();
  }
  const auto reply = DecodeCommandReply(answer->payload_);
  if (!reply.ok()) {
    co_return reply.status();
  }
  if (reply->status_ != CommandReplyStatus::Done) {
    co_return MakeError(ErrorKind::NoQuorum,
                        "the leader did not confirm the command: " +
                          std::string(NameOf(reply->status_)) +
                          "; send it again, or to another control instance");
  }
  co_return reply->result_.state_ == ClaimState::Granted ? absl::OkStatus()
                                                         : NotAppliedError();
}

} // namespace foxtail
