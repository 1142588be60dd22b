#ifndef CALLER_CALLERMETRICS_H
#define CALLER_CALLERMETRICS_H

#include "core/Ids.h"
#include "core/Metrics.h"
#include "policy/Outcome.h"

#include <array>
#include <map>
#include <mutex>
#include <string>

namespace foxtail {

/// Metrics of callers' requests. Thread safe.
class CallerMetrics
{
public:
  explicit CallerMetrics(Metrics& aMetrics);

  /// Metrics of one service; a reference to it stays valid.
  struct Service
  {
    std::array<prometheus::Counter*, EnumTable<Outcome>::kRows.size()>
      outcomes_{};
    prometheus::Histogram* seconds_ = nullptr;
  };

  /// Locks a mutex; keep the reference instead of calling this for each
  /// request.
  const Service& ForService(const ServiceName& aService);

  /// @param aReason label of the metric: why the request was refused before any
  /// attempt was sent.
  void OnShed(const std::string& aReason);

  prometheus::Counter& shardsAsked_;
  prometheus::Counter& shardsAnswered_;
  prometheus::Counter& hedges_;
  prometheus::Counter& retries_;
  prometheus::Counter& replans_;
  prometheus::Counter& partialAnswers_;
  prometheus::Histogram& overheadSeconds_;

private:
  Metrics& metrics_;
  std::mutex mutex_;
  std::map<ServiceName, Service> services_;
};

} // namespace foxtail

#endif // CALLER_CALLERMETRICS_H
