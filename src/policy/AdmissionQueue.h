#ifndef POLICY_ADMISSIONQUEUE_H
#define POLICY_ADMISSIONQUEUE_H

#include "core/EnumTable.h"
#include "core/Ids.h"
#include "core/JsonReader.h"
#include "core/Time.h"

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace foxtail {

struct AdmissionSettings
{
  /// Requests that run at once, over all services.
  uint32_t concurrency_ = 1024;
  /// Requests that wait, over all services.
  uint32_t maxQueued_ = 8192;
  /// A queue is overloaded if its oldest request has waited longer than this
  /// throughout window_.
  milliseconds targetWait_{ 5 };
  milliseconds window_{ 25 };
  /// Longest wait in an overloaded queue; in other queues a request may wait
  /// until its deadline.
  milliseconds overloadedWait_{ 20 };
  /// Burst that a team may use at once, as the time in which its requests/s
  /// accrue it.
  milliseconds quotaBurst_{ 500 };

  static AdmissionSettings Read(JsonReader& aReader);
};

struct AdmissionTeam
{
  TeamName name_;
  uint32_t weight_ = 1;
  /// 0 means no limit.
  uint32_t requestsPerSecond_ = 0;
};

struct AdmissionService
{
  ServiceName name_;
  TeamName team_;
  /// Requests that may wait.
  uint32_t queueLength_ = 64;
};

enum class AdmissionVerdict
{
  Start,
  Queue,
  /// The team exceeds its requests/s.
  RefuseQuota,
  RefuseQueueFull,
  /// The deadline has passed, or would pass while the request waits.
  RefuseDeadline,
  /// The queue is overloaded and the wait would be too long.
  RefuseOverloaded,
  /// The service is unknown.
  RefuseUnknown,
};

template<>
struct EnumTable<AdmissionVerdict>
{
  static constexpr std::array<EnumName<AdmissionVerdict>, 7> kRows{ {
    { AdmissionVerdict::Start, "start" },
    { AdmissionVerdict::Queue, "queue" },
    { AdmissionVerdict::RefuseQuota, "refuse_quota" },
    { AdmissionVerdict::RefuseQueueFull, "refuse_queue_full" },
    { AdmissionVerdict::RefuseDeadline, "refuse_deadline" },
    { AdmissionVerdict::RefuseOverloaded, "refuse_overloaded" },
    { AdmissionVerdict::RefuseUnknown, "refuse_unknown" },
  } };
};

struct AdmissionRequest
{
  /// The caller's id of the request, returned in the event.
  uint64_t id_ = 0;
  TimePoint deadline_{};
  /// Expected time that the request runs once started.
  Duration typicalLatency_{};
};

/// A waiting request that was started or refused.
struct AdmissionEvent
{
  uint64_t id_ = 0;
  AdmissionVerdict verdict_ = AdmissionVerdict::Start;
  Duration waited_{};
};

/// Bounded, deadline-aware queue in front of all work on a request. Fair
/// between teams by weight and between the services of a team. Nothing was sent
/// for a refused request, so every refusal means "not run". Does no I/O. Not
/// thread safe: each worker has its own object.
class AdmissionQueue
{
public:
  explicit AdmissionQueue(AdmissionSettings aSettings);

  /// Applies the document's teams and services; running and waiting requests
  /// are kept. Poll() refuses requests that wait for a removed service.
  void Configure(const std::vector<AdmissionTeam>& aTeams,
                 const std::vector<AdmissionService>& aServices);

  /// Sets how many requests of a service may run at once: the sum of its
  /// backend servers' limits of requests in flight. Without a call there is no
  /// limit.
  void SetConcurrency(const ServiceName& aService, uint32_t aConcurrency);

  /// @return Start, Queue or a refusal. After Start, call Finish().
  AdmissionVerdict Offer(const ServiceName& aService,
                         const AdmissionRequest& aRequest,
                         TimePoint aNow);

  /// Marks a started request as finished.
  ///
  /// @param aRunTime time since the request was started.
  void Finish(const ServiceName& aService, Duration aRunTime);

  /// Removes a waiting request whose caller has disconnected.
  void Cancel(const ServiceName& aService, uint64_t aId);

  /// Starts and refuses waiting requests. Call it after Finish() and
  /// SetConcurrency(), and every few ms while any request waits.
  ///
  /// @param aEvents receives the decisions; it is cleared first.
  void Poll(TimePoint aNow, std::vector<AdmissionEvent>& aEvents);

  size_t Queued() const { return queued_; }
  uint32_t Running() const { return running_; }

  /// @return whether requests of the service wait, which counts as overload.
  bool IsOverloaded(const ServiceName& aService) const;

private:
  struct Waiting
  {
    AdmissionRequest request_;
    TimePoint arrivedAt_;
  };

  struct Team
  {
    double weight_ = 1;
    uint32_t requestsPerSecond_ = 0;
    double tokens_ = 0;
    TimePoint refilledAt_{};
    bool isQuotaInitialized_ = false;
    /// Virtual finish time among the teams, and virtual time among the team's
    /// services.
    double virtualFinish_ = 0;
    double virtualTime_ = 0;
  };

  struct Service
  {
    Team* team_ = nullptr;
    uint32_t queueLength_ = 0;
    uint32_t concurrency_ = UINT32_MAX;
    uint32_t running_ = 0;
    double virtualFinish_ = 0;
    double meanRunTimeMs_ = 0;
    bool isRemoved_ = false;
    bool isOverloaded_ = false;
    /// Whether the service is in waiting_.
    bool isInWaitingList_ = false;
    /// When the oldest request's wait was last within targetWait_.
    TimePoint belowTargetAt_{};
    std::deque<Waiting> queue_;
  };

  bool TryTakeQuota(Team& aTeam, TimePoint aNow) const;
  bool CanStart(const Service& aService) const;
  void Start(Service& aService);
  void UpdateOverload(Service& aService, TimePoint aNow) const;
  Duration EstimateWait(const Service& aService) const;
  AdmissionVerdict EvaluateWaiting(const Service& aService,
                                   const Waiting& aWaiting,
                                   TimePoint aNow) const;
  void RefuseOverdue(Service& aService,
                     TimePoint aNow,
                     std::vector<AdmissionEvent>& aEvents);
  Service* NextService();
  void StartWaiting(Service& aService,
                    TimePoint aNow,
                    std::vector<AdmissionEvent>& aEvents);

  AdmissionSettings settings_;
  std::unordered_map<TeamName, Team> teams_;
  std::unordered_map<ServiceName, Service> services_;
  /// Services with a queue, so that idle services cost nothing.
  std::vector<Service*> waiting_;
  double virtualTime_ = 0;
  size_t queued_ = 0;
  uint32_t running_ = 0;
};

} // namespace foxtail

#endif // POLICY_ADMISSIONQUEUE_H
