#ifndef POLICY_PARTIALANSWERPOLICY_H
#define POLICY_PARTIALANSWERPOLICY_H

#include "core/EnumTable.h"
#include "core/JsonReader.h"
#include "core/Time.h"

#include <cstdint>

namespace foxtail {

struct PartialAnswerSettings
{
  /// Time reserved before the deadline for merging and sending the answer.
  milliseconds reserve_{ 5 };
  /// Upper bound of the reserved time, as a fraction of the time to the
  /// deadline.
  double reserveFraction_ = 0.1;

  static PartialAnswerSettings Read(JsonReader& aReader);
};

/// State of a running query.
struct PartialAnswerInput
{
  /// Whether the service answers at its soft deadline.
  bool isPrompt_ = false;
  TimePoint startedAt_{};
  TimePoint softDeadline_{};
  TimePoint deadline_{};
  /// Coverage in percent that an answer at the soft deadline needs.
  double minCoveragePercent_ = 0;
  uint32_t shards_ = 0;
  uint32_t answered_ = 0;
  /// Shards that are given up: no replica, budget or time is left.
  uint32_t givenUp_ = 0;
};

enum class AnswerVerdict
{
  /// Decide again when a shard is answered or given up, and at nextDecisionAt_.
  Wait,
  /// All shards have answered.
  Whole,
  /// Every shard has answered or is given up.
  Settled,
  SoftDeadline,
  Deadline,
};

template<>
struct EnumTable<AnswerVerdict>
{
  static constexpr std::array<EnumName<AnswerVerdict>, 5> kRows{ {
    { AnswerVerdict::Wait, "wait" },
    { AnswerVerdict::Whole, "whole" },
    { AnswerVerdict::Settled, "settled" },
    { AnswerVerdict::SoftDeadline, "soft_deadline" },
    { AnswerVerdict::Deadline, "deadline" },
  } };
};

struct AnswerDecision
{
  AnswerVerdict verdict_ = AnswerVerdict::Wait;
  /// If the verdict is Wait: when to decide again at the latest.
  TimePoint nextDecisionAt_{};
};

/// Decides whether a query is answered now. A patient service waits for all
/// shards until shortly before the deadline. A prompt service sends a partial
/// answer at its soft deadline, but while there is time it does not answer
/// without any shard. Has no side effects.
AnswerDecision DecideAnswer(const PartialAnswerSettings& aSettings,
                            const PartialAnswerInput& aInput,
                            TimePoint aNow);

} // namespace foxtail

#endif // POLICY_PARTIALANSWERPOLICY_H
