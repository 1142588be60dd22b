#include "backend/BackendMetrics.h"

namespace foxtail {
namespace {

prometheus::Counter& ConnectCounter(Metrics& aMetrics, const char* aCause)
{
  return aMetrics.Counter("foxtail_backend_connects_total",
                          "Connections opened to backend servers.",
                          { { "on", aCause } });
}

} // namespace

BackendMetrics::BackendMetrics(Metrics& aMetrics)
  : requests_(aMetrics.Counter("foxtail_backend_requests_total",
                               "Attempts written to backend servers."))
  , cancels_(aMetrics.Counter("foxtail_backend_cancels_total",
                              "Cancel requests written to backend servers."))
  , warmConnects_(ConnectCounter(aMetrics, "warm"))
  , requestPathConnects_(ConnectCounter(aMetrics, "request_path"))
  , failedConnects_(aMetrics.Counter("foxtail_backend_connects_failed_total",
                                     "Connections that could not be opened."))
  , lateReplies_(aMetrics.Counter("foxtail_late_replies_total",
                                  "Replies that came after their attempt was "
                                  "given up."))
  , openConnections_(aMetrics.Gauge("foxtail_backend_connections",
                                    "Open connections to backend servers."))
{
  for (const auto& row : EnumTable<AttemptFault>::kRows) {
    discarded_[static_cast<size_t>(row.value_)] =
      &aMetrics.Counter("foxtail_discarded_replies_total",
                        "Replies that were dropped, by reason.",
                        { { "reason", std::string(row.name_) } });
  }
}

} // namespace foxtail
