#ifndef CONTROL_CLAIMTABLE_H
#define CONTROL_CLAIMTABLE_H

#include "control/Command.h"

#include <array>
#include <deque>
#include <memory>
#include <unordered_map>

namespace foxtail {

enum class ClaimPhase : uint8_t
{
  /// Granted; no outcome is recorded yet.
  Open,
  /// The outcome is recorded.
  Recorded,
  /// Released: the next claim under another grant is granted.
  Released,
};

template<>
struct EnumTable<ClaimPhase>
{
  static constexpr std::array<EnumName<ClaimPhase>, 3> kRows{ {
    { ClaimPhase::Open, "open" },
    { ClaimPhase::Recorded, "recorded" },
    { ClaimPhase::Released, "released" },
  } };
};

struct ClaimRow
{
  uint64_t bodyHash_ = 0;
  RequestId request_;
  /// The latest grant. A released grant is never granted again.
  GrantId grant_;
  ClaimPhase phase_ = ClaimPhase::Open;
  /// Log time at which the row expires.
  milliseconds expiresAt_{};
  ActionRecord record_;
};

/// Claims of actions by service and key. A row expires once its retention has
/// passed in log time. Deterministic. Not thread safe, but another thread may
/// read a copy made by TakeSnapshot() while the table changes.
class ClaimTable
{
public:
  using Rows = std::unordered_map<std::string, ClaimRow>;
  struct Expiry
  {
    milliseconds time_{};
    std::string key_;
  };
  /// A part of the table, shared with snapshots: copied on the first write
  /// after a snapshot.
  struct Partition
  {
    Rows rows_;
    /// Expiry times in the order in which the rows were added.
    std::deque<Expiry> expiries_;
    /// The table's epoch when this copy was made.
    uint64_t epoch_ = 0;
  };
  static constexpr size_t kPartitions = 64;
  using Partitions = std::array<std::shared_ptr<Partition>, kPartitions>;

  ClaimTable();

  ClaimResult Apply(const ClaimAction& aAction, milliseconds aTime);
  ClaimUpdateResult Apply(const RecordAction& aAction, milliseconds aTime);
  ClaimUpdateResult Apply(const ReleaseAction& aAction, milliseconds aTime);

  /// @return the number of rows, including expired ones not removed yet.
  size_t Size() const { return size_; }

  /// @return the current partitions, which are immutable from now on.
  Partitions TakeSnapshot();
  /// Adds a row of a snapshot. The caller adds a snapshot's rows in the order
  /// in which it lists them.
  void Restore(const std::string& aKey, ClaimRow aRow);

  /// @return the row key: service and key joined by a separator.
  static std::string KeyOf(const ClaimRequest& aClaim);

private:
  Partition& PartitionFor(const std::string& aKey);
  /// Removes expired rows of the partition, a bounded number per call.
  void Expire(Partition& aPartition, milliseconds aTime);
  ClaimRow* FindLive(Partition& aPartition,
                     const std::string& aKey,
                     milliseconds aTime);
  void Put(Partition& aPartition, const std::string& aKey, ClaimRow aRow);

  Partitions partitions_;
  /// Number of snapshots taken.
  uint64_t epoch_ = 0;
  size_t size_ = 0;
};

} // namespace foxtail

#endif // CONTROL_CLAIMTABLE_H
