#ifndef POLICY_SLOWSERVERBOARD_H
#define POLICY_SLOWSERVERBOARD_H

#include "core/Ids.h"
#include "core/Time.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace foxtail {

struct SlowServerBoardSettings
{
  /// How long a report counts, from the time at which its request was sent.
  milliseconds reportLifetime_{ 2000 };
  /// Number of instances that must report a server.
  uint32_t minReporters_ = 4;
  /// Minimum time between the second and the last but one of the reported
  /// requests. It exceeds the usual pauses of servers, 120 to 300 ms, whose
  /// victims are all sent within one pause; a single long request before or
  /// after a pause does not count.
  milliseconds minSpan_{ 400 };
  /// A server that is confirmed again is published again after this time.
  milliseconds republishAfter_{ 1500 };
  /// Limits the memory for reports of one instance.
  size_t maxServers_ = 4096;
};

/// Observation of one entry instance that a backend server is slow.
struct SlowServerReport
{
  BackendId server_;
  /// Latency of a request divided by the usual one.
  double ratio_ = 1;
  /// When that request was sent.
  TimePoint sentAt_{};
};

/// A server that several instances reported.
struct SlowServer
{
  BackendId server_;
  double ratio_ = 1;
  /// When the latest of the requests that confirm it was sent.
  TimePoint sentAt_{};
};

/// Collects the reports of many entry instances that backend servers are slow,
/// so that an instance that sends few requests need not find each slow server
/// itself. A server is confirmed by several instances whose requests span more
/// than a pause, so that neither a pause nor one wrong or lying instance takes
/// a healthy server out; reports expire. Not thread safe.
class SlowServerBoard
{
public:
  explicit SlowServerBoard(SlowServerBoardSettings aSettings = {});

  /// @return whether the report leads to a publication.
  bool OnReport(const InstanceId& aReporter,
                const SlowServerReport& aReport,
                TimePoint aNow);

  /// Increases with each publication.
  uint64_t Revision() const { return revision_; }

  /// @return the unexpired servers that were published after revision
  /// @p aKnownRevision.
  std::vector<SlowServer> PublishedSince(uint64_t aKnownRevision,
                                         TimePoint aNow) const;

private:
  struct Observation
  {
    double ratio_ = 1;
    TimePoint sentAt_{};
  };
  struct Row
  {
    /// The latest observation of each instance.
    std::map<InstanceId, Observation> byReporter_;
    SlowServer published_;
    uint64_t publishedRevision_ = 0;
    TimePoint publishedAt_{};
  };

  bool IsExpired(TimePoint aSentAt, TimePoint aNow) const
  {
    return aNow - aSentAt > settings_.reportLifetime_;
  }
  void RemoveExpired(TimePoint aNow);
  /// @return whether the observations of @p aRow confirm that it is slow.
  bool IsConfirmed(const Row& aRow) const;
  static double MedianRatio(const Row& aRow);

  SlowServerBoardSettings settings_;
  std::unordered_map<BackendId, Row> rows_;
  uint64_t revision_ = 0;
  TimePoint nextCleanupAt_{};
};

} // namespace foxtail

#endif // POLICY_SLOWSERVERBOARD_H
