#include "consensus/ConsensusNode.h"

#include "core/Error.h"

#include <algorithm>
#include <boost/assert.hpp>

namespace foxtail {

struct ConsensusNode::MessageDispatcher
{
  ConsensusNode& node_;
  const ConsensusMessage& message_;
  TimePoint now_;

  template<typename Body>
  void operator()(const Body& aBody) const
  {
    node_.Handle(message_, aBody, now_);
  }
};

bool ConsensusOutput::IsEmpty() const
{
  return writes_.empty() && messages_.empty() &&
         !installedSnapshot_.has_value() && committedEntries_.empty() &&
         confirmedReads_.empty() && failedReads_.empty();
}

ConsensusNode::ConsensusNode(ConsensusSettings aSettings,
                             MemberId aSelf,
                             StoredState aStored,
                             uint64_t aSeed,
                             TimePoint aNow)
  : settings_(aSettings)
  , self_(std::move(aSelf))
  , hardState_(std::move(aStored.hardState_))
  , log_(std::move(aStored.snapshot_), std::move(aStored.entries_))
  , random_(aSeed)
  , group_(log_.LatestMembership().group_)
  , commitIndex_(log_.LatestSnapshot().meta_.index_)
  , lastReturnedIndex_(commitIndex_)
{
  if (commitIndex_ > 0) {
    output_.installedSnapshot_ = log_.LatestSnapshot();
  }
  ResetElectionDeadline(aNow);
  // The first deadline after a start is halved: a working leader's heartbeat
  // arrives within one interval, and a pre-vote does not depose a leader.
  electionDeadline_ = aNow + (electionDeadline_ - aNow) / 2;
}

bool ConsensusNode::IsMembershipCommitted() const
{
  return log_.LatestMembershipIndex() <= commitIndex_;
}

bool ConsensusNode::HasCommittedInTerm() const
{
  return role_ == ConsensusRole::Leader && commitIndex_ >= firstIndexOfTerm_;
}

const MemberProgress* ConsensusNode::ProgressOf(const MemberId& aId) const
{
  return role_ == ConsensusRole::Leader ? tracker_.Find(aId) : nullptr;
}

// Timers and role changes.

void ConsensusNode::ResetElectionDeadline(TimePoint aNow)
{
  const auto extraRangeMs =
    static_cast<uint64_t>(settings_.electionTimeout_.count()) + 1;
  const milliseconds extra(
    static_cast<int64_t>(random_.NextBelow(extraRangeMs)));
  electionDeadline_ = aNow + settings_.electionTimeout_ + extra;
}

void ConsensusNode::Tick(TimePoint aNow)
{
  if (role_ != ConsensusRole::Leader) {
    if (aNow >= electionDeadline_ && IsVoter()) {
      StartElection(true, false, aNow);
      DeliverToSelf(aNow);
    }
    return;
  }
  // Check-quorum: a leader without replies from a quorum steps down by its own
  // clock, because a partitioned leader may receive no message of the new one.
  const TimePoint quorumReplyTime =
    tracker_.QuorumReplyTime(CurrentMembership(), aNow);
  if (aNow - quorumReplyTime >= settings_.electionTimeout_) {
    BecomeFollower(hardState_.term_, aNow);
    return;
  }
  if (aNow >= nextHeartbeatTime_) {
    nextHeartbeatTime_ = aNow + settings_.heartbeatInterval_;
    Broadcast(true);
  }
}

void ConsensusNode::BecomeFollower(Term aTerm, TimePoint aNow)
{
  if (aTerm > hardState_.term_) {
    hardState_ = { aTerm, std::nullopt };
    SaveHardState();
  }
  if (role_ == ConsensusRole::Leader) {
    FailReads();
  }
  role_ = ConsensusRole::Follower;
  leader_.reset();
  votes_.clear();
  ResetElectionDeadline(aNow);
}

void ConsensusNode::StartElection(bool aIsPreVote,
                                  bool aIsTransfer,
                                  TimePoint aNow)
{
  leader_.reset();
  votes_.clear();
  ResetElectionDeadline(aNow);
  Term term = hardState_.term_ + 1;
  if (aIsPreVote) {
    role_ = ConsensusRole::PreCandidate;
  } else {
    role_ = ConsensusRole::Candidate;
    hardState_ = { term, self_ };
    SaveHardState();
  }
  const VoteRequest request{
    aIsPreVote, aIsTransfer, log_.LastIndex(), log_.LastTerm()
  };
  for (const GroupMember& member : CurrentMembership().members_) {
    if (member.role_ != VotingRole::Voter) {
      continue;
    }
    if (member.id_ == self_) {
      // The node's own vote counts only once it is synced, as any other vote.
      Send(self_, term, VoteReply{ aIsPreVote, true }, true);
    } else {
      Send(member.id_, term, request, true);
    }
  }
  ReleaseHeldMessages();
}

void ConsensusNode::CountVote(const MemberId& aFrom, TimePoint aNow)
{
  const Membership& membership = CurrentMembership();
  if (!membership.IsVoter(aFrom)) {
    return;
  }
  votes_.insert(aFrom);
  if (votes_.size() < membership.QuorumSize()) {
    return;
  }
  if (role_ == ConsensusRole::PreCandidate) {
    StartElection(false, false, aNow);
  } else {
    BecomeLeader(aNow);
  }
}

void ConsensusNode::BecomeLeader(TimePoint aNow)
{
  role_ = ConsensusRole::Leader;
  leader_ = self_;
  votes_.clear();
  syncPoints_.clear();
  tracker_.Reset(self_, CurrentMembership(), log_.LastIndex(), aNow);
  firstIndexOfTerm_ = log_.LastIndex() + 1;
  nextHeartbeatTime_ = aNow + settings_.heartbeatInterval_;
  AppendAsLeader(EntryKind::Noop, {});
}

bool ConsensusNode::HasRecentLeader(TimePoint aNow) const
{
  if (role_ == ConsensusRole::Leader) {
    return true;
  }
  return lastLeaderMessageTime_.has_value() &&
         aNow - *lastLeaderMessageTime_ < settings_.electionTimeout_;
}

void ConsensusNode::FailReads()
{
  for (const PendingRead& read : pendingReads_) {
    output_.failedReads_.push_back(read.id_);
  }
  pendingReads_.clear();
}

// Received messages.

void ConsensusNode::Receive(const ConsensusMessage& aMessage, TimePoint aNow)
{
  if (!CheckGroupAndTerm(aMessage, aNow)) {
    return;
  }
  std::visit(MessageDispatcher{ *this, aMessage, aNow }, aMessage.body_);
  ReleaseHeldMessages();
}

bool ConsensusNode::CheckGroupAndTerm(const ConsensusMessage& aMessage,
                                      TimePoint aNow)
{
  // Another incarnation of this instance is another member.
  if (aMessage.to_ != self_) {
    return false;
  }
  if (group_ == 0) {
    // A joining member takes its group from the first message addressed to its
    // incarnation, which only the group that received its join request has.
    group_ = aMessage.group_;
  }
  if (aMessage.group_ != group_) {
    return false;
  }
  const auto* request = std::get_if<VoteRequest>(&aMessage.body_);
  const auto* reply = std::get_if<VoteReply>(&aMessage.body_);
  if (request != nullptr && !request->isTransfer_ && HasRecentLeader(aNow)) {
    // A member that returns from a partition must not depose a working leader.
    // The reply to its pre-vote carries the current term, so that the member
    // can catch up with it.
    if (request->isPreVote_) {
      Send(aMessage.from_, VoteReply{ true, false }, true);
      ReleaseHeldMessages();
    }
    return false;
  }
  const bool isPreVote =
    (request != nullptr && request->isPreVote_) ||
    (reply != nullptr && reply->isPreVote_ && reply->isGranted_);
  if (isPreVote) {
    return true;
  }
  if (aMessage.term_ > hardState_.term_) {
    BecomeFollower(aMessage.term_, aNow);
  }
  if (aMessage.term_ < hardState_.term_) {
    ReplyToStaleTerm(aMessage);
    ReleaseHeldMessages();
    return false;
  }
  return true;
}

void ConsensusNode::ReplyToStaleTerm(const ConsensusMessage& aMessage)
{
  // The term of the reply makes a leader of an earlier term step down.
  if (std::holds_alternative<AppendRequest>(aMessage.body_) ||
      std::holds_alternative<SnapshotRequest>(aMessage.body_)) {
    Send(aMessage.from_, AppendReply{}, true);
  } else if (std::holds_alternative<VoteRequest>(aMessage.body_)) {
    Send(aMessage.from_, VoteReply{ false, false }, true);
  }
}

void ConsensusNode::Handle(const ConsensusMessage& aMessage,
                           const VoteRequest& aBody,
                           TimePoint aNow)
{
  const bool isUpToDate =
    settings_.fault_ == InjectedFault::IgnoreCandidateLog ||
    log_.IsUpToDate(aBody.lastIndex_, aBody.lastTerm_);
  if (aBody.isPreVote_) {
    const bool isGranted = aMessage.term_ > hardState_.term_ && isUpToDate;
    const Term term = isGranted ? aMessage.term_ : hardState_.term_;
    Send(aMessage.from_, term, VoteReply{ true, isGranted }, true);
    return;
  }
  const bool mayVote = settings_.fault_ == InjectedFault::VoteTwice ||
                       !hardState_.vote_.has_value() ||
                       *hardState_.vote_ == aMessage.from_;
  const bool isGranted = mayVote && isUpToDate;
  if (isGranted && hardState_.vote_ != aMessage.from_) {
    hardState_.vote_ = aMessage.from_;
    SaveHardState();
  }
  if (isGranted) {
    ResetElectionDeadline(aNow);
  }
  Send(aMessage.from_, VoteReply{ false, isGranted }, true);
}

void ConsensusNode::Handle(const ConsensusMessage& aMessage,
                           const VoteReply& aBody,
                           TimePoint aNow)
{
  const ConsensusRole expectedRole =
    aBody.isPreVote_ ? ConsensusRole::PreCandidate : ConsensusRole::Candidate;
  if (role_ != expectedRole || !aBody.isGranted_) {
    return;
  }
  const Term term = aBody.isPreVote_ ? hardState_.term_ + 1 : hardState_.term_;
  if (aMessage.term_ == term) {
    CountVote(aMessage.from_, aNow);
  }
}

void ConsensusNode::FollowLeader(const ConsensusMessage& aMessage,
                                 TimePoint aNow)
{
  BOOST_ASSERT(role_ != ConsensusRole::Leader ||
               settings_.fault_ != InjectedFault::None);
  role_ = ConsensusRole::Follower;
  leader_ = aMessage.from_;
  lastLeaderMessageTime_ = aNow;
  votes_.clear();
  ResetElectionDeadline(aNow);
}

void ConsensusNode::Handle(const ConsensusMessage& aMessage,
                           const AppendRequest& aBody,
                           TimePoint aNow)
{
  FollowLeader(aMessage, aNow);
  const LogIndex last = aBody.prevIndex_ + aBody.entries_.size();
  AppendReply reply{ true, last, 0, aBody.round_ };
  if (last <= log_.BaseIndex()) {
    // Entries that a snapshot covers are committed and therefore match.
    Send(aMessage.from_, reply, true);
    return;
  }
  if (aBody.prevIndex_ >= log_.BaseIndex() &&
      !log_.Matches(aBody.prevIndex_, aBody.prevTerm_)) {
    reply.isAccepted_ = false;
    reply.index_ = log_.ConflictHint(aBody.prevIndex_);
    reply.rejectedPrevIndex_ = aBody.prevIndex_;
    Send(aMessage.from_, reply, true);
    return;
  }
  MergeEntries(aBody);
  commitIndex_ = std::max(commitIndex_, std::min(aBody.commitIndex_, last));
  Send(aMessage.from_, reply, true);
}

void ConsensusNode::MergeEntries(const AppendRequest& aBody)
{
  std::vector<LogEntry> added;
  for (const LogEntry& entry : aBody.entries_) {
    if (entry.index_ <= log_.BaseIndex() ||
        (added.empty() && log_.Matches(entry.index_, entry.term_))) {
      continue;
    }
    if (added.empty() && entry.index_ <= log_.LastIndex()) {
      BOOST_ASSERT(entry.index_ > commitIndex_ ||
                   settings_.fault_ != InjectedFault::None);
      log_.TruncateFrom(entry.index_);
    }
    log_.Append(entry);
    added.push_back(entry);
  }
  if (!added.empty()) {
    SaveEntries(std::move(added));
  }
}

MemberProgress* ConsensusNode::RecordReply(const MemberId& aFrom,
                                           uint64_t aRound,
                                           TimePoint aNow)
{
  if (role_ != ConsensusRole::Leader) {
    return nullptr;
  }
  MemberProgress* progress = tracker_.Find(aFrom);
  if (progress == nullptr) {
    return nullptr;
  }
  progress->lastReplyTime_ = aNow;
  progress->ackedRound_ = std::max(progress->ackedRound_, aRound);
  return progress;
}

void ConsensusNode::Handle(const ConsensusMessage& aMessage,
                           const AppendReply& aBody,
                           TimePoint aNow)
{
  MemberProgress* progress = RecordReply(aMessage.from_, aBody.round_, aNow);
  if (progress == nullptr) {
    return;
  }
  if (aBody.isAccepted_) {
    progress->matchIndex_ = std::max(progress->matchIndex_, aBody.index_);
    progress->nextIndex_ =
      std::max(progress->nextIndex_, progress->matchIndex_ + 1);
    AdvanceCommitIndex();
  } else if (aBody.rejectedPrevIndex_ > progress->matchIndex_) {
    // A rejection at or below the match index is out of date and is ignored.
    const LogIndex next = std::min(aBody.rejectedPrevIndex_, aBody.index_ + 1);
    progress->nextIndex_ = std::max(progress->matchIndex_ + 1, next);
    SendAppend(aMessage.from_, *progress, true);
  }
  ConfirmReads();
  if (role_ == ConsensusRole::Leader &&
      progress->nextIndex_ <= log_.LastIndex()) {
    SendAppend(aMessage.from_, *progress, false);
  }
}

void ConsensusNode::Handle(const ConsensusMessage& aMessage,
                           const SnapshotRequest& aBody,
                           TimePoint aNow)
{
  FollowLeader(aMessage, aNow);
  const LogIndex index = aBody.meta_.index_;
  if (index <= commitIndex_) {
    Send(aMessage.from_,
         SnapshotReply{ index, aBody.totalBytes_, aBody.round_ },
         true);
    return;
  }
  if (incomingMeta_ != aBody.meta_) {
    incomingMeta_ = aBody.meta_;
    incomingData_.clear();
  }
  if (aBody.offset_ == incomingData_.size()) {
    incomingData_ += aBody.data_;
  }
  const uint64_t receivedBytes = incomingData_.size();
  if (receivedBytes == aBody.totalBytes_) {
    InstallSnapshot(aBody);
  }
  Send(
    aMessage.from_, SnapshotReply{ index, receivedBytes, aBody.round_ }, true);
}

void ConsensusNode::InstallSnapshot(const SnapshotRequest& aBody)
{
  Snapshot snapshot{
    aBody.meta_, std::make_shared<const std::string>(std::move(incomingData_))
  };
  incomingData_.clear();
  incomingMeta_ = {};
  output_.installedSnapshot_ = snapshot;
  output_.committedEntries_.clear();
  log_.Install(std::move(snapshot));
  commitIndex_ = aBody.meta_.index_;
  lastReturnedIndex_ = commitIndex_;
  output_.writes_.emplace_back(std::in_place_type<WriteSnapshot>,
                               log_.ToStoredState(hardState_));
}

void ConsensusNode::Handle(const ConsensusMessage& aMessage,
                           const SnapshotReply& aBody,
                           TimePoint aNow)
{
  MemberProgress* progress = RecordReply(aMessage.from_, aBody.round_, aNow);
  if (progress == nullptr) {
    return;
  }
  ConfirmReads();
  if (aBody.index_ != progress->snapshotIndex_ || aBody.index_ == 0) {
    return;
  }
  const Snapshot& snapshot = log_.LatestSnapshot();
  const bool isSame = snapshot.meta_.index_ == aBody.index_;
  const bool isWhole = isSame && aBody.nextOffset_ >= snapshot.data_->size();
  if (!isWhole) {
    progress->snapshotOffset_ = aBody.nextOffset_;
    SendSnapshotChunk(aMessage.from_, *progress);
    return;
  }
  progress->snapshotIndex_ = 0;
  progress->matchIndex_ = std::max(progress->matchIndex_, aBody.index_);
  progress->nextIndex_ =
    std::max(progress->nextIndex_, progress->matchIndex_ + 1);
  AdvanceCommitIndex();
  SendAppend(aMessage.from_, *progress, false);
}

void ConsensusNode::Handle(const ConsensusMessage&,
                           const TransferRequest&,
                           TimePoint aNow)
{
  if (IsVoter()) {
    StartElection(false, true, aNow);
  }
}

// Leader operations.

absl::StatusOr<Proposal> ConsensusNode::Propose(std::string aPayload)
{
  if (role_ != ConsensusRole::Leader) {
    return MakeError(ErrorKind::NoQuorum,
                     "this control instance is not the leader; send the "
                     "change to the leader");
  }
  if (log_.LastIndex() - commitIndex_ >= settings_.maxUncommittedEntries_) {
    return MakeError(ErrorKind::Overloaded,
                     "too many uncommitted changes; resend later");
  }
  AppendAsLeader(EntryKind::Command, std::move(aPayload));
  return Proposal{ log_.LastIndex(), hardState_.term_ };
}

absl::StatusOr<Proposal> ConsensusNode::ProposeMembership(
  Membership aMembership,
  TimePoint aNow)
{
  if (role_ != ConsensusRole::Leader) {
    return MakeError(ErrorKind::NoQuorum,
                     "this control instance is not the leader; send the "
                     "change to the leader");
  }
  // Before the first commit of its term, the leader's change could coincide
  // with an uncommitted change of an earlier leader, and the quorums of the two
  // memberships need not overlap.
  if (!HasCommittedInTerm() || !IsMembershipCommitted()) {
    return MakeError(ErrorKind::Conflict,
                     "another membership change is not committed yet; "
                     "resend later");
  }
  if (!aMembership.IsVoter(self_)) {
    return MakeError(ErrorKind::InvalidRequest,
                     "the leader cannot be removed; stop it first, so that "
                     "another member becomes leader");
  }
  if (VoterDifference(aMembership, CurrentMembership()) > 1) {
    return MakeError(ErrorKind::InvalidRequest,
                     "the change affects more than one voter; change one at a "
                     "time");
  }
  aMembership.group_ = CurrentMembership().group_;
  AppendAsLeader(EntryKind::Membership, EncodeMembership(aMembership));
  tracker_.UpdateMembership(CurrentMembership(), log_.LastIndex(), aNow);
  return Proposal{ log_.LastIndex(), hardState_.term_ };
}

void ConsensusNode::AppendAsLeader(EntryKind aKind, std::string aPayload)
{
  LogEntry entry{
    hardState_.term_, log_.LastIndex() + 1, aKind, std::move(aPayload)
  };
  log_.Append(entry);
  std::vector<LogEntry> entries;
  entries.push_back(std::move(entry));
  SaveEntries(std::move(entries));
  isBroadcastDue_ = true;
}

absl::StatusOr<ReadId> ConsensusNode::RequestRead()
{
  if (role_ != ConsensusRole::Leader) {
    return MakeError(
      ErrorKind::NoQuorum,
      "this control instance is not the leader; send the read to "
      "the leader");
  }
  PendingRead read;
  read.id_ = nextReadId_++;
  // The leader has the commit index of earlier terms only once an entry of its
  // own term is committed.
  read.index_ = std::max(commitIndex_, firstIndexOfTerm_);
  pendingReads_.push_back(read);
  return read.id_;
}

void ConsensusNode::ConfirmReads()
{
  const uint64_t acked = tracker_.QuorumAckedRound(CurrentMembership());
  while (!pendingReads_.empty()) {
    const PendingRead& read = pendingReads_.front();
    const bool isAcked = settings_.fault_ == InjectedFault::ReadWithoutQuorum ||
                         (read.round_ != 0 && read.round_ <= acked);
    if (!isAcked || read.index_ > commitIndex_) {
      return;
    }
    output_.confirmedReads_.push_back(read.id_);
    pendingReads_.pop_front();
  }
}

void ConsensusNode::TransferLeadership()
{
  if (role_ != ConsensusRole::Leader) {
    return;
  }
  const MemberId* best = nullptr;
  LogIndex bestMatch = 0;
  for (const GroupMember& member : CurrentMembership().members_) {
    const MemberProgress* progress = tracker_.Find(member.id_);
    if (member.role_ == VotingRole::Voter && member.id_ != self_ &&
        progress->matchIndex_ >= bestMatch) {
      best = &member.id_;
      bestMatch = progress->matchIndex_;
    }
  }
  if (best != nullptr) {
    Send(*best, TransferRequest{}, false);
    ReleaseHeldMessages();
  }
}

void ConsensusNode::Broadcast(bool aIsHeartbeat)
{
  isBroadcastDue_ = false;
  for (const GroupMember& member : CurrentMembership().members_) {
    MemberProgress* progress = tracker_.Find(member.id_);
    if (member.id_ != self_ && progress != nullptr) {
      SendAppend(member.id_, *progress, aIsHeartbeat);
    }
  }
}

void ConsensusNode::SendAppend(const MemberId& aTo,
                               MemberProgress& aProgress,
                               bool aIsHeartbeat)
{
  const std::optional<Term> prevTerm = log_.TermAt(aProgress.nextIndex_ - 1);
  if (!prevTerm.has_value()) {
    if (aIsHeartbeat || aProgress.snapshotIndex_ == 0) {
      SendSnapshotChunk(aTo, aProgress);
    }
    return;
  }
  AppendRequest request;
  request.prevIndex_ = aProgress.nextIndex_ - 1;
  request.prevTerm_ = *prevTerm;
  request.commitIndex_ = commitIndex_;
  request.round_ = round_;
  const LogIndex inFlight = aProgress.nextIndex_ - 1 - aProgress.matchIndex_;
  if (inFlight < settings_.maxInFlightEntries_) {
    request.entries_ =
      log_.Slice(aProgress.nextIndex_, settings_.maxAppendBytes_);
  }
  if (request.entries_.empty() && !aIsHeartbeat) {
    return;
  }
  // Entries are pipelined: nextIndex_ advances before the reply, and a
  // rejection moves it back.
  aProgress.nextIndex_ += request.entries_.size();
  Send(aTo, std::move(request), false);
}

void ConsensusNode::SendSnapshotChunk(const MemberId& aTo,
                                      MemberProgress& aProgress)
{
  const Snapshot& snapshot = log_.LatestSnapshot();
  const std::string& data = *snapshot.data_;
  if (aProgress.snapshotIndex_ != snapshot.meta_.index_) {
    aProgress.snapshotIndex_ = snapshot.meta_.index_;
    aProgress.snapshotOffset_ = 0;
  }
  SnapshotRequest request;
  request.meta_ = snapshot.meta_;
  request.offset_ = std::min<uint64_t>(aProgress.snapshotOffset_, data.size());
  request.totalBytes_ = data.size();
  request.round_ = round_;
  request.data_ = data.substr(request.offset_, settings_.snapshotChunkBytes_);
  Send(aTo, std::move(request), false);
}

void ConsensusNode::AdvanceCommitIndex()
{
  if (role_ != ConsensusRole::Leader) {
    return;
  }
  const LogIndex quorum = tracker_.QuorumMatchIndex(CurrentMembership());
  if (quorum <= commitIndex_) {
    return;
  }
  // An entry of an earlier term is not committed by counting replicas, because
  // a later leader may still replace it. Committing a later entry of the
  // current term commits it too.
  if (log_.TermAt(quorum) != hardState_.term_ &&
      settings_.fault_ != InjectedFault::CommitEarlierTerm) {
    return;
  }
  commitIndex_ = quorum;
  ConfirmReads();
}

void ConsensusNode::Compact(LogIndex aIndex,
                            std::shared_ptr<const std::string> aData)
{
  BOOST_ASSERT(aIndex <= lastReturnedIndex_);
  if (aIndex <= log_.LatestSnapshot().meta_.index_) {
    return;
  }
  Snapshot snapshot;
  snapshot.meta_.index_ = aIndex;
  snapshot.meta_.term_ = log_.TermAt(aIndex).value_or(0);
  snapshot.meta_.membership_ = log_.MembershipAt(aIndex);
  snapshot.data_ = std::move(aData);
  log_.Compact(std::move(snapshot), settings_.retainedEntries_);
  output_.writes_.emplace_back(std::in_place_type<WriteSnapshot>,
                               log_.ToStoredState(hardState_));
}

// Output: writes, messages and committed entries.

WriteSequence ConsensusNode::LatestWriteSequence() const
{
  return output_.writes_.empty() ? lastTakenWrite_ : lastTakenWrite_ + 1;
}

void ConsensusNode::Send(const MemberId& aTo,
                         MessageBody aBody,
                         bool aIsAfterWrites)
{
  Send(aTo, hardState_.term_, std::move(aBody), aIsAfterWrites);
}

void ConsensusNode::Send(const MemberId& aTo,
                         Term aTerm,
                         MessageBody aBody,
                         bool aIsAfterWrites)
{
  const bool isHeld =
    aIsAfterWrites && settings_.fault_ != InjectedFault::SendBeforeSync;
  HeldMessage held;
  held.dependsOn_ = isHeld ? LatestWriteSequence() : 0;
  held.message_ = { group_, self_, aTo, aTerm, std::move(aBody) };
  heldMessages_.push_back(std::move(held));
}

void ConsensusNode::ReleaseHeldMessages()
{
  std::deque<HeldMessage> waiting;
  for (HeldMessage& held : heldMessages_) {
    if (held.dependsOn_ > lastSyncedWrite_) {
      waiting.push_back(std::move(held));
    } else if (held.message_.to_ == self_) {
      selfMessages_.push_back(std::move(held.message_));
    } else {
      output_.messages_.push_back(std::move(held.message_));
    }
  }
  heldMessages_ = std::move(waiting);
}

void ConsensusNode::SaveHardState()
{
  output_.writes_.emplace_back(std::in_place_type<WriteHardState>, hardState_);
}

void ConsensusNode::SaveEntries(std::vector<LogEntry> aEntries)
{
  // Merges entries that were proposed one at a time into one write.
  if (!output_.writes_.empty()) {
    auto* last = std::get_if<WriteEntries>(&output_.writes_.back());
    if (last != nullptr &&
        last->entries_.back().index_ + 1 == aEntries.front().index_) {
      std::move(
        aEntries.begin(), aEntries.end(), std::back_inserter(last->entries_));
      return;
    }
  }
  output_.writes_.emplace_back(std::in_place_type<WriteEntries>,
                               std::move(aEntries));
}

void ConsensusNode::OnSynced(WriteSequence aSequence, TimePoint aNow)
{
  lastSyncedWrite_ = std::max(lastSyncedWrite_, aSequence);
  while (!syncPoints_.empty() &&
         syncPoints_.front().sequence_ <= lastSyncedWrite_) {
    const SyncPoint& point = syncPoints_.front();
    MemberProgress* self = tracker_.Find(self_);
    if (role_ == ConsensusRole::Leader && point.term_ == hardState_.term_ &&
        self != nullptr) {
      self->matchIndex_ = std::max(self->matchIndex_, point.lastIndex_);
      AdvanceCommitIndex();
    }
    syncPoints_.pop_front();
  }
  ReleaseHeldMessages();
  DeliverToSelf(aNow);
}

void ConsensusNode::DeliverToSelf(TimePoint aNow)
{
  while (!selfMessages_.empty()) {
    const ConsensusMessage message = std::move(selfMessages_.front());
    selfMessages_.pop_front();
    Receive(message, aNow);
  }
}

ConsensusOutput ConsensusNode::TakeOutput()
{
  const bool isLeader = role_ == ConsensusRole::Leader;
  if (isLeader && !pendingReads_.empty() && pendingReads_.back().round_ == 0) {
    ++round_;
    for (PendingRead& read : pendingReads_) {
      read.round_ = read.round_ == 0 ? round_ : read.round_;
    }
    Broadcast(true);
    ConfirmReads();
  }
  if (isLeader && isBroadcastDue_) {
    Broadcast(false);
  }
  ReleaseHeldMessages();
  const LogIndex last = std::min(commitIndex_, log_.LastIndex());
  while (lastReturnedIndex_ < last) {
    output_.committedEntries_.push_back(log_.At(++lastReturnedIndex_));
  }
  if (!output_.writes_.empty()) {
    output_.writeSequence_ = ++lastTakenWrite_;
    syncPoints_.push_back(
      { lastTakenWrite_, hardState_.term_, log_.LastIndex() });
  }
  return std::exchange(output_, {});
}

} // namespace foxtail
