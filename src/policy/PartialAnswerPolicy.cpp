#include "policy/PartialAnswerPolicy.h"

#include <algorithm>

namespace foxtail {
namespace {

constexpr double kPercent = 100;

TimePoint ResponseDeadline(const PartialAnswerSettings& aSettings,
                           const PartialAnswerInput& aInput)
{
  const double totalMs = ToMilliseconds(aInput.deadline_ - aInput.startedAt_);
  const auto reserveLimit = microseconds(
    static_cast<int64_t>(totalMs * aSettings.reserveFraction_ * 1000));
  const Duration reserve = std::min<Duration>(aSettings.reserve_, reserveLimit);
  return aInput.deadline_ - reserve;
}

bool HasRequiredCoverage(const PartialAnswerInput& aInput)
{
  const double required =
    aInput.minCoveragePercent_ / kPercent * aInput.shards_;
  return aInput.answered_ > 0 && aInput.answered_ >= required;
}

} // namespace

PartialAnswerSettings PartialAnswerSettings::Read(JsonReader& aReader)
{
  PartialAnswerSettings result;
  result.reserve_ = aReader.Millis(
    "reserve_ms", result.reserve_, milliseconds(0), milliseconds(10000));
  result.reserveFraction_ =
    aReader.Number("reserve_part", result.reserveFraction_, 0, 0.5);
  return result;
}

AnswerDecision DecideAnswer(const PartialAnswerSettings& aSettings,
                            const PartialAnswerInput& aInput,
                            TimePoint aNow)
{
  if (aInput.answered_ >= aInput.shards_) {
    return { AnswerVerdict::Whole, {} };
  }
  if (aInput.answered_ + aInput.givenUp_ >= aInput.shards_) {
    return { AnswerVerdict::Settled, {} };
  }
  const TimePoint responseDeadline = ResponseDeadline(aSettings, aInput);
  if (aNow >= responseDeadline) {
    return { AnswerVerdict::Deadline, {} };
  }
  if (!aInput.isPrompt_) {
    return { AnswerVerdict::Wait, responseDeadline };
  }
  if (aNow < aInput.softDeadline_) {
    return { AnswerVerdict::Wait,
             std::min(responseDeadline, aInput.softDeadline_) };
  }
  if (HasRequiredCoverage(aInput)) {
    return { AnswerVerdict::SoftDeadline, {} };
  }
  return { AnswerVerdict::Wait, responseDeadline };
}

} // namespace foxtail
