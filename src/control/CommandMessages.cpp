#include "control/CommandMessages.h"

#include "control/control_generated.h"
#include "instance/WireCodec.h"

namespace foxtail {

std::string EncodeCommandReply(const CommandReply& aReply)
{
  flatbuffers::FlatBufferBuilder builder;
  const auto leader = builder.CreateString(aReply.leader_);
  const auto body = builder.CreateString(aReply.result_.record_.body_);
  builder.Finish(
    wire::CreateClaimFrameReply(builder,
                                static_cast<uint8_t>(aReply.status_),
                                leader,
                                static_cast<uint8_t>(aReply.result_.state_),
                                aReply.result_.record_.httpStatus_,
                                body));
  return FinishedBytes(builder);
}

absl::StatusOr<CommandReply> DecodeCommandReply(std::string_view aPayload)
{
  const auto root = VerifyAndGetRoot<wire::ClaimFrameReply>(aPayload);
  if (!root.ok()) {
    return root.status();
  }
  const wire::ClaimFrameReply& wire = **root;
  if (wire.status() >= EnumTable<CommandReplyStatus>::kRows.size() ||
      wire.claim_state() >= EnumTable<ClaimState>::kRows.size()) {
    return MakeError(ErrorKind::Protocol,
                     "the reply to a command has an unknown state; run the "
                     "same release on all instances");
  }
  CommandReply reply;
  reply.status_ = static_cast<CommandReplyStatus>(wire.status());
  reply.leader_ = ToText(wire.leader());
  reply.result_.state_ = static_cast<ClaimState>(wire.claim_state());
  reply.result_.record_ = { wire.http_status(), ToText(wire.body()) };
  return reply;
}

} // namespace foxtail
