#ifndef POLICY_GATHERPOLICY_H
#define POLICY_GATHERPOLICY_H

#include "core/EnumTable.h"
#include "core/Time.h"

#include <cstdint>

namespace foxtail {

/// How far a query over many shards has come.
struct GatherProgress
{
  uint32_t shards_ = 0;
  uint32_t answered_ = 0;
  /// Shards that will not answer any more.
  uint32_t givenUp_ = 0;
  /// Least share of the shards that makes a success, 0 to 1.
  double minCoverage_ = 1;
  /// Until then an answer is worth its whole value.
  TimePoint objectiveAt_{};
  /// When the caller must have a final answer.
  TimePoint callerDeadline_{};
};

enum class GatherVerdict
{
  Wait,
  /// Every shard is in.
  AnswerWhole,
  /// Enough are in, and waiting longer would cost more than it brings.
  AnswerPartial,
  /// Too few are in and too few can still come, or no time is left.
  Fail,
};

template<>
struct EnumTable<GatherVerdict>
{
  static constexpr std::array<EnumName<GatherVerdict>, 4> kRows{ {
    { GatherVerdict::Wait, "wait" },
    { GatherVerdict::AnswerWhole, "answer_whole" },
    { GatherVerdict::AnswerPartial, "answer_partial" },
    { GatherVerdict::Fail, "fail" },
  } };
};

/// @return the least number of shards that makes a success, at least 1.
uint32_t RequiredShards(uint32_t aShards, double aMinCoverage);

/// Decides whether to answer a query now. A partial answer waits for the
/// objective, as the missing shards may still be in time; after the objective
/// enough shards are answered at once, since a late answer loses most of its
/// value whatever it holds.
GatherVerdict EvaluateGather(const GatherProgress& aProgress, TimePoint aNow);

/// @return when EvaluateGather() may change its verdict by time alone.
TimePoint NextGatherEvaluation(const GatherProgress& aProgress, TimePoint aNow);

} // namespace foxtail

#endif // POLICY_GATHERPOLICY_H
