#ifndef POLICY_SERVERDIRECTORY_H
#define POLICY_SERVERDIRECTORY_H

#include "core/EnumTable.h"
#include "core/Ids.h"
#include "core/Time.h"

#include <absl/status/status.h>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace foxtail {

enum class ServerPhase
{
  Ready,
  /// Finishes its requests and accepts no new ones.
  Draining,
  /// Has deregistered.
  Gone,
};

template<>
struct EnumTable<ServerPhase>
{
  static constexpr std::array<EnumName<ServerPhase>, 3> kRows{ {
    { ServerPhase::Ready, "ready" },
    { ServerPhase::Draining, "draining" },
    { ServerPhase::Gone, "gone" },
  } };
};

/// State that a backend server publishes about itself.
struct ServerAnnouncement
{
  BackendId id_;
  ServiceName service_;
  /// IP address and port for requests.
  std::string address_;
  ZoneName zone_;
  /// Requests that the server runs at once.
  uint32_t slots_ = 1;
  ServerPhase phase_ = ServerPhase::Ready;
  /// Remaining time of its warm-up, during which it is slower. In a directory,
  /// the time that was left at ServerRecord::lastAnnouncementAt_.
  milliseconds warmupLeft_{ 0 };
  /// Start of the process, milliseconds since the Unix epoch.
  uint64_t startedAtMs_ = 0;
  /// Increases with each announcement of one process.
  uint64_t sequence_ = 0;
  /// Whether a reply of the process has stated that it is leaving. Set by this
  /// system, not by the server; holds for the life of the process, and the
  /// phase is then never Ready.
  bool isLeaving_ = false;
};

/// @return a hash of what an announcement states, without its sequence and the
/// rest of the warm-up; the same in each process. 0 for a deregistered server.
uint64_t ContentHash(const ServerAnnouncement& aAnnouncement);

/// States that a server has announced itself again without a change, in place
/// of its whole announcement.
struct ServerRenewal
{
  BackendId id_;
  /// Start of the process that counts sequence_.
  uint64_t startedAtMs_ = 0;
  /// Sequence of the latest announcement.
  uint64_t sequence_ = 0;
  /// ContentHash() of that announcement.
  uint64_t contentHash_ = 0;
};

/// @return the renewal that stands for an announcement.
ServerRenewal MakeRenewal(const ServerAnnouncement& aAnnouncement);

/// Checks what a server announces of itself. An announcement may come from
/// anybody, and is kept and passed on by each control and entry instance, so
/// one of any size, or with a start that no later process can exceed, must not
/// get in.
///
/// @return InvalidRequest when a text is too long or a number out of range.
absl::Status Validate(const ServerAnnouncement& aAnnouncement,
                      WallTime aWallNow);

/// @return whether an announcement of a server is to be ignored in favour of a
/// stored one: it belongs to an earlier process or has a lower sequence. Within
/// one process a deregistration is final, whatever is received after it.
bool IsOlder(const ServerAnnouncement& aUpdate,
             const ServerAnnouncement& aStored);

enum class DirectoryUpdateResult
{
  /// A new server, or one with another phase, address, incarnation or end of
  /// its warm-up.
  Changed,
  /// No change; the last announcement time was updated.
  Renewed,
  /// Older than the stored announcement; ignored.
  Stale,
};

template<>
struct EnumTable<DirectoryUpdateResult>
{
  static constexpr std::array<EnumName<DirectoryUpdateResult>, 3> kRows{ {
    { DirectoryUpdateResult::Changed, "changed" },
    { DirectoryUpdateResult::Renewed, "renewed" },
    { DirectoryUpdateResult::Stale, "stale" },
  } };
};

enum class RenewalResult
{
  /// The last announcement time and the sequence were updated.
  Renewed,
  /// It belongs to an earlier process, to content that has changed since or to
  /// a server that has deregistered.
  Ignored,
  /// The directory lacks the server, its process or the content that is
  /// renewed: the announcement is needed.
  Missing,
};

template<>
struct EnumTable<RenewalResult>
{
  static constexpr std::array<EnumName<RenewalResult>, 3> kRows{ {
    { RenewalResult::Renewed, "renewed" },
    { RenewalResult::Ignored, "ignored" },
    { RenewalResult::Missing, "missing" },
  } };
};

/// Directory entry of one backend server.
struct ServerRecord
{
  ServerAnnouncement announcement_;
  TimePoint lastAnnouncementAt_{};
  /// Revision of the directory at which the record last changed.
  uint64_t changedAtRevision_ = 0;
  /// Whether the present phase, Draining or Gone, is in the replicated log.
  bool isDepartureCommitted_ = false;

  /// @return when the warm-up ends; in the past when it has.
  TimePoint WarmupEndsAt() const
  {
    return lastAnnouncementAt_ + announcement_.warmupLeft_;
  }
};

/// Backend servers by their announcements, ordered by incarnation and sequence
/// for each id and for each address, so that a delayed announcement does not
/// restore a removed server. The record of a deregistered server is kept, so
/// that its late announcements can be distinguished from those of a new
/// incarnation. Not thread safe.
class ServerDirectory
{
public:
  /// How long a record is kept without an announcement. Far above the longest
  /// network partition that can delay an announcement.
  static constexpr seconds kExpireAfter{ 120 };
  /// How long, and for how many processes, the mark of a leaving process
  /// without a record is kept. The number bounds the memory.
  static constexpr seconds kKeepLeavingMark{ 3600 };
  static constexpr size_t kMaxLeavingMarks = 4096;

  /// @param aReceivedAt when the first instance received the announcement.
  DirectoryUpdateResult Apply(const ServerAnnouncement& aAnnouncement,
                              TimePoint aReceivedAt);

  /// Deregisters a server.
  ///
  /// @param aStartedAtMs start of the server's process, or 0 if the server did
  /// not send it. If it is given, the deregistration is stored even for an
  /// unknown server, since other instances may have received its announcements.
  DirectoryUpdateResult Deregister(const BackendId& aId,
                                   uint64_t aStartedAtMs,
                                   TimePoint aNow);

  /// Applies a departure that is in the replicated log: an announcement whose
  /// phase is Draining or Gone.
  DirectoryUpdateResult ApplyCommitted(const ServerAnnouncement& aDeparture,
                                       TimePoint aNow);

  /// Marks a process whose reply states that it is leaving. It is Draining from
  /// now on, whatever it announces. The mark of a process without a record is
  /// kept for its announcement.
  ///
  /// @return Stale when the process has ended or is marked already.
  DirectoryUpdateResult MarkLeaving(const BackendId& aId,
                                    uint64_t aStartedAtMs,
                                    TimePoint aNow);

  /// Updates the last announcement time and the sequence of a server that
  /// another instance has received an announcement of. A sequence orders only
  /// the announcements of one process, and one with new content must not be
  /// outranked by a renewal of it, so the stored process and content must be
  /// those that are renewed.
  RenewalResult Renew(const ServerRenewal& aRenewal, TimePoint aReceivedAt);

  /// Removes records without an announcement for kExpireAfter.
  ///
  /// @return whether any was removed.
  bool RemoveExpired(TimePoint aNow);

  const std::unordered_map<BackendId, ServerRecord>& Rows() const
  {
    return rows_;
  }
  const ServerRecord* Find(const BackendId& aId) const;
  /// Increases with each announcement that is not stale.
  uint64_t Revision() const { return revision_; }
  /// Revision of the latest change.
  uint64_t ChangeRevision() const { return changeRevision_; }
  /// @return a hash of the servers that have not deregistered and of their
  /// latest announcements. It is the same in each process, so that directories
  /// with equal content have equal digests.
  uint64_t Digest() const { return digest_; }

private:
  struct LeavingMark
  {
    uint64_t startedAtMs_ = 0;
    TimePoint markedAt_{};
  };

  DirectoryUpdateResult ApplyMarked(const ServerAnnouncement& aAnnouncement,
                                    TimePoint aReceivedAt);
  /// @return the announcement with the mark that its process has.
  ServerAnnouncement WithLeavingMark(ServerAnnouncement aAnnouncement) const;
  void KeepLeavingMark(const BackendId& aId,
                       uint64_t aStartedAtMs,
                       TimePoint aNow);
  bool IsAddressTaken(const ServerAnnouncement& aAnnouncement) const;
  void ReleaseAddress(const ServerAnnouncement& aAnnouncement);
  void RecordUpdate(ServerRecord& aRow, bool aIsChanged, TimePoint aReceivedAt);
  /// Sets the last announcement time and keeps the end of the warm-up.
  static void SetReceivedAt(ServerRecord& aRow,
                            TimePoint aWarmupEndsAt,
                            TimePoint aReceivedAt);
  /// Replaces a record's announcement and updates the digest.
  void ReplaceContent(ServerRecord& aRow,
                      const ServerAnnouncement& aAnnouncement);

  std::unordered_map<BackendId, ServerRecord> rows_;
  std::unordered_map<std::string, BackendId> byAddress_;
  /// Leaving processes that have no record.
  std::unordered_map<BackendId, LeavingMark> leavingMarks_;
  uint64_t revision_ = 0;
  uint64_t changeRevision_ = 0;
  /// Exclusive or of the hashes of all records, so that the cost of a change
  /// does not depend on the number of records.
  uint64_t digest_ = 0;
};

} // namespace foxtail

#endif // POLICY_SERVERDIRECTORY_H
