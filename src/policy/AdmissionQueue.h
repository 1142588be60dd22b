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
  /// A queue whose oldest request has waited longer than this all through
  /// window_ is overloaded.
  milliseconds targetWait_{ 5 };
  milliseconds window_{ 25 };
  /// Longest wait in an overloaded queue; until the deadline in others.
  milliseconds overloadedWait_{ 20 };
  /// Time's worth of a team's requests/s that it may use at once.
  milliseconds quotaBurst_{ 500 };

  static AdmissionSettings Read(JsonReader& aReader);
};

struct AdmissionTeam
{
  TeamName name_;
  uint32_t weight_ = 1;
  /// 0: no limit.
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
  /// The team is over its requests/s.
  RefuseQuota,
  RefuseQueueFull,
  /// It would wait past its deadline, or has.
  RefuseDeadline,
  /// The queue is overloaded and the wait too long.
  RefuseOverloaded,
  /// No such service.
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
  /// The caller's own number, handed back in the event.
  uint64_t id_ = 0;
  TimePoint deadline_{};
  /// Expected time that it runs once started.
  Duration typicalLatency_{};
};

/// A request that waited and now starts or is refused.
struct AdmissionEvent
{
  uint64_t id_ = 0;
  AdmissionVerdict verdict_ = AdmissionVerdict::Start;
  Duration waited_{};
};

/// Bounded, deadline-aware queue in front of everything that a request costs,
/// fair between teams by weight and between the services of a team. Refusals
/// are "not run" by construction: nothing was sent. Pure. Not thread safe: one
/// object for each worker.
class AdmissionQueue
{
public:
  explicit AdmissionQueue(AdmissionSettings aSettings);

  /// Takes over the document's teams and services; what runs and waits stays.
  /// Requests that wait for a service that is gone are refused by Poll().
  void Configure(const std::vector<AdmissionTeam>& aTeams,
                 const std::vector<AdmissionService>& aServices);

  /// Sets how many requests of a service may run at once: what its backend
  /// servers take, by their limits in flight. Without it there is no limit.
  void SetConcurrency(const ServiceName& aService, uint32_t aConcurrency);

  /// @return Start, Queue or a refusal. After Start, call Finish().
  AdmissionVerdict Offer(const ServiceName& aService,
                         const AdmissionRequest& aRequest,
                         TimePoint aNow);

  /// Counts a started request as over.
  ///
  /// @param aRunTime since its start.
  void Finish(const ServiceName& aService, Duration aRunTime);

  /// Drops a request that waits, whose caller has gone.
  void Cancel(const ServiceName& aService, uint64_t aId);

  /// Starts and refuses requests that wait. Call it after Finish() and
  /// SetConcurrency(), and every few ms while any waits.
  ///
  /// @param aEvents gets what was decided; it is cleared first.
  void Poll(TimePoint aNow, std::vector<AdmissionEvent>& aEvents);

  size_t Queued() const { return queued_; }
  uint32_t Running() const { return running_; }

  /// @return whether requests of the service wait: overload is seen.
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
    /// Virtual finish time among teams, and virtual time among its services.
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
    /// Whether it stands in waiting_.
    bool isInWaitingList_ = false;
    /// When the queue was last seen short enough.
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
  /// Services with a queue, so that idle ones cost nothing.
  std::vector<Service*> waiting_;
  double virtualTime_ = 0;
  size_t queued_ = 0;
  uint32_t running_ = 0;
};

} // namespace foxtail

#endif // POLICY_ADMISSIONQUEUE_H
