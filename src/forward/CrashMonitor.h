#ifndef FORWARD_CRASHMONITOR_H
#define FORWARD_CRASHMONITOR_H

#include "policy/CrashSuspects.h"

#include <functional>
#include <prometheus/counter.h>
#include <vector>

namespace foxtail {

class Metrics;

/// Which requests this instance probes or refuses, as they may crash servers:
/// CrashSuspects with its log lines and metrics, and the reports that other
/// instances need. Not thread-safe.
class CrashMonitor
{
public:
  using ReportCallback = std::function<void(const CrashReport&)>;

  explicit CrashMonitor(Metrics& aMetrics);

  /// Sets the function that sends a report to other instances.
  void OnReport(ReportCallback aCallback) { onReport_ = std::move(aCallback); }

  /// The connection of a request has ended without a reply.
  void OnUnanswered(RequestFingerprint aRequest, TimePoint aNow)
  {
    suspects_.OnUnanswered(aRequest, aNow);
  }
  /// A backend server has replied to a request.
  void OnAnswered(RequestFingerprint aRequest, TimePoint aNow);
  /// A backend server has crashed under these requests.
  void OnCrash(const std::vector<RequestCrash>& aCrashes, TimePoint aNow);
  /// Takes quarantines from other instances.
  void OnQuarantines(const std::vector<RequestQuarantine>& aQuarantines,
                     TimePoint aNow);

  /// @return the quarantines in force.
  std::vector<RequestQuarantine> Quarantines(TimePoint aNow) const
  {
    return suspects_.QuarantinedSince(0, aNow);
  }
  /// @return how the request is treated, or nothing when it is sent as usual.
  std::optional<RequestQuarantine> Find(RequestFingerprint aRequest,
                                        TimePoint aNow) const
  {
    return suspects_.Find(aRequest, aNow);
  }

private:
  /// Logs the quarantines that began after a revision.
  ///
  /// @return these quarantines.
  std::vector<RequestQuarantine> LogQuarantines(uint64_t aRevision,
                                                std::string_view aFoundBy,
                                                TimePoint aNow);

  CrashSuspects suspects_;
  ReportCallback onReport_;
  prometheus::Counter& crashes_;
  prometheus::Counter& quarantines_;
};

} // namespace foxtail

#endif // FORWARD_CRASHMONITOR_H
