#ifndef CONSENSUS_CONSENSUSSETTINGS_H
#define CONSENSUS_CONSENSUSSETTINGS_H

#include "core/EnumTable.h"
#include "core/JsonReader.h"
#include "core/Time.h"

#include <cstddef>

namespace foxtail {

/// Faults that a test injects to prove that its checks detect them.
enum class InjectedFault
{
  None,
  /// Votes more than once in a term.
  VoteTwice,
  /// Commits entries of earlier terms by counting replicas.
  CommitEarlierTerm,
  /// Sends messages before the writes that they depend on are synced.
  SendBeforeSync,
  /// Votes for candidates whose log is not up to date.
  IgnoreCandidateLog,
  /// Confirms reads without a quorum.
  ReadWithoutQuorum,
};

template<>
struct EnumTable<InjectedFault>
{
  static constexpr std::array<EnumName<InjectedFault>, 6> kRows{ {
    { InjectedFault::None, "none" },
    { InjectedFault::VoteTwice, "vote_twice" },
    { InjectedFault::CommitEarlierTerm, "commit_earlier_term" },
    { InjectedFault::SendBeforeSync, "send_before_sync" },
    { InjectedFault::IgnoreCandidateLog, "ignore_candidate_log" },
    { InjectedFault::ReadWithoutQuorum, "read_without_quorum" },
  } };
};

/// Settings of the replicated log.
struct ConsensusSettings
{
  /// Interval at which a leader sends to each member.
  milliseconds heartbeatInterval_{ 100 };
  /// Time without a leader's messages after which a member starts an election,
  /// chosen at random between this and twice as much each time. A leader
  /// without a quorum's replies for this long steps down.
  milliseconds electionTimeout_{ 500 };
  /// Maximum payload bytes of the entries in one message.
  size_t maxAppendBytes_ = 1024 * 1024;
  /// Maximum number of entries sent to a member and not yet acknowledged.
  size_t maxInFlightEntries_ = 65536;
  /// Maximum number of uncommitted entries; further commands are refused.
  size_t maxUncommittedEntries_ = 65536;
  /// Maximum bytes in one chunk of a snapshot.
  size_t snapshotChunkBytes_ = 1024 * 1024;
  /// Entries retained before a snapshot for members that lag a little behind.
  size_t retainedEntries_ = 1024;
  /// Fault to inject; for tests only.
  InjectedFault fault_ = InjectedFault::None;

  /// Reads heartbeat_ms and election_timeout_ms.
  static ConsensusSettings Read(JsonReader& aReader);
};

} // namespace foxtail

#endif // CONSENSUS_CONSENSUSSETTINGS_H
