#include "load/LoadStats.h"

namespace foxtail {
namespace {

constexpr double kPercent = 100;

boost::json::object QuantilesToJson(const LatencyHistogram& aHistogram)
{
  return { { "count", aHistogram.Count() },
           { "p50", ToMilliseconds(aHistogram.Quantile(0.5)) },
           { "p90", ToMilliseconds(aHistogram.Quantile(0.9)) },
           { "p99", ToMilliseconds(aHistogram.Quantile(0.99)) },
           { "p999", ToMilliseconds(aHistogram.Quantile(0.999)) },
           { "max", ToMilliseconds(aHistogram.Max()) } };
}

bool IsAnswer(LoadOutcome aOutcome)
{
  return aOutcome == LoadOutcome::Whole || aOutcome == LoadOutcome::Partial;
}

} // namespace

void LoadStats::Add(const LoadSample& aSample)
{
  const AnswerVerdict& verdict = aSample.verdict_;
  ++sent_;
  ++outcomes_[static_cast<size_t>(verdict.outcome_)];
  shardsAsked_ += verdict.shardsAsked_;
  shardsAnswered_ += verdict.shardsAnswered_;
  mixedAnswers_ += verdict.isMixed_ ? 1 : 0;
  wrongAnswers_ += verdict.isWrong_ ? 1 : 0;
  falseCoverage_ += verdict.isCoverageFalse_ ? 1 : 0;
  for (const auto& [reason, count] : verdict.missing_) {
    missing_[reason] += count;
  }
  if (verdict.outcome_ == LoadOutcome::NotRun) {
    refusalLatency_.Add(aSample.latency_);
  }
  if (!IsAnswer(verdict.outcome_)) {
    return;
  }
  answerLatency_.Add(aSample.latency_);
  exchangeLatency_.Add(aSample.exchange_);
  if (verdict.slowestShardUs_) {
    const microseconds slowest(*verdict.slowestShardUs_);
    overhead_.Add(std::max(Duration::zero(), aSample.exchange_ - slowest));
  }
}

void LoadStats::Merge(const LoadStats& aOther)
{
  sent_ += aOther.sent_;
  for (size_t i = 0; i < outcomes_.size(); ++i) {
    outcomes_[i] += aOther.outcomes_[i];
  }
  shardsAsked_ += aOther.shardsAsked_;
  shardsAnswered_ += aOther.shardsAnswered_;
  mixedAnswers_ += aOther.mixedAnswers_;
  wrongAnswers_ += aOther.wrongAnswers_;
  falseCoverage_ += aOther.falseCoverage_;
  for (const auto& [reason, count] : aOther.missing_) {
    missing_[reason] += count;
  }
  answerLatency_.Merge(aOther.answerLatency_);
  exchangeLatency_.Merge(aOther.exchangeLatency_);
  refusalLatency_.Merge(aOther.refusalLatency_);
  overhead_.Merge(aOther.overhead_);
}

boost::json::object LoadStats::ToJson() const
{
  boost::json::object outcomes;
  for (const auto& row : EnumTable<LoadOutcome>::kRows) {
    outcomes[row.name_] = CountOf(row.value_);
  }
  boost::json::object missing;
  for (const auto& [reason, count] : missing_) {
    missing[reason] = count;
  }
  const double coverage = shardsAsked_ == 0
                            ? 0
                            : kPercent * static_cast<double>(shardsAnswered_) /
                                static_cast<double>(shardsAsked_);
  return { { "sent", sent_ },
           { "outcomes", std::move(outcomes) },
           { "shards_asked", shardsAsked_ },
           { "shards_answered", shardsAnswered_ },
           { "coverage_percent", coverage },
           { "missing", std::move(missing) },
           { "mixed_answers", mixedAnswers_ },
           { "wrong_answers", wrongAnswers_ },
           { "false_coverage", falseCoverage_ },
           { "latency_ms", QuantilesToJson(answerLatency_) },
           { "exchange_ms", QuantilesToJson(exchangeLatency_) },
           { "refusal_ms", QuantilesToJson(refusalLatency_) },
           { "overhead_ms", QuantilesToJson(overhead_) } };
}

void TimelineRow::Add(const LoadSample& aSample)
{
  ++sent_;
  shardsAsked_ += aSample.verdict_.shardsAsked_;
  shardsAnswered_ += aSample.verdict_.shardsAnswered_;
  switch (aSample.verdict_.outcome_) {
    case LoadOutcome::Whole:
      ++whole_;
      break;
    case LoadOutcome::Partial:
      ++partial_;
      break;
    case LoadOutcome::NotRun:
      ++notRun_;
      return;
    default:
      ++failed_;
      return;
  }
  latency_.Add(aSample.latency_);
}

void TimelineRow::Merge(const TimelineRow& aOther)
{
  sent_ += aOther.sent_;
  whole_ += aOther.whole_;
  partial_ += aOther.partial_;
  notRun_ += aOther.notRun_;
  failed_ += aOther.failed_;
  shardsAsked_ += aOther.shardsAsked_;
  shardsAnswered_ += aOther.shardsAnswered_;
  latency_.Merge(aOther.latency_);
}

} // namespace foxtail
