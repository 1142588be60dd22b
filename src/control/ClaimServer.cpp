#include "control/ClaimServer.h"

#include "control/ClaimMessages.h"

namespace foxtail {
namespace {

/// Time that a command waits for a quorum before the reply is Unknown.
constexpr milliseconds kCommitTimeout{ 2000 };

ClaimResult ResultOf(const CommandResult& aResult)
{
  if (const auto* claim = std::get_if<ClaimResult>(&aResult)) {
    return *claim;
  }
  const auto* update = std::get_if<ClaimUpdateResult>(&aResult);
  const bool isApplied = update != nullptr && update->isApplied_;
  return { isApplied ? ClaimState::Granted : ClaimState::Mismatch, {} };
}

ClaimReplyStatus StatusOf(const absl::Status& aStatus)
{
  switch (KindOf(aStatus)) {
    case ErrorKind::NoQuorum:
      return ClaimReplyStatus::NotLeader;
    case ErrorKind::Overloaded:
      return ClaimReplyStatus::Overloaded;
    default:
      return ClaimReplyStatus::Unknown;
  }
}

} // namespace

ClaimServer::ClaimServer(ReplicatedControl& aControl,
                         FrameTransport& aFrames,
                         Metrics& aMetrics)
  : control_(aControl)
  , committed_(aMetrics.Counter("foxtail_control_claim_frames_total",
                                "Claim frames answered",
                                { { "result", "committed" } }))
  , notCommitted_(aMetrics.Counter("foxtail_control_claim_frames_total",
                                   "Claim frames answered",
                                   { { "result", "not_committed" } }))
{
  aFrames.OnCall(FrameKind::Claim, [this](const InstanceId&, Frame aFrame) {
    return HandleClaim(std::move(aFrame));
  });
}

boost::asio::awaitable<Frame> ClaimServer::HandleClaim(Frame aFrame)
{
  ClaimReply reply;
  auto command = DecodeCommand(aFrame.payload_);
  const bool isClaim =
    command.ok() && !std::holds_alternative<ChangeDocument>(command->body_);
  if (isClaim) {
    auto submission =
      control_.Submit(std::move(command->body_), kCommitTimeout);
    const auto result = co_await std::move(submission);
    if (result.ok()) {
      reply.status_ = ClaimReplyStatus::Done;
      reply.result_ = ResultOf(*result);
    } else {
      reply.status_ = StatusOf(result.status());
    }
  }
  if (reply.status_ == ClaimReplyStatus::NotLeader) {
    reply.leader_ = co_await LeaderEndpoint();
  }
  const bool isDone = reply.status_ == ClaimReplyStatus::Done;
  (isDone ? committed_ : notCommitted_).Increment();
  Frame answer;
  answer.kind_ = FrameKind::ClaimReply;
  answer.correlation_ = aFrame.correlation_;
  answer.payload_ = EncodeClaimReply(reply);
  co_return answer;
}

boost::asio::awaitable<std::string> ClaimServer::LeaderEndpoint()
{
  co_return co_await control_.Inspect(
    [](const ConsensusNode& aNode, const ControlState&) {
      const auto& leader = aNode.Leader();
      const GroupMember* member =
        leader.has_value() ? aNode.CurrentMembership().Find(*leader) : nullptr;
      const bool isOther = member != nullptr && member->id_ != aNode.Self();
      return isOther ? member->endpoint_ : std::string();
    });
}

} // namespace foxtail
