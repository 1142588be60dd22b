#ifndef LOAD_LOADSTATS_H
#define LOAD_LOADSTATS_H

#include "core/LatencyHistogram.h"
#include "core/Time.h"
#include "load/AnswerCheck.h"

#include <array>
#include <boost/json.hpp>
#include <cstdint>
#include <map>
#include <string>

namespace foxtail {

/// The end of one request.
struct LoadSample
{
  AnswerVerdict verdict_;
  /// From the intended time of sending, so that a stall counts for each
  /// request that it held up.
  Duration latency_{};
  /// From the time it was sent in fact.
  Duration exchange_{};
};

/// Counts and latencies of a part of a run. Not thread safe.
class LoadStats
{
public:
  void Add(const LoadSample& aSample);
  void Merge(const LoadStats& aOther);

  uint64_t Sent() const { return sent_; }
  uint64_t CountOf(LoadOutcome aOutcome) const
  {
    return outcomes_[static_cast<size_t>(aOutcome)];
  }
  uint64_t ShardsAsked() const { return shardsAsked_; }
  const LatencyHistogram& AnswerLatency() const { return answerLatency_; }

  boost::json::object ToJson() const;

private:
  uint64_t sent_ = 0;
  std::array<uint64_t, EnumTable<LoadOutcome>::kRows.size()> outcomes_{};
  uint64_t shardsAsked_ = 0;
  uint64_t shardsAnswered_ = 0;
  uint64_t mixedAnswers_ = 0;
  uint64_t wrongAnswers_ = 0;
  uint64_t falseCoverage_ = 0;
  std::map<std::string, uint64_t> missing_;
  /// Of whole and partial answers.
  LatencyHistogram answerLatency_;
  LatencyHistogram exchangeLatency_;
  /// Of refusals with "not run".
  LatencyHistogram refusalLatency_;
  /// Exchange time beyond the slowest shard's.
  LatencyHistogram overhead_;
};

/// Outcomes of the requests that were due in one interval of a run.
struct TimelineRow
{
  uint64_t sent_ = 0;
  uint64_t whole_ = 0;
  uint64_t partial_ = 0;
  uint64_t notRun_ = 0;
  uint64_t failed_ = 0;
  uint64_t shardsAsked_ = 0;
  uint64_t shardsAnswered_ = 0;
  LatencyHistogram latency_;

  void Add(const LoadSample& aSample);
  void Merge(const TimelineRow& aOther);
};

} // namespace foxtail

#endif // LOAD_LOADSTATS_H
