#ifndef BACKEND_BACKENDMETRICS_H
#define BACKEND_BACKENDMETRICS_H

#include "backend/Attempt.h"
#include "core/Metrics.h"

#include <array>

namespace foxtail {

/// The metrics of the connections to backend servers. Thread safe.
struct BackendMetrics
{
  explicit BackendMetrics(Metrics& aMetrics);

  void OnDiscarded(AttemptFault aFault)
  {
    discarded_[static_cast<size_t>(aFault)]->Increment();
  }

  prometheus::Counter& requests_;
  prometheus::Counter& cancels_;
  prometheus::Counter& warmConnects_;
  prometheus::Counter& requestPathConnects_;
  prometheus::Counter& failedConnects_;
  prometheus::Counter& lateReplies_;
  prometheus::Gauge& openConnections_;

private:
  std::array<prometheus::Counter*, EnumTable<AttemptFault>::kRows.size()>
    discarded_{};
};

} // namespace foxtail

#endif // BACKEND_BACKENDMETRICS_H
