#include "control/CommandServer.h"

#include "control/CommandMessages.h"
#include "control/LeaderEndpoints.h"

namespace foxtail {
namespace {

/// Time that a command waits for a quorum before the reply is Unknown.
constexpr milliseconds kCommitTimeout{ 2000 };

ClaimResult ResultOf(const CommandResult& aResult)
{
  if (const auto* claim = std::get_if<ClaimResult>(&aResult)) {
    return *claim;
  }
  return { IsApplied(aResult) ? ClaimState::Granted : ClaimState::Mismatch,
           {} };
}

/// Documents are validated by the APIs that accept them, so they do not come by
/// frames.
bool MayComeByFrame(const CommandBody& aBody)
{
  return !std::holds_alternative<ChangeDocument>(aBody) &&
         !std::holds_alternative<AdoptDocument>(aBody);
}

CommandReplyStatus StatusOf(const absl::Status& aStatus)
{
  switch (KindOf(aStatus)) {
    case ErrorKind::NoQuorum:
      return CommandReplyStatus::NotLeader;
    case ErrorKind::Overloaded:
      return CommandReplyStatus::Overloaded;
    default:
      return CommandReplyStatus::Unknown;
  }
}

} // namespace

CommandServer::CommandServer(ReplicatedControl& aControl,
                             FrameTransport& aFrames,
                             Metrics& aMetrics)
  : control_(aControl)
  , committed_(aMetrics.Counter("foxtail_control_claim_frames_total",
                                "Command frames answered",
                                { { "result", "committed" } }))
  , notCommitted_(aMetrics.Counter("foxtail_control_claim_frames_total",
                                   "Command frames answered",
                                   { { "result", "not_committed" } }))
{
  aFrames.OnCall(FrameKind::Command, [this](const InstanceId&, Frame aFrame) {
    return HandleCommand(std::move(aFrame));
  });
}

boost::asio::awaitable<Frame> CommandServer::HandleCommand(Frame aFrame)
{
  CommandReply reply;
  auto command = DecodeCommand(aFrame.payload_);
  if (command.ok() && MayComeByFrame(command->body_)) {
    auto submission =
      control_.Submit(std::move(command->body_), kCommitTimeout);
    const auto result = co_await std::move(submission);
    if (result.ok()) {
      reply.status_ = CommandReplyStatus::Done;
      reply.result_ = ResultOf(*result);
    } else {
      reply.status_ = StatusOf(result.status());
    }
  }
  if (reply.status_ == CommandReplyStatus::NotLeader) {
    auto inspection = control_.Inspect(LeaderFrameEndpoint);
    reply.leader_ = co_await std::move(inspection);
  }
  const bool isDone = reply.status_ == CommandReplyStatus::Done;
  (isDone ? committed_ : notCommitted_).Increment();
  Frame answer;
  answer.kind_ = FrameKind::CommandReply;
  answer.correlation_ = aFrame.correlation_;
  answer.payload_ = EncodeCommandReply(reply);
  co_return answer;
}

} // namespace foxtail
