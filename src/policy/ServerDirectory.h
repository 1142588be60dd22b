#ifndef POLICY_SERVERDIRECTORY_H
#define POLICY_SERVERDIRECTORY_H

#include "core/EnumTable.h"
#include "core/Ids.h"
#include "core/Time.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace foxtail {

enum class ServerPhase
{
  Ready,
  /// Finishes what it has; takes no new work.
  Draining,
  /// Said goodbye.
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

/// What one backend server says of itself.
struct ServerAnnouncement
{
  BackendId id_;
  ServiceName service_;
  /// IP number and port that requests go to.
  std::string address_;
  ZoneName zone_;
  /// Requests that it works on at a time.
  uint32_t slots_ = 1;
  ServerPhase phase_ = ServerPhase::Ready;
  /// How much longer it stays slow after its start.
  milliseconds warmupLeft_{ 0 };
  /// Start of the process, milliseconds since the Unix epoch.
  uint64_t startedAtMs_ = 0;
  /// Grows with each announcement of one process.
  uint64_t sequence_ = 0;
};

enum class DirectoryUpdateResult
{
  /// A new server, or one whose phase, address or incarnation has changed.
  Changed,
  /// The same as before, heard again.
  Renewed,
  /// Older than what is known; ignored.
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

/// One backend server as the directory knows it.
struct ServerRecord
{
  ServerAnnouncement announcement_;
  TimePoint lastAnnouncementAt_{};
  /// Revision at which the row last changed.
  uint64_t changedAtRevision_ = 0;
};

/// Announced backend servers, ordered by incarnation and sequence for each id
/// and for each address, so that a delayed announcement brings nobody back. A
/// server that has said goodbye is remembered, so that its late announcements
/// are told from those of a new incarnation. Not thread safe.
class ServerDirectory
{
public:
  /// How long a silent server is kept: far above the longest partition that an
  /// announcement may be delayed by.
  static constexpr seconds kExpireAfter{ 120 };

  /// @param aReceivedAt when the announcement reached the system.
  DirectoryUpdateResult Apply(const ServerAnnouncement& aAnnouncement,
                              TimePoint aReceivedAt);

  /// Takes a goodbye. @p aStartedAtMs is 0 when the server did not tell it. One
  /// that tells it is remembered also when the server was never heard of:
  /// others may have heard it.
  DirectoryUpdateResult Deregister(const BackendId& aId,
                                   uint64_t aStartedAtMs,
                                   TimePoint aNow);

  /// Notes that another instance heard the server with this sequence.
  void Renew(const BackendId& aId, uint64_t aSequence, TimePoint aReceivedAt);

  /// Drops rows that were silent for kExpireAfter.
  ///
  /// @return whether any was dropped.
  bool RemoveExpired(TimePoint aNow);

  const std::unordered_map<BackendId, ServerRecord>& Rows() const
  {
    return rows_;
  }
  const ServerRecord* Find(const BackendId& aId) const;
  /// Grows with each announcement that is not stale.
  uint64_t Revision() const { return revision_; }
  /// Revision of the latest change.
  uint64_t ChangeRevision() const { return changeRevision_; }
  /// @return a hash of the servers that are not gone and of what they last said
  /// of themselves, the same in each process; directories that know the same
  /// have the same digest.
  uint64_t Digest() const { return digest_; }

private:
  bool IsAddressTaken(const ServerAnnouncement& aAnnouncement) const;
  void ReleaseAddress(const ServerAnnouncement& aAnnouncement);
  void RecordUpdate(ServerRecord& aRow, bool aIsChanged, TimePoint aReceivedAt);
  /// Replaces what a row holds and keeps the digest.
  void ReplaceContent(ServerRecord& aRow,
                      const ServerAnnouncement& aAnnouncement);

  std::unordered_map<BackendId, ServerRecord> rows_;
  std::unordered_map<std::string, BackendId> byAddress_;
  uint64_t revision_ = 0;
  uint64_t changeRevision_ = 0;
  /// The hashes of all rows joined by exclusive or, so that each change costs
  /// the same however many rows there are.
  uint64_t digest_ = 0;
};

} // namespace foxtail

#endif // POLICY_SERVERDIRECTORY_H
