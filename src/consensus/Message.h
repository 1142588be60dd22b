#ifndef CONSENSUS_MESSAGE_H
#define CONSENSUS_MESSAGE_H

#include "consensus/Membership.h"
#include "consensus/Types.h"

#include <string>
#include <variant>
#include <vector>

namespace foxtail {

/// Part of the log that a snapshot replaces: all entries up to and including
/// index_, with the term and the membership as of index_.
struct SnapshotMeta
{
  LogIndex index_ = 0;
  Term term_ = 0;
  Membership membership_;

  friend bool operator==(const SnapshotMeta&, const SnapshotMeta&) = default;
};

struct VoteRequest
{
  /// Asks only whether a vote would be granted; the receiver's state does not
  /// change.
  bool isPreVote_ = false;
  /// Leadership transfer: the leader itself started this election, so a live
  /// leader is no reason to refuse the vote.
  bool isTransfer_ = false;
  LogIndex lastIndex_ = 0;
  Term lastTerm_ = 0;
};

struct VoteReply
{
  bool isPreVote_ = false;
  bool isGranted_ = false;
};

struct AppendRequest
{
  LogIndex prevIndex_ = 0;
  Term prevTerm_ = 0;
  LogIndex commitIndex_ = 0;
  /// Heartbeat round, echoed in the reply. Replies of a quorum confirm that the
  /// sender was still the leader, as linearizable reads require.
  uint64_t round_ = 0;
  std::vector<LogEntry> entries_;
};

struct AppendReply
{
  bool isAccepted_ = false;
  /// Accepted: last index known to match the leader's log. Rejected: last index
  /// that may match.
  LogIndex index_ = 0;
  /// Rejected: prevIndex_ of the request.
  LogIndex rejectedPrevIndex_ = 0;
  uint64_t round_ = 0;
};

/// A chunk of a snapshot.
struct SnapshotRequest
{
  SnapshotMeta meta_;
  uint64_t offset_ = 0;
  uint64_t totalBytes_ = 0;
  uint64_t round_ = 0;
  std::string data_;
};

struct SnapshotReply
{
  LogIndex index_ = 0;
  /// Bytes of the snapshot that the receiver has; totalBytes_ once the snapshot
  /// is installed.
  uint64_t nextOffset_ = 0;
  uint64_t round_ = 0;
};

/// Leadership transfer: the receiver starts an election at once.
struct TransferRequest
{};

using MessageBody = std::variant<VoteRequest,
                                 VoteReply,
                                 AppendRequest,
                                 AppendReply,
                                 SnapshotRequest,
                                 SnapshotReply,
                                 TransferRequest>;

struct ConsensusMessage
{
  uint64_t group_ = 0;
  MemberId from_;
  MemberId to_;
  Term term_ = 0;
  MessageBody body_;
};

} // namespace foxtail

#endif // CONSENSUS_MESSAGE_H
