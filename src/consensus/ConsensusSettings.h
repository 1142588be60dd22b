#ifndef CONSENSUS_CONSENSUSSETTINGS_H
#define CONSENSUS_CONSENSUSSETTINGS_H

#include "core/EnumTable.h"
#include "core/JsonReader.h"
#include "core/Time.h"

#include <cstddef>

namespace foxtail {

/// A fault planted on purpose, so that a test can show that it would be found.
enum class InjectedFault
{
  None,
  /// Votes more than once in a term.
  VoteTwice,
  /// Commits entries of earlier terms by counting copies.
  CommitEarlierTerm,
  /// Sends messages before the writes that they depend on are synced.
  SendBeforeSync,
  /// Votes for candidates whose log is behind.
  IgnoreCandidateLog,
  /// Answers reads without asking a quorum.
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
  /// How often a leader sends to each member.
  milliseconds heartbeatInterval_{ 100 };
  /// Silence after which a member stands for election, and after which a
  /// leader without a quorum steps down; drawn anew from here to twice as
  /// much.
  milliseconds electionTimeout_{ 500 };
  /// Payload bytes in one message.
  size_t maxAppendBytes_ = 1024 * 1024;
  /// Entries sent to a member ahead of its answers.
  size_t maxInFlightEntries_ = 65536;
  /// Entries proposed and not yet committed; more are refused.
  size_t maxUncommittedEntries_ = 65536;
  /// Bytes in one part of a snapshot.
  size_t snapshotChunkBytes_ = 1024 * 1024;
  /// Entries kept before a snapshot for members that are a little behind.
  size_t retainedEntries_ = 1024;
  /// For tests only.
  InjectedFault fault_ = InjectedFault::None;

  /// Reads heartbeat_ms and election_timeout_ms.
  static ConsensusSettings Read(JsonReader& aReader);
};

} // namespace foxtail

#endif // CONSENSUS_CONSENSUSSETTINGS_H
