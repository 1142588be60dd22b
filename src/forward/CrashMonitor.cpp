#include "forward/CrashMonitor.h"

#include "core/Log.h"
#include "core/Metrics.h"

#include <algorithm>

namespace foxtail {

CrashMonitor::CrashMonitor(Metrics& aMetrics)
  : crashes_(aMetrics.Counter("foxtail_forward_server_crashes_total",
                              "Backend servers that crashed under requests"))
  , quarantines_(aMetrics.Counter(
      "foxtail_forward_quarantines_total",
      "Requests refused from now on as servers crash under them"))
{
}

void CrashMonitor::OnAnswered(RequestFingerprint aRequest, TimePoint aNow)
{
  if (suspects_.OnAnswered(aRequest, aNow) && onReport_) {
    onReport_(RequestAnswered{ aRequest });
  }
}

void CrashMonitor::OnCrash(const std::vector<RequestCrash>& aCrashes,
                           TimePoint aNow)
{
  if (aCrashes.empty()) {
    return;
  }
  crashes_.Increment();
  // Enough to find a request that is in the lines of several crashes.
  constexpr size_t kMaxLoggedRequests = 8;
  std::string fingerprints;
  for (size_t i = 0; i < std::min(aCrashes.size(), kMaxLoggedRequests); ++i) {
    fingerprints += (i == 0 ? "" : ",") + ToHex(aCrashes[i].request_);
  }
  LogLine(LogLevel::Warning, "server_crashed")
    .Add("server", aCrashes.front().server_)
    .Add("started_at_ms", aCrashes.front().serverStartedAtMs_)
    .Add("requests", aCrashes.size())
    .Add("fingerprints", fingerprints);
  const uint64_t before = suspects_.Revision();
  for (const RequestCrash& crash : aCrashes) {
    if (suspects_.OnCrash(crash, aNow) && onReport_) {
      onReport_(crash);
    }
  }
  const auto quarantines = LogQuarantines(before, "this_instance", aNow);
  if (onReport_) {
    // Control instances find most of them by the crashes, but know their times
    // only to a few milliseconds.
    std::for_each(quarantines.begin(), quarantines.end(), onReport_);
  }
}

void CrashMonitor::OnQuarantines(
  const std::vector<RequestQuarantine>& aQuarantines,
  TimePoint aNow)
{
  const uint64_t before = suspects_.Revision();
  for (const RequestQuarantine& quarantine : aQuarantines) {
    suspects_.OnQuarantine(quarantine, aNow);
  }
  LogQuarantines(before, "other_instances", aNow);
}

std::vector<RequestQuarantine> CrashMonitor::LogQuarantines(
  uint64_t aRevision,
  std::string_view aFoundBy,
  TimePoint aNow)
{
  auto quarantines = suspects_.QuarantinedSince(aRevision, aNow);
  for (const RequestQuarantine& quarantine : quarantines) {
    const bool isRefused = quarantine.treatment_ == SuspectTreatment::Refuse;
    quarantines_.Increment(isRefused ? 1 : 0);
    LogLine(LogLevel::Warning, "request_quarantined")
      .Add("fingerprint", ToHex(quarantine.request_))
      .Add("treatment", NameOf(quarantine.treatment_))
      .Add("found_by", aFoundBy)
      .Add("for_ms", ToMilliseconds(quarantine.until_ - aNow));
  }
  return quarantines;
}

} // namespace foxtail
