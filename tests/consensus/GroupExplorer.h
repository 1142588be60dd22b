#ifndef TESTS_CONSENSUS_GROUPEXPLORER_H
#define TESTS_CONSENSUS_GROUPEXPLORER_H

#include "consensus/ConsensusNode.h"
#include "consensus/MembershipPlan.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace foxtail {

struct ExplorerSettings
{
  uint64_t seed_ = 1;
  size_t members_ = 3;
  /// Target number of voters, initially the first members; 0 makes all members
  /// voters. The other members are learners that replace lost voters.
  size_t voters_ = 0;
  size_t steps_ = 4000;
  InjectedFault fault_ = InjectedFault::None;
  /// A wiped member restarts with its previous incarnation.
  bool wipedKeepsIdentity_ = false;
};

struct ExplorerReport
{
  /// First violated invariant; empty when all held.
  std::string violation_;
  size_t elections_ = 0;
  size_t commits_ = 0;
  size_t reads_ = 0;
  size_t crashes_ = 0;
  size_t wipes_ = 0;
  size_t membershipChanges_ = 0;
  size_t installs_ = 0;
};

/// Simulates one group in one thread through a seeded random interleaving of
/// message deliveries, drops and duplicates, crashes that lose unsynced writes,
/// lost disks, partitions, frozen members, snapshots and membership changes.
/// After each step it checks the invariants: at most one leader per term,
/// leaders have all committed entries, committed entries are equal on all
/// members, reads are linearizable. In the end it heals all faults and checks
/// that the group commits new entries.
class GroupExplorer
{
public:
  explicit GroupExplorer(ExplorerSettings aSettings);

  ExplorerReport Run();

private:
  struct Batch
  {
    WriteSequence sequence_ = 0;
    std::vector<LogWrite> writes_;
  };
  struct SimulatedMember
  {
    GroupMember self_;
    std::optional<ConsensusNode> node_;
    StoredState storedState_;
    std::deque<Batch> unsynced_;
    LogIndex applied_ = 0;
    uint64_t digest_ = 0;
    bool isFrozen_ = false;
    size_t partitionSide_ = 0;
    bool isLeader_ = false;
    std::map<ReadId, LogIndex> minReadIndexes_;
  };

  /// Fault probabilities per step of one run. They are derived from the seed,
  /// so that some runs commit many entries and others consist mostly of faults.
  struct FaultRates
  {
    double drop_ = 0.0;
    double duplicate_ = 0.0;
    double partition_ = 0.0;
    double freeze_ = 0.0;
    double crash_ = 0.0;
    double wipe_ = 0.0;
    double snapshot_ = 0.0;
    /// Upper limit of the time between two steps, in microseconds; long steps
    /// delay messages.
    uint64_t maxStepUs_ = 0;
    /// A message is delivered from the oldest ones, up to this many; 1 keeps
    /// the order.
    size_t maxReorder_ = 1;
  };

  static FaultRates DrawFaultRates(RandomSource& aRandom);
  void Start(SimulatedMember& aMember);
  void Step();
  void RunMemberStep(SimulatedMember& aMember);
  void HealAndCheckProgress();
  bool AreAllVoters() const;
  void Collect(SimulatedMember& aMember);
  void CheckLeader(SimulatedMember& aMember);
  void Apply(SimulatedMember& aMember, const LogEntry& aEntry);
  void Install(SimulatedMember& aMember, const Snapshot& aSnapshot);
  void ConfirmRead(SimulatedMember& aMember, ReadId aRead);
  void DeliverOne(bool aIsFaulty);
  void SyncOne(SimulatedMember& aMember);
  void Crash(SimulatedMember& aMember);
  void Wipe(SimulatedMember& aMember);
  void Partition();
  void Heal();
  void Propose(SimulatedMember& aMember);
  void Read(SimulatedMember& aMember);
  void PlanMembershipStep(SimulatedMember& aMember);
  void TakeSnapshot(SimulatedMember& aMember);
  SimulatedMember* FindById(const MemberId& aId);
  void ReportViolation(const std::string& aWhat);

  ExplorerSettings settings_;
  RandomSource random_;
  FaultRates faultRates_;
  TimePoint now_{};
  std::vector<SimulatedMember> members_;
  std::vector<ConsensusMessage> network_;
  std::map<Term, MemberId> leaders_;
  std::map<LogIndex, LogEntry> committed_;
  std::map<LogIndex, uint64_t> digests_;
  uint64_t nextCommand_ = 1;
  uint64_t nextIncarnation_ = 100;
  ExplorerReport report_;
};

/// Applies @p aWrite to @p aState as stable storage does.
void ApplyWrite(StoredState& aState, const LogWrite& aWrite);

} // namespace foxtail

#endif // TESTS_CONSENSUS_GROUPEXPLORER_H
