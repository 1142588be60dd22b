#include "caller/CallerMetrics.h"

namespace foxtail {

CallerMetrics::CallerMetrics(Metrics& aMetrics)
  : shardsAsked_(
      aMetrics.Counter("foxtail_shards_asked_total",
                       "Shards of the snapshots that queries were put to."))
  , shardsAnswered_(aMetrics.Counter("foxtail_shards_answered_total",
                                     "Shards whose result is in an answer."))
  , hedges_(aMetrics.Counter("foxtail_hedges_total", "Hedged attempts."))
  , retries_(aMetrics.Counter("foxtail_retries_total",
                              "Attempts after another one failed."))
  , replans_(aMetrics.Counter("foxtail_replans_total",
                              "Catalogues asked again on another version."))
  , partialAnswers_(aMetrics.Counter("foxtail_partial_answers_total",
                                     "Answers that lack a shard."))
  , overheadSeconds_(
      aMetrics.SecondsHistogram("foxtail_entry_overhead_seconds",
                                "Time of a query beyond its slowest "
                                "shard exchange."))
  , metrics_(aMetrics)
{
}

const CallerMetrics::Service& CallerMetrics::ForService(
  const ServiceName& aService)
{
  const std::lock_guard lock(mutex_);
  const auto found = services_.find(aService);
  if (found != services_.end()) {
    return found->second;
  }
  Service& service = services_[aService];
  for (const auto& row : EnumTable<Outcome>::kRows) {
    service.outcomes_[static_cast<size_t>(row.value_)] =
      &metrics_.Counter("foxtail_queries_total",
                        "Requests of callers, by outcome.",
                        { { "service", aService.Value() },
                          { "outcome", std::string(row.name_) } });
  }
  service.seconds_ =
    &metrics_.SecondsHistogram("foxtail_query_seconds",
                               "Time from request to answer.",
                               { { "service", aService.Value() } });
  return service;
}

void CallerMetrics::OnShed(const std::string& aReason)
{
  metrics_
    .Counter("foxtail_shed_total",
             "Requests refused before any work was sent.",
             { { "reason", aReason } })
    .Increment();
}

} // namespace foxtail
