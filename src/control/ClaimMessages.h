#ifndef CONTROL_CLAIMMESSAGES_H
#define CONTROL_CLAIMMESSAGES_H

#include "control/Command.h"

namespace foxtail {

enum class ClaimReplyStatus : uint8_t
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
struct EnumTable<ClaimReplyStatus>
{
  static constexpr std::array<EnumName<ClaimReplyStatus>, 4> kRows{ {
    { ClaimReplyStatus::Done, "done" },
    { ClaimReplyStatus::NotLeader, "not_leader" },
    { ClaimReplyStatus::Overloaded, "overloaded" },
    { ClaimReplyStatus::Unknown, "unknown" },
  } };
};

/// Reply to a claim frame, whose payload is a Command.
struct ClaimReply
{
  ClaimReplyStatus status_ = ClaimReplyStatus::Unknown;
  /// With NotLeader: the leader's endpoint for frames; empty when unknown.
  std::string leader_;
  /// With Done: the result. Its state is Granted for a record or release that
  /// was applied, else Mismatch.
  ClaimResult result_;
};

std::string EncodeClaimReply(const ClaimReply& aReply);
absl::StatusOr<ClaimReply> DecodeClaimReply(std::string_view aPayload);

} // namespace foxtail

#endif // CONTROL_CLAIMMESSAGES_H
