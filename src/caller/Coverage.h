#ifndef CALLER_COVERAGE_H
#define CALLER_COVERAGE_H

#include "backend/Attempt.h"
#include "core/EnumTable.h"
#include "core/Ids.h"

#include <optional>
#include <vector>

namespace foxtail {

/// Reason why a shard is missing from an answer.
enum class MissingReason
{
  /// No backend server announces any shard of the catalogue.
  CatalogueNotAnnounced,
  /// The layout has the shard, but no backend server announces it.
  NotAnnounced,
  /// Every backend server of the shard is draining.
  Draining,
  /// No reply was received by the deadline.
  Deadline,
  /// No reply was received by the soft deadline of a prompt request.
  SoftDeadline,
  /// Every permitted attempt failed.
  Failed,
};

template<>
struct EnumTable<MissingReason>
{
  static constexpr std::array<EnumName<MissingReason>, 6> kRows{ {
    { MissingReason::CatalogueNotAnnounced, "catalogue_not_announced" },
    { MissingReason::NotAnnounced, "not_announced" },
    { MissingReason::Draining, "draining" },
    { MissingReason::Deadline, "deadline" },
    { MissingReason::SoftDeadline, "soft_deadline" },
    { MissingReason::Failed, "failed" },
  } };
};

/// A shard that is missing from an answer.
struct MissingShard
{
  CatalogueName catalogue_;
  /// Nothing when the whole catalogue is missing, as its shards are then
  /// unknown.
  std::optional<ShardId> shard_;
  MissingReason reason_ = MissingReason::Failed;
  /// Fault of the last attempt; None when there was no attempt.
  AttemptFault lastFault_ = AttemptFault::None;
};

/// Shards that an answer covers; asked_ always equals answered_ plus
/// missing_.size(). A catalogue that no backend server announces counts as one
/// shard.
struct Coverage
{
  uint32_t asked_ = 0;
  uint32_t answered_ = 0;
  std::vector<MissingShard> missing_;

  bool IsComplete() const { return missing_.empty(); }
};

} // namespace foxtail

#endif // CALLER_COVERAGE_H
