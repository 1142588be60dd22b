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

enum class DirectoryVerdict
{
  /// A new server, or one whose phase, address or incarnation has changed.
  Changed,
  /// The same as before, heard again.
  Renewed,
  /// Older than what is known; ignored.
  Stale,
};

template<>
struct EnumTable<DirectoryVerdict>
{
  static constexpr std::array<EnumName<DirectoryVerdict>, 3> kRows{ {
    { DirectoryVerdict::Changed, "changed" },
    { DirectoryVerdict::Renewed, "renewed" },
    { DirectoryVerdict::Stale, "stale" },
  } };
};

/// One backend server as the directory knows it.
struct DirectoryRow
{
  ServerAnnouncement announcement_;
  TimePoint heardAt_{};
  /// Revision at which the row last changed.
  uint64_t changedAt_ = 0;
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
  static constexpr seconds kForgetAfter{ 120 };

  /// @param aHeardAt when the announcement reached the system.
  DirectoryVerdict Apply(const ServerAnnouncement& aAnnouncement,
                         TimePoint aHeardAt);

  /// Takes a goodbye. @p aStartedAtMs is 0 when the server did not tell it. One
  /// that tells it is remembered also when the server was never heard of:
  /// others may have heard it.
  DirectoryVerdict Leave(const BackendId& aId,
                         uint64_t aStartedAtMs,
                         TimePoint aNow);

  /// Notes that another instance heard the server with this sequence.
  void Renew(const BackendId& aId, uint64_t aSequence, TimePoint aHeardAt);

  /// Drops rows that were silent for kForgetAfter.
  ///
  /// @return whether any was dropped.
  bool Forget(TimePoint aNow);

  const std::unordered_map<BackendId, DirectoryRow>& Rows() const
  {
    return rows_;
  }
  const DirectoryRow* Find(const BackendId& aId) const;
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
  void Touch(DirectoryRow& aRow, bool aIsChanged, TimePoint aHeardAt);
  /// Replaces what a row holds and keeps the digest.
  void Put(DirectoryRow& aRow, const ServerAnnouncement& aAnnouncement);

  std::unordered_map<BackendId, DirectoryRow> rows_;
  std::unordered_map<std::string, BackendId> byAddress_;
  uint64_t revision_ = 0;
  uint64_t changeRevision_ = 0;
  /// The hashes of all rows joined by exclusive or, so that each change costs
  /// the same however many rows there are.
  uint64_t digest_ = 0;
};

} // namespace foxtail

#endif // POLICY_SERVERDIRECTORY_H
