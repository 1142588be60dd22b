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
  /// Voters wanted, the first ones at the start; 0 wants all. The others stand
  /// in for voters that are lost.
  size_t voters_ = 0;
  size_t steps_ = 4000;
  InjectedFault fault_ = InjectedFault::None;
  /// A wiped member comes back under its old identity.
  bool wipedKeepsIdentity_ = false;
};

struct ExplorerReport
{
  /// Empty when every invariant held.
  std::string violation_;
  size_t elections_ = 0;
  size_t commits_ = 0;
  size_t reads_ = 0;
  size_t crashes_ = 0;
  size_t wipes_ = 0;
  size_t membershipChanges_ = 0;
  size_t installs_ = 0;
};

/// Runs one group in one thread through a seeded interleaving of deliveries,
/// drops, duplicates, crashes that lose unsynced writes, lost disks,
/// partitions, frozen members, snapshots and membership changes, and checks
/// after each step: one leader a term, leaders hold all that was committed,
/// committed entries agree everywhere, reads are linearizable. Then it heals
/// everything and checks that the group commits again.
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

  /// How rough one run is; drawn from the seed, so that some runs get far and
  /// others are mostly faults.
  struct FaultRates
  {
    double drop_ = 0.0;
    double duplicate_ = 0.0;
    double partition_ = 0.0;
    double freeze_ = 0.0;
    double crash_ = 0.0;
    double wipe_ = 0.0;
    double snapshot_ = 0.0;
    /// Most time between two steps, in us; much time makes messages late.
    uint64_t maxStepUs_ = 0;
    /// How far a message may be overtaken.
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

/// Does to @p aState what stable storage does on a write.
void ApplyWrite(StoredState& aState, const LogWrite& aWrite);

} // namespace foxtail

#endif // TESTS_CONSENSUS_GROUPEXPLORER_H
