#ifndef POLICY_GATHERPOLICY_H
#define POLICY_GATHERPOLICY_H

#include "core/EnumTable.h"
#include "core/Time.h"

#include <cstdint>

namespace foxtail {

/// Progress of a query over many shards.
struct GatherProgress
{
  uint32_t shards_ = 0;
  uint32_t answered_ = 0;
  /// Shards that can no longer answer.
  uint32_t givenUp_ = 0;
  /// Smallest fraction of the shards that makes a success, 0 to 1.
  double minCoverage_ = 1;
  /// An answer sent by this time counts in full.
  TimePoint objectiveAt_{};
  /// When the caller must have a final answer.
  TimePoint callerDeadline_{};
  /// Shards without an outstanding attempt that are tried again later, as all
  /// their servers have refused a connection.
  uint32_t refused_ = 0;
};

enum class GatherVerdict
{
  Wait,
  /// All shards have answered.
  AnswerWhole,
  /// Enough shards have answered, and waiting longer would cost more than it
  /// gains.
  AnswerPartial,
  /// Too few shards have answered, and too few can still answer or no time is
  /// left.
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

/// @return the smallest number of shards that makes a success, at least 1.
uint32_t RequiredShards(uint32_t aShards, double aMinCoverage);

/// Decides whether a query is answered now. A partial answer is held back until
/// the objective, since the missing shards may still be in time, but not for
/// shards that have refused the query. After the
/// objective it is sent as soon as enough shards have answered, since a late
/// answer has lost most of its value, however complete it is.
GatherVerdict EvaluateGather(const GatherProgress& aProgress, TimePoint aNow);

/// @return when the result of EvaluateGather() may change without a further
/// reply.
TimePoint NextGatherEvaluation(const GatherProgress& aProgress, TimePoint aNow);

} // namespace foxtail

#endif // POLICY_GATHERPOLICY_H
