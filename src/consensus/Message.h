#ifndef CONSENSUS_MESSAGE_H
#define CONSENSUS_MESSAGE_H

#include "consensus/Membership.h"
#include "consensus/Types.h"

#include <string>
#include <variant>
#include <vector>

namespace foxtail {

/// What a snapshot stands for: the log up to and with index_.
struct SnapshotMeta
{
  LogIndex index_ = 0;
  Term term_ = 0;
  Membership membership_;

  friend bool operator==(const SnapshotMeta&, const SnapshotMeta&) = default;
};

struct VoteRequest
{
  /// Asks whether a vote would be granted; changes nothing at the receiver.
  bool isPreVote_ = false;
  /// The leader itself handed over, so a live leader is no reason to refuse.
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
  /// Echoed in the reply; proves to quorum reads that the leader still led.
  uint64_t round_ = 0;
  std::vector<LogEntry> entries_;
};

struct AppendReply
{
  bool isAccepted_ = false;
  /// Accepted: the last index known to match. Refused: the last index that may.
  LogIndex index_ = 0;
  /// Refused: prevIndex_ of the request.
  LogIndex rejectedPrevIndex_ = 0;
  uint64_t round_ = 0;
};

/// A part of a snapshot.
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
  /// Bytes that the receiver holds; totalBytes_ when it is installed.
  uint64_t nextOffset_ = 0;
  uint64_t round_ = 0;
};

/// The leader asks the receiver to stand for election at once.
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
