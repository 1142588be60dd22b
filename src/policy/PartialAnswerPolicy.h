#ifndef POLICY_PARTIALANSWERPOLICY_H
#define POLICY_PARTIALANSWERPOLICY_H

#include "core/EnumTable.h"
#include "core/JsonReader.h"
#include "core/Time.h"

#include <cstdint>

namespace foxtail {

struct PartialAnswerSettings
{
  /// Time kept before the deadline for merging and sending the answer.
  milliseconds reserve_{ 5 };
  /// The same as a part of the whole deadline, whichever is smaller.
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
  /// Coverage in percent that a prompt answer needs at its soft deadline.
  double minCoveragePercent_ = 0;
  uint32_t shards_ = 0;
  uint32_t answered_ = 0;
  /// Shards that are given up: no replica, no budget or no time is left.
  uint32_t givenUp_ = 0;
};

enum class AnswerVerdict
{
  /// Ask again when a shard is answered or given up, and at AnswerDecision's
  /// time.
  Wait,
  /// Every shard is answered.
  Whole,
  /// Every shard is answered or given up.
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
  /// With Wait: when to ask again at the latest.
  TimePoint nextDecisionAt_{};
};

/// Decides whether a query is answered now. A patient service waits for every
/// shard until shortly before the deadline; a prompt one answers in part at its
/// soft deadline, but never with no shard at all while there is time. Pure.
AnswerDecision DecideAnswer(const PartialAnswerSettings& aSettings,
                            const PartialAnswerInput& aInput,
                            TimePoint aNow);

} // namespace foxtail

#endif // POLICY_PARTIALANSWERPOLICY_H
