#ifndef CONTROL_COMMANDMESSAGES_H
#define CONTROL_COMMANDMESSAGES_H

#include "control/Command.h"

namespace foxtail {

enum class CommandReplyStatus : uint8_t
{
  /// Committed; the result is in the reply.
  Done,
  /// Not appended: this instance is not the leader.
  NotLeader,
  /// Not appended: too many proposals are pending, or the limit on claims is
  /// reached.
  Overloaded,
  /// Possibly appended; whether it was committed is unknown.
  Unknown,
};

template<>
struct EnumTable<CommandReplyStatus>
{
  static constexpr std::array<EnumName<CommandReplyStatus>, 4> kRows{ {
    { CommandReplyStatus::Done, "done" },
    { CommandReplyStatus::NotLeader, "not_leader" },
    { CommandReplyStatus::Overloaded, "overloaded" },
    { CommandReplyStatus::Unknown, "unknown" },
  } };
};

/// Reply to a command frame, whose payload is a Command.
struct CommandReply
{
  CommandReplyStatus status_ = CommandReplyStatus::Unknown;
  /// With NotLeader: the leader's endpoint for frames; empty when unknown.
  std::string leader_;
  /// With Done: the result. Its state is Granted for a record or release that
  /// was applied, for an evacuation that was applied and for a departure,
  /// else Mismatch.
  ClaimResult result_;
};

std::string EncodeCommandReply(const CommandReply& aReply);
absl::StatusOr<CommandReply> DecodeCommandReply(std::string_view aPayload);

} // namespace foxtail

#endif // CONTROL_COMMANDMESSAGES_H
