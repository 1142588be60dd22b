#ifndef CONSENSUS_CONSENSUSNODE_H
#define CONSENSUS_CONSENSUSNODE_H

#include "consensus/ConsensusSettings.h"
#include "consensus/LogStorage.h"
#include "consensus/Message.h"
#include "consensus/ReplicatedLog.h"
#include "consensus/ReplicationTracker.h"
#include "core/RandomSource.h"
#include "core/Time.h"

#include <absl/status/statusor.h>
#include <deque>
#include <optional>
#include <set>
#include <vector>

namespace foxtail {

enum class ConsensusRole
{
  /// Replicates a leader's log, or has no leader yet.
  Follower,
  /// Has started a pre-vote, which checks whether a quorum would vote for it.
  PreCandidate,
  /// Has started an election.
  Candidate,
  Leader,
};

template<>
struct EnumTable<ConsensusRole>
{
  static constexpr std::array<EnumName<ConsensusRole>, 4> kRows{ {
    { ConsensusRole::Follower, "follower" },
    { ConsensusRole::PreCandidate, "pre_candidate" },
    { ConsensusRole::Candidate, "candidate" },
    { ConsensusRole::Leader, "leader" },
  } };
};

/// Identifies a read in RequestRead() and in ConsensusOutput.
using ReadId = uint64_t;
/// Sequence number of a batch of writes; 0 is before the first batch.
using WriteSequence = uint64_t;

/// Position of a proposed entry in the log. The proposal is committed only if
/// the entry that is later committed at index_ has the same term.
struct Proposal
{
  LogIndex index_ = 0;
  Term term_ = 0;
};

/// Work that the caller must do for the node, in this order: write and
/// sync, send messages, restore the snapshot, apply entries, answer reads.
struct ConsensusOutput
{
  /// To be written in order and synced, then confirmed by OnSynced().
  std::vector<LogWrite> writes_;
  WriteSequence writeSequence_ = 0;
  /// May be sent at once, before writes_ is synced.
  std::vector<ConsensusMessage> messages_;
  /// Replaces the state of the state machine before any entry is applied.
  std::optional<Snapshot> installedSnapshot_;
  /// Committed entries, to be applied in order.
  std::vector<LogEntry> committedEntries_;
  /// Reads that may be answered once committedEntries_ is applied.
  std::vector<ReadId> confirmedReads_;
  /// Reads that this node can no longer answer, as it is not the leader.
  std::vector<ReadId> failedReads_;

  bool IsEmpty() const;
};

/// One member of a Raft group, with pre-vote, check-quorum, linearizable reads
/// confirmed by a quorum, learners, leadership transfer, single-server
/// membership changes and snapshots.
///
/// A deterministic state machine without I/O: its inputs are messages and the
/// current time, and TakeOutput() returns messages, writes and committed
/// entries. A message is not released before the writes that it depends on are
/// confirmed by OnSynced(). Not thread safe.
class ConsensusNode
{
public:
  /// @param aStored state loaded from the member's storage.
  /// @param aSeed seed of the random election timeouts.
  ConsensusNode(ConsensusSettings aSettings,
                MemberId aSelf,
                StoredState aStored,
                uint64_t aSeed,
                TimePoint aNow);

  /// Starts elections, sends heartbeats and checks the quorum. To be called at
  /// least once per heartbeat interval.
  void Tick(TimePoint aNow);
  void Receive(const ConsensusMessage& aMessage, TimePoint aNow);
  /// Confirms that every batch of writes up to @p aSequence is on stable
  /// storage.
  void OnSynced(WriteSequence aSequence, TimePoint aNow);

  /// Appends a command. Leader only.
  ///
  /// @return NoQuorum when this member is not the leader, Overloaded when too
  /// many entries are uncommitted; in both cases nothing was appended.
  absl::StatusOr<Proposal> Propose(std::string aPayload);

  /// Appends a membership that differs from the current one in at most one
  /// voter. Leader only.
  ///
  /// @return NoQuorum when this member is not the leader, Conflict while
  /// another membership change or the first entry of the term is not committed,
  /// InvalidRequest when more than one voter differs or the leader itself would
  /// be removed.
  absl::StatusOr<Proposal> ProposeMembership(Membership aMembership,
                                             TimePoint aNow);

  /// Starts a linearizable read of the state machine. Leader only.
  ///
  /// @return the id under which TakeOutput() confirms or fails the read, or
  /// NoQuorum when this member is not the leader.
  absl::StatusOr<ReadId> RequestRead();

  /// Transfers leadership to the other voter with the highest match index.
  void TransferLeadership();

  /// Compacts the log with a snapshot of the state machine.
  ///
  /// @param aIndex last applied index that the snapshot covers.
  /// @param aData encoded state of the state machine as of @p aIndex.
  void Compact(LogIndex aIndex, std::shared_ptr<const std::string> aData);

  ConsensusOutput TakeOutput();

  const MemberId& Self() const { return self_; }
  /// @return the random number that identifies the group; 0 on a joining member
  /// until it receives the first message from its group.
  uint64_t Group() const { return group_; }
  ConsensusRole Role() const { return role_; }
  Term CurrentTerm() const { return hardState_.term_; }
  LogIndex CommitIndex() const { return commitIndex_; }
  const std::optional<MemberId>& Leader() const { return leader_; }
  const ReplicatedLog& Log() const { return log_; }
  const Membership& CurrentMembership() const
  {
    return log_.LatestMembership();
  }
  /// @return whether the latest membership is committed.
  bool IsMembershipCommitted() const;
  /// @return whether this leader has committed an entry of its own term.
  bool HasCommittedInTerm() const;
  /// @return the replication progress of a member; null when this node is not
  /// the leader or @p aId is not a member.
  const MemberProgress* ProgressOf(const MemberId& aId) const;

private:
  /// A message that is released once the writes it depends on are synced.
  struct HeldMessage
  {
    WriteSequence dependsOn_ = 0;
    ConsensusMessage message_;
  };
  /// Term and last index of the log when a batch of writes was taken.
  struct SyncPoint
  {
    WriteSequence sequence_ = 0;
    Term term_ = 0;
    LogIndex lastIndex_ = 0;
  };
  struct PendingRead
  {
    ReadId id_ = 0;
    /// Heartbeat round that a quorum must acknowledge; 0 until it is sent.
    uint64_t round_ = 0;
    /// Index that must be committed and applied before the read is answered.
    LogIndex index_ = 0;
  };
  struct MessageDispatcher;

  // Timers and role changes.
  void ResetElectionDeadline(TimePoint aNow);
  void BecomeFollower(Term aTerm, TimePoint aNow);
  void StartElection(bool aIsPreVote, bool aIsTransfer, TimePoint aNow);
  void BecomeLeader(TimePoint aNow);
  void CountVote(const MemberId& aFrom, TimePoint aNow);
  bool HasRecentLeader(TimePoint aNow) const;
  bool IsVoter() const { return CurrentMembership().IsVoter(self_); }
  void FailReads();

  // Received messages.
  bool CheckGroupAndTerm(const ConsensusMessage& aMessage, TimePoint aNow);
  void ReplyToStaleTerm(const ConsensusMessage& aMessage);
  void FollowLeader(const ConsensusMessage& aMessage, TimePoint aNow);
  void Handle(const ConsensusMessage& aMessage,
              const VoteRequest& aBody,
              TimePoint aNow);
  void Handle(const ConsensusMessage& aMessage,
              const VoteReply& aBody,
              TimePoint aNow);
  void Handle(const ConsensusMessage& aMessage,
              const AppendRequest& aBody,
              TimePoint aNow);
  void Handle(const ConsensusMessage& aMessage,
              const AppendReply& aBody,
              TimePoint aNow);
  void Handle(const ConsensusMessage& aMessage,
              const SnapshotRequest& aBody,
              TimePoint aNow);
  void Handle(const ConsensusMessage& aMessage,
              const SnapshotReply& aBody,
              TimePoint aNow);
  void Handle(const ConsensusMessage& aMessage,
              const TransferRequest& aBody,
              TimePoint aNow);
  void MergeEntries(const AppendRequest& aBody);
  void InstallSnapshot(const SnapshotRequest& aBody);
  MemberProgress* RecordReply(const MemberId& aFrom,
                              uint64_t aRound,
                              TimePoint aNow);

  // Leader operations.
  void AppendAsLeader(EntryKind aKind, std::string aPayload);
  void Broadcast(bool aIsHeartbeat);
  void SendAppend(const MemberId& aTo,
                  MemberProgress& aProgress,
                  bool aIsHeartbeat);
  void SendSnapshotChunk(const MemberId& aTo, MemberProgress& aProgress);
  void AdvanceCommitIndex();
  void ConfirmReads();

  // Output: writes, messages and committed entries.
  void Send(const MemberId& aTo, MessageBody aBody, bool aIsAfterWrites);
  void Send(const MemberId& aTo,
            Term aTerm,
            MessageBody aBody,
            bool aIsAfterWrites);
  void SaveHardState();
  void SaveEntries(std::vector<LogEntry> aEntries);
  void ReleaseHeldMessages();
  void DeliverToSelf(TimePoint aNow);
  /// @return the sequence number that the writes in output_ will get, or that
  /// of the last taken batch when output_ has no writes.
  WriteSequence LatestWriteSequence() const;

  ConsensusSettings settings_;
  MemberId self_;
  HardState hardState_;
  ReplicatedLog log_;
  RandomSource random_;
  /// 0 until a joining member receives the first message from its group.
  uint64_t group_ = 0;

  ConsensusRole role_ = ConsensusRole::Follower;
  std::optional<MemberId> leader_;
  LogIndex commitIndex_ = 0;
  LogIndex lastReturnedIndex_ = 0;
  TimePoint electionDeadline_{};
  std::optional<TimePoint> lastLeaderMessageTime_;
  std::set<MemberId> votes_;

  ReplicationTracker tracker_;
  LogIndex firstIndexOfTerm_ = 0;
  TimePoint nextHeartbeatTime_{};
  bool isBroadcastDue_ = false;
  uint64_t round_ = 0;
  ReadId nextReadId_ = 1;
  std::deque<PendingRead> pendingReads_;

  /// Snapshot that is being received from the leader.
  SnapshotMeta incomingMeta_;
  std::string incomingData_;

  ConsensusOutput output_;
  std::deque<HeldMessage> heldMessages_;
  std::deque<ConsensusMessage> selfMessages_;
  WriteSequence lastTakenWrite_ = 0;
  WriteSequence lastSyncedWrite_ = 0;
  std::deque<SyncPoint> syncPoints_;
};

} // namespace foxtail

#endif // CONSENSUS_CONSENSUSNODE_H
