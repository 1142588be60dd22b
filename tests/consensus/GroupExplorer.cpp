#include "GroupExplorer.h"

#include <algorithm>
#include <functional>

namespace foxtail {
namespace {

constexpr uint64_t kGroup = 77;
constexpr LogIndex kMaxLearnerLag = 4;
constexpr milliseconds kMaxReplyAge{ 200 };
constexpr milliseconds kReplaceVoterAfter{ 600 };
constexpr milliseconds kRemoveLearnerAfter{ 5000 };

ConsensusSettings MakeNodeSettings(InjectedFault aFault)
{
  ConsensusSettings settings;
  settings.heartbeatInterval_ = milliseconds(10);
  settings.electionTimeout_ = milliseconds(50);
  settings.maxAppendBytes_ = 24;
  settings.snapshotChunkBytes_ = 7;
  settings.retainedEntries_ = 3;
  settings.fault_ = aFault;
  return settings;
}

uint64_t CombineDigest(uint64_t aDigest, const LogEntry& aEntry)
{
  return std::hash<std::string>()(std::to_string(aDigest) + ":" +
                                  std::to_string(aEntry.term_) + ":" +
                                  aEntry.payload_);
}

struct WriteApplier
{
  StoredState& state_;

  void operator()(const WriteHardState& aWrite) const
  {
    state_.hardState_ = aWrite.hardState_;
  }
  void operator()(const WriteEntries& aWrite) const
  {
    std::vector<LogEntry>& entries = state_.entries_;
    for (const LogEntry& entry : aWrite.entries_) {
      while (!entries.empty() && entries.back().index_ >= entry.index_) {
        entries.pop_back();
      }
      entries.push_back(entry);
    }
  }
  void operator()(const WriteSnapshot& aWrite) const { state_ = aWrite.state_; }
};

} // namespace

void ApplyWrite(StoredState& aState, const LogWrite& aWrite)
{
  std::visit(WriteApplier{ aState }, aWrite);
}

GroupExplorer::GroupExplorer(ExplorerSettings aSettings)
  : settings_(aSettings)
  , random_(aSettings.seed_)
  , faultRates_(DrawFaultRates(random_))
{
  members_.resize(settings_.members_);
  Membership membership{ kGroup, {} };
  for (size_t i = 0; i < members_.size(); ++i) {
    GroupMember& self = members_[i].self_;
    self.id_ = { InstanceId("control-" + std::to_string(i)), Incarnation(i) };
    const bool isVoter = settings_.voters_ == 0 || i < settings_.voters_;
    self.role_ = isVoter ? VotingRole::Voter : VotingRole::Learner;
    membership.members_.push_back(self);
  }
  for (SimulatedMember& member : members_) {
    member.storedState_.hardState_.term_ = 1;
    member.storedState_.entries_.push_back(
      { 1, 1, EntryKind::Membership, EncodeMembership(membership) });
    Start(member);
  }
}

GroupExplorer::FaultRates GroupExplorer::DrawFaultRates(RandomSource& aRandom)
{
  // The unit value is squared, so that most rates are low in most runs.
  const auto randomRate = [&](double aMax) {
    const double unit = aRandom.NextDouble();
    return aMax * unit * unit;
  };
  FaultRates rates;
  rates.drop_ = randomRate(0.2);
  rates.duplicate_ = randomRate(0.2);
  rates.partition_ = randomRate(0.01);
  rates.freeze_ = randomRate(0.005);
  rates.crash_ = randomRate(0.03);
  rates.wipe_ = randomRate(0.01);
  rates.snapshot_ = randomRate(0.05);
  rates.maxStepUs_ = 50 + static_cast<uint64_t>(randomRate(1500));
  rates.maxReorder_ = 1 + static_cast<size_t>(randomRate(30));
  return rates;
}

void GroupExplorer::ReportViolation(const std::string& aWhat)
{
  if (report_.violation_.empty()) {
    report_.violation_ = aWhat;
  }
}

void GroupExplorer::Start(SimulatedMember& aMember)
{
  aMember.unsynced_.clear();
  aMember.applied_ = 0;
  aMember.digest_ = 0;
  aMember.isLeader_ = false;
  aMember.minReadIndexes_.clear();
  aMember.node_.emplace(MakeNodeSettings(settings_.fault_),
                        aMember.self_.id_,
                        aMember.storedState_,
                        random_.Next(),
                        now_);
}

ExplorerReport GroupExplorer::Run()
{
  for (size_t i = 0; i < settings_.steps_ && report_.violation_.empty(); ++i) {
    Step();
  }
  if (report_.violation_.empty()) {
    HealAndCheckProgress();
  }
  report_.commits_ = committed_.size();
  return report_;
}

void GroupExplorer::Step()
{
  now_ += microseconds(random_.NextBelow(faultRates_.maxStepUs_));
  SimulatedMember& member = members_[random_.NextBelow(members_.size())];
  constexpr double kHealProbability = 0.005;
  if (random_.Chance(faultRates_.partition_)) {
    Partition();
  } else if (random_.Chance(kHealProbability)) {
    Heal();
  }
  if (random_.Chance(member.isFrozen_ ? kHealProbability
                                      : faultRates_.freeze_)) {
    member.isFrozen_ = !member.isFrozen_;
  }
  if (random_.Chance(0.6)) {
    DeliverOne(true);
  } else if (!member.isFrozen_) {
    RunMemberStep(member);
  }
}

void GroupExplorer::RunMemberStep(SimulatedMember& aMember)
{
  if (random_.Chance(faultRates_.crash_)) {
    Crash(aMember);
  }
  if (random_.Chance(faultRates_.wipe_)) {
    Wipe(aMember);
  }
  if (random_.Chance(faultRates_.snapshot_)) {
    TakeSnapshot(aMember);
  }
  const uint64_t choice = random_.NextBelow(100);
  if (choice < 35) {
    aMember.node_->Tick(now_);
  } else if (choice < 70) {
    SyncOne(aMember);
  } else if (choice < 80) {
    Propose(aMember);
  } else if (choice < 90) {
    Read(aMember);
  } else if (choice < 99) {
    PlanMembershipStep(aMember);
  } else {
    aMember.node_->TransferLeadership();
  }
  Collect(aMember);
}

void GroupExplorer::HealAndCheckProgress()
{
  const LogIndex before = committed_.empty() ? 0 : committed_.rbegin()->first;
  constexpr size_t kRounds = 20000;
  for (SimulatedMember& member : members_) {
    member.isFrozen_ = false;
    member.partitionSide_ = 0;
  }
  for (size_t i = 0; i < kRounds && report_.violation_.empty(); ++i) {
    now_ += microseconds(500);
    SimulatedMember& member = members_[i % members_.size()];
    member.node_->Tick(now_);
    while (!member.unsynced_.empty()) {
      SyncOne(member);
    }
    Propose(member);
    PlanMembershipStep(member);
    Collect(member);
    for (size_t count = network_.size(); count > 0; --count) {
      DeliverOne(false);
    }
    if (!committed_.empty() && committed_.rbegin()->first > before + 50 &&
        AreAllVoters()) {
      return;
    }
  }
  ReportViolation(
    "after all faults healed, no new entry is committed or a member "
    "is not a voter");
}

bool GroupExplorer::AreAllVoters() const
{
  if (settings_.voters_ != 0) {
    return std::all_of(
      members_.begin(), members_.end(), [&](const SimulatedMember& aMember) {
        const Membership& membership = aMember.node_->CurrentMembership();
        return membership.VoterCount() == settings_.voters_ &&
               membership.Find(aMember.self_.id_) != nullptr;
      });
  }
  for (const SimulatedMember& member : members_) {
    const Membership& membership = member.node_->CurrentMembership();
    if (membership.VoterCount() != members_.size() ||
        !membership.IsVoter(member.self_.id_)) {
      return false;
    }
  }
  return true;
}

GroupExplorer::SimulatedMember* GroupExplorer::FindById(const MemberId& aId)
{
  for (SimulatedMember& member : members_) {
    if (member.self_.id_ == aId) {
      return &member;
    }
  }
  return nullptr;
}

void GroupExplorer::DeliverOne(bool aIsFaulty)
{
  if (network_.empty()) {
    return;
  }
  const size_t at =
    aIsFaulty
      ? random_.NextBelow(std::min(network_.size(), faultRates_.maxReorder_))
      : 0;
  const ConsensusMessage message = network_[at];
  const bool isKept = aIsFaulty && random_.Chance(faultRates_.duplicate_);
  if (!isKept) {
    network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(at));
  }
  if (aIsFaulty && random_.Chance(faultRates_.drop_)) {
    return;
  }
  SimulatedMember* from = FindById(message.from_);
  SimulatedMember* to = FindById(message.to_);
  if (to == nullptr || to->isFrozen_ ||
      (from != nullptr && from->partitionSide_ != to->partitionSide_)) {
    return;
  }
  to->node_->Receive(message, now_);
  Collect(*to);
}

void GroupExplorer::SyncOne(SimulatedMember& aMember)
{
  if (aMember.unsynced_.empty()) {
    return;
  }
  const Batch batch = std::move(aMember.unsynced_.front());
  aMember.unsynced_.pop_front();
  for (const LogWrite& write : batch.writes_) {
    ApplyWrite(aMember.storedState_, write);
  }
  aMember.node_->OnSynced(batch.sequence_, now_);
}

void GroupExplorer::Crash(SimulatedMember& aMember)
{
  ++report_.crashes_;
  // A prefix of the unsynced writes may have reached the disk.
  if (!aMember.unsynced_.empty()) {
    const auto& writes = aMember.unsynced_.front().writes_;
    const size_t kept = random_.NextBelow(writes.size() + 1);
    for (size_t i = 0; i < kept; ++i) {
      ApplyWrite(aMember.storedState_, writes[i]);
    }
  }
  Start(aMember);
}

void GroupExplorer::Wipe(SimulatedMember& aMember)
{
  // A group survives the loss of a minority of its voters. Wiped
  // members whose new incarnation is not a voter yet, and voters without a
  // running member, count as lost.
  size_t lost = 1;
  const Membership& membership = aMember.node_->CurrentMembership();
  if (settings_.voters_ == 0) {
    for (const SimulatedMember& member : members_) {
      lost += membership.IsVoter(member.self_.id_) ? 0 : 1;
    }
  } else {
    for (const GroupMember& row : membership.members_) {
      const bool isLost =
        row.role_ == VotingRole::Voter && FindById(row.id_) == nullptr;
      lost += isLost ? 1 : 0;
    }
  }
  for (const SimulatedMember& member : members_) {
    if (!member.node_->IsMembershipCommitted() ||
        member.node_->CurrentMembership() != membership) {
      return;
    }
  }
  const size_t voters =
    settings_.voters_ == 0 ? members_.size() : membership.VoterCount();
  if (lost * 2 >= voters) {
    return;
  }
  ++report_.wipes_;
  aMember.storedState_ = {};
  if (!settings_.wipedKeepsIdentity_) {
    aMember.self_.id_.incarnation_ = Incarnation(nextIncarnation_++);
  }
  Start(aMember);
}

void GroupExplorer::Partition()
{
  for (SimulatedMember& member : members_) {
    member.partitionSide_ = random_.NextBelow(2);
  }
}

void GroupExplorer::Heal()
{
  for (SimulatedMember& member : members_) {
    member.partitionSide_ = 0;
  }
}

void GroupExplorer::Propose(SimulatedMember& aMember)
{
  (void)aMember.node_->Propose("command " + std::to_string(nextCommand_++));
}

void GroupExplorer::Read(SimulatedMember& aMember)
{
  const auto read = aMember.node_->RequestRead();
  if (read.ok()) {
    const LogIndex minIndex =
      committed_.empty() ? 0 : committed_.rbegin()->first;
    aMember.minReadIndexes_[*read] = minIndex;
  }
}

void GroupExplorer::PlanMembershipStep(SimulatedMember& aMember)
{
  if (aMember.node_->Role() != ConsensusRole::Leader) {
    return;
  }
  std::vector<GroupMember> joiners;
  const Membership& membership = aMember.node_->CurrentMembership();
  for (const SimulatedMember& member : members_) {
    if (membership.Find(member.self_.id_) == nullptr) {
      joiners.push_back(member.self_);
    }
  }
  const MembershipGoal goal{ settings_.voters_,
                             kMaxLearnerLag,
                             kMaxReplyAge,
                             kReplaceVoterAfter,
                             kRemoveLearnerAfter };
  const auto next = PlanMembershipChange(*aMember.node_, joiners, goal, now_);
  if (next.has_value() && aMember.node_->ProposeMembership(*next, now_).ok()) {
    ++report_.membershipChanges_;
  }
}

void GroupExplorer::TakeSnapshot(SimulatedMember& aMember)
{
  const std::string data =
    std::to_string(aMember.applied_) + ":" + std::to_string(aMember.digest_);
  aMember.node_->Compact(aMember.applied_,
                         std::make_shared<const std::string>(data));
}

void GroupExplorer::Collect(SimulatedMember& aMember)
{
  CheckLeader(aMember);
  ConsensusOutput output = aMember.node_->TakeOutput();
  if (!output.writes_.empty()) {
    aMember.unsynced_.push_back(
      { output.writeSequence_, std::move(output.writes_) });
  }
  for (ConsensusMessage& message : output.messages_) {
    network_.push_back(std::move(message));
  }
  // The network is bounded: the oldest messages are dropped.
  constexpr size_t kMaxMessages = 200;
  while (network_.size() > kMaxMessages) {
    network_.erase(network_.begin());
  }
  if (output.installedSnapshot_.has_value()) {
    Install(aMember, *output.installedSnapshot_);
  }
  for (const LogEntry& entry : output.committedEntries_) {
    Apply(aMember, entry);
  }
  for (const ReadId read : output.confirmedReads_) {
    ConfirmRead(aMember, read);
  }
}

void GroupExplorer::CheckLeader(SimulatedMember& aMember)
{
  const ConsensusNode& node = *aMember.node_;
  const bool isLeader = node.Role() == ConsensusRole::Leader;
  const bool isNew = isLeader && !aMember.isLeader_;
  aMember.isLeader_ = isLeader;
  if (!isLeader) {
    return;
  }
  const auto [row, isFirst] =
    leaders_.emplace(node.CurrentTerm(), aMember.self_.id_);
  report_.elections_ += isFirst ? 1 : 0;
  if (row->second != aMember.self_.id_) {
    ReportViolation("two leaders in term " +
                    std::to_string(node.CurrentTerm()));
  }
  if (!isNew) {
    return;
  }
  for (const auto& [index, entry] : committed_) {
    if (index > node.Log().BaseIndex() &&
        !node.Log().Matches(index, entry.term_)) {
      ReportViolation("the leader of term " +
                      std::to_string(node.CurrentTerm()) +
                      " lacks committed entry " + std::to_string(index));
      return;
    }
  }
}

void GroupExplorer::Apply(SimulatedMember& aMember, const LogEntry& aEntry)
{
  if (aEntry.index_ != aMember.applied_ + 1) {
    ReportViolation("entries are applied out of order");
  }
  const auto [row, isFirst] = committed_.emplace(aEntry.index_, aEntry);
  if (row->second != aEntry) {
    ReportViolation("two entries are committed at " +
                    std::to_string(aEntry.index_));
  }
  aMember.applied_ = aEntry.index_;
  aMember.digest_ = CombineDigest(aMember.digest_, aEntry);
  const auto digest =
    digests_.emplace(aEntry.index_, aMember.digest_).first->second;
  if (digest != aMember.digest_) {
    ReportViolation("state machines differ at " +
                    std::to_string(aEntry.index_));
  }
}

void GroupExplorer::Install(SimulatedMember& aMember, const Snapshot& aSnapshot)
{
  ++report_.installs_;
  const LogIndex index = aSnapshot.meta_.index_;
  const std::string expected =
    std::to_string(index) + ":" + std::to_string(digests_[index]);
  if (*aSnapshot.data_ != expected) {
    ReportViolation("a snapshot of " + std::to_string(index) + " differs");
  }
  aMember.applied_ = index;
  aMember.digest_ = digests_[index];
}

void GroupExplorer::ConfirmRead(SimulatedMember& aMember, ReadId aRead)
{
  ++report_.reads_;
  if (aMember.applied_ < aMember.minReadIndexes_[aRead]) {
    ReportViolation("a read at " + std::to_string(aMember.applied_) +
                    " misses an entry that was committed before it");
  }
}

} // namespace foxtail
