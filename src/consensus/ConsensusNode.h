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
  /// Follows a leader, or waits for one.
  Follower,
  /// Asks whether it would be elected.
  PreCandidate,
  /// Stands for election.
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

/// Pairs the answer of a read with its request.
using ReadId = uint64_t;
/// Number of a batch of writes.
using WriteSequence = uint64_t;

/// Where a proposed entry was put. It is committed only if the entry that is
/// later committed at index_ has the same term.
struct Proposal
{
  LogIndex index_ = 0;
  Term term_ = 0;
};

/// What the node wants done, in this order: write and sync; send; restore;
/// apply; answer reads.
struct ConsensusOutput
{
  /// To be written in order and synced, then reported by OnSynced().
  std::vector<LogWrite> writes_;
  WriteSequence writeSequence_ = 0;
  /// May be sent at once, before the writes above are synced.
  std::vector<ConsensusMessage> messages_;
  /// The state machine is to be replaced by this before any entry is applied.
  std::optional<Snapshot> installedSnapshot_;
  /// To be applied in order.
  std::vector<LogEntry> committedEntries_;
  /// Reads that may be answered once the entries above are applied.
  std::vector<ReadId> confirmedReads_;
  /// Reads that cannot be answered by this node any more.
  std::vector<ReadId> failedReads_;

  bool IsEmpty() const;
};

/// One member of a group that keeps a replicated log by the Raft algorithm,
/// with pre-vote, check-quorum, quorum reads, learners, single-server
/// membership change and snapshots. A pure state machine: messages and the
/// present time go in; messages, writes and committed entries come out of
/// TakeOutput(). No message is released before the writes that it depends on
/// are reported as synced. Not thread safe.
class ConsensusNode
{
public:
  /// @param aStored what the member's storage holds.
  /// @param aSeed draws the election timeouts.
  ConsensusNode(ConsensusSettings aSettings,
                MemberId aSelf,
                StoredState aStored,
                uint64_t aSeed,
                TimePoint aNow);

  /// To be called at least once a heartbeat interval.
  void Tick(TimePoint aNow);
  void Receive(const ConsensusMessage& aMessage, TimePoint aNow);
  /// Every batch up to @p aSequence is on stable storage.
  void OnSynced(WriteSequence aSequence, TimePoint aNow);

  /// Appends a command. Leader only.
  ///
  /// @return NoQuorum when this member does not lead, Overloaded when too much
  /// is uncommitted; in both cases nothing was appended.
  absl::StatusOr<Proposal> Propose(std::string aPayload);

  /// Appends a membership that differs from the present one in one voter at
  /// most. Leader only.
  ///
  /// @return Conflict while another change is not committed, InvalidRequest
  /// when the change is too large or removes the leader itself.
  absl::StatusOr<Proposal> ProposeMembership(Membership aMembership,
                                             TimePoint aNow);

  /// Asks for a linearizable read of the state machine. Leader only.
  absl::StatusOr<ReadId> RequestRead();

  /// Hands leadership to the voter whose log is the most complete.
  void TransferLeadership();

  /// Takes a snapshot of the state machine as of @p aIndex, which has been
  /// applied.
  void Compact(LogIndex aIndex, std::shared_ptr<const std::string> aData);

  ConsensusOutput TakeOutput();

  const MemberId& Self() const { return self_; }
  /// @return the group's number; 0 while this member has not heard from one.
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
  /// @return whether no change of membership waits to be committed.
  bool IsMembershipCommitted() const;
  /// @return whether this leader has committed an entry of its own term.
  bool HasCommittedInTerm() const;
  /// @return a member's progress; null when this member does not lead.
  const MemberProgress* ProgressOf(const MemberId& aId) const;

private:
  struct HeldMessage
  {
    WriteSequence dependsOn_ = 0;
    ConsensusMessage message_;
  };
  struct SyncPoint
  {
    WriteSequence sequence_ = 0;
    Term term_ = 0;
    LogIndex lastIndex_ = 0;
  };
  struct PendingRead
  {
    ReadId id_ = 0;
    /// Round that must be answered; 0 until one is sent.
    uint64_t round_ = 0;
    /// What must be committed and applied before the answer.
    LogIndex index_ = 0;
  };
  struct MessageDispatcher;

  // Time and roles.
  void ResetElectionDeadline(TimePoint aNow);
  void BecomeFollower(Term aTerm, TimePoint aNow);
  void StartElection(bool aIsPreVote, bool aIsTransfer, TimePoint aNow);
  void BecomeLeader(TimePoint aNow);
  void CountVote(const MemberId& aFrom, TimePoint aNow);
  bool HasRecentLeader(TimePoint aNow) const;
  bool IsVoter() const { return CurrentMembership().IsVoter(self_); }
  void FailReads();

  // Receiving.
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

  // Leading.
  void AppendAsLeader(EntryKind aKind, std::string aPayload);
  void Broadcast(bool aIsHeartbeat);
  void SendAppend(const MemberId& aTo,
                  MemberProgress& aProgress,
                  bool aIsHeartbeat);
  void SendSnapshotChunk(const MemberId& aTo, MemberProgress& aProgress);
  void AdvanceCommitIndex();
  void ConfirmReads();

  // Output.
  void Send(const MemberId& aTo, MessageBody aBody, bool aIsAfterWrites);
  void Send(const MemberId& aTo,
            Term aTerm,
            MessageBody aBody,
            bool aIsAfterWrites);
  void SaveHardState();
  void SaveEntries(std::vector<LogEntry> aEntries);
  void ReleaseHeldMessages();
  void DeliverToSelf(TimePoint aNow);
  /// @return the number that the writes not yet taken will get, or that of the
  /// last batch taken when there are none.
  WriteSequence LatestWriteSequence() const;

  ConsensusSettings settings_;
  MemberId self_;
  HardState hardState_;
  ReplicatedLog log_;
  RandomSource random_;
  /// 0 until a joining member has heard from its group.
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

  /// A snapshot on its way from the leader.
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
