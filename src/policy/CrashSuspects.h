#ifndef POLICY_CRASHSUSPECTS_H
#define POLICY_CRASHSUSPECTS_H

#include "core/EnumTable.h"
#include "policy/CrashDetector.h"

#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace foxtail {

/// A backend server crashed while it had a request.
struct RequestCrash
{
  RequestFingerprint request_;
  BackendId server_;
  /// Start of the server's process, milliseconds since the Unix epoch.
  uint64_t serverStartedAtMs_ = 0;
  TimePoint sentAt_{};
  /// When the request's connection ended.
  TimePoint endedAt_{};
  /// Whether the server was alive when the request reached it.
  bool hasReachedServer_ = true;
};

/// A backend server replied to a request that was under suspicion.
struct RequestAnswered
{
  RequestFingerprint request_;
};

/// How a request that may crash backend servers is treated.
enum class SuspectTreatment
{
  /// Sent to one server, and to others only when that one has replied.
  Probe,
  /// Not sent to any server.
  Refuse,
};

template<>
struct EnumTable<SuspectTreatment>
{
  static constexpr std::array<EnumName<SuspectTreatment>, 2> kRows{ {
    { SuspectTreatment::Probe, "probe" },
    { SuspectTreatment::Refuse, "refuse" },
  } };
};

/// The time for which a request is treated as a suspect.
struct RequestQuarantine
{
  RequestFingerprint request_;
  TimePoint until_{};
  SuspectTreatment treatment_ = SuspectTreatment::Refuse;
};

/// Reports on requests and crashes between instances.
using CrashReport =
  std::variant<RequestCrash, RequestAnswered, RequestQuarantine>;

struct CrashSuspectsSettings
{
  /// Server processes that must have crashed under a request.
  size_t minServers_ = 3;
  /// How long a request is refused. After that, one more crash begins another
  /// refusal.
  seconds refusal_{ 300 };
  /// How long a request is probed after a crash, and refused when it is first
  /// blamed: crashes that explain the blame may be on their way from other
  /// instances.
  milliseconds provisional_{ 2000 };
  /// Time from the first blame to its review, which extends the refusal.
  milliseconds reviewAfter_{ 500 };
  /// After servers have crashed together, connections to some of them seem to
  /// be open for this long: the transit time between regions.
  milliseconds transitTime_{ 25 };
  /// Precision of the times of crashes that other instances report.
  milliseconds timePrecision_{ 5 };
  /// How long a crash counts.
  seconds crashLifetime_{ 3600 };
  /// How long a request is kept of which no crash is known.
  seconds unansweredLifetime_{ 10 };
  /// Bounds of the memory: requests, and servers of one request.
  size_t maxRequests_ = 4096;
  size_t maxServers_ = 128;
};

/// Finds requests that crash the backend servers that run them. A crash ends
/// all requests that the server had, most of which are not its cause. So a
/// request under which several server processes have crashed is only probed,
/// until a server replies to it. It is blamed and refused when one of them
/// crashed although the request was sent after another crash: the other
/// requests get a reply when they are sent again. Crashes that it shares with a
/// request under which more servers have crashed do not count. Used by entry
/// instances and, with their reports, by control instances. Not thread
/// safe.
class CrashSuspects
{
public:
  explicit CrashSuspects(CrashSuspectsSettings aSettings = {});

  /// Notes a request whose connection ended without a reply, so that a reply to
  /// it that arrives before the crash is confirmed is remembered.
  void OnUnanswered(RequestFingerprint aRequest, TimePoint aNow);

  /// @return whether the crash was not known and counts.
  bool OnCrash(const RequestCrash& aCrash, TimePoint aNow);

  /// @return whether the request was under suspicion until now.
  bool OnAnswered(RequestFingerprint aRequest, TimePoint aNow);

  /// Begins or extends a quarantine that another instance has found necessary.
  void OnQuarantine(const RequestQuarantine& aQuarantine, TimePoint aNow);

  /// Extends the first refusals of the requests that are still blamed. Called
  /// by instances that receive the reports of all others.
  void Review(TimePoint aNow);

  /// Applies a report of another instance.
  void Apply(const CrashReport& aReport, TimePoint aNow);

  /// @return how the request is treated, or nothing when it is sent as usual.
  std::optional<RequestQuarantine> Find(RequestFingerprint aRequest,
                                        TimePoint aNow) const;

  /// Increases with each quarantine that begins or is extended.
  uint64_t Revision() const { return revision_; }
  /// @return the quarantines that began or were extended after a revision.
  std::vector<RequestQuarantine> QuarantinedSince(uint64_t aRevision,
                                                  TimePoint aNow) const;

private:
  struct ServerProcess
  {
    BackendId id_;
    uint64_t startedAtMs_ = 0;

    bool operator==(const ServerProcess&) const = default;
  };
  struct Record
  {
    /// Server processes that crashed under the request.
    std::vector<ServerProcess> crashed_;
    /// End of the first attempt under which a server crashed, and when the
    /// latest one was sent to a server that was alive.
    TimePoint firstEndedAt_ = TimePoint::max();
    TimePoint lastSentAt_{};
    TimePoint lastEventAt_{};
    TimePoint answeredAt_{};
    TimePoint probedUntil_{};
    TimePoint refusedUntil_{};
    /// Revision of the latest change of these two.
    uint64_t revision_ = 0;
    /// When the request was first blamed, and when that is reviewed.
    TimePoint blamedAt_ = TimePoint::max();
    TimePoint reviewAt_ = TimePoint::max();
  };

  Record& RecordOf(RequestFingerprint aRequest, TimePoint aNow);
  void RemoveExpired(TimePoint aNow);
  bool IsSuspected(const Record& aRecord) const;
  bool IsBlamed(const Record& aRecord) const;
  /// @return the number of server processes that crashed under the request, but
  /// under none under which more have crashed.
  size_t CountUnexplained(const Record& aRecord) const;
  void Probe(Record& aRecord, TimePoint aUntil);
  void Refuse(Record& aRecord, TimePoint aUntil);
  void Blame(Record& aRecord, TimePoint aNow);
  void ScheduleReview(Record& aRecord, TimePoint aNow);

  CrashSuspectsSettings settings_;
  std::unordered_map<RequestFingerprint, Record> records_;
  uint64_t revision_ = 0;
  TimePoint nextCleanupAt_{};
  /// Earliest time of a review.
  TimePoint nextReviewAt_ = TimePoint::max();
};

} // namespace foxtail

#endif // POLICY_CRASHSUSPECTS_H
