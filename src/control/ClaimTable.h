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
  /// Granted, with no outcome yet.
  Open,
  /// The outcome is recorded.
  Recorded,
  /// Given back: the next claim is granted.
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
  /// The latest grant; a released one is never made again.
  GrantId grant_;
  ClaimPhase phase_ = ClaimPhase::Open;
  /// Log time at which the row is forgotten.
  milliseconds expiresAt_{};
  ActionRecord record_;
};

/// Claims of actions by service and key. A row is kept until its retention has
/// passed in log time. Deterministic. Not thread safe, but a copy made by
/// TakeSnapshot() may be read by another thread while this one changes on.
class ClaimTable
{
public:
  using Rows = std::unordered_map<std::string, ClaimRow>;
  struct Expiry
  {
    milliseconds time_{};
    std::string key_;
  };
  /// A part of the table; copied before a change when a frozen copy has it.
  struct Partition
  {
    Rows rows_;
    /// In the order of the claims.
    std::deque<Expiry> expiries_;
    uint64_t epoch_ = 0;
  };
  static constexpr size_t kPartitions = 64;
  using Partitions = std::array<std::shared_ptr<Partition>, kPartitions>;

  ClaimTable();

  ClaimResult Apply(const ClaimAction& aAction, milliseconds aTime);
  ClaimUpdateResult Apply(const RecordAction& aAction, milliseconds aTime);
  ClaimUpdateResult Apply(const ReleaseAction& aAction, milliseconds aTime);

  /// @return the number of rows, some of which may have expired.
  size_t Size() const { return size_; }

  /// @return the parts as they are now; they do not change any more.
  Partitions TakeSnapshot();
  /// Adds a row of a snapshot, in the order of their claims.
  void Restore(const std::string& aKey, ClaimRow aRow);

  /// @return the key of a row for service and key.
  static std::string KeyOf(const ClaimRequest& aClaim);

private:
  Partition& PartitionFor(const std::string& aKey);
  /// Forgets expired rows of the partition, a few at a time.
  void Expire(Partition& aPartition, milliseconds aTime);
  ClaimRow* FindLive(Partition& aPartition,
                     const std::string& aKey,
                     milliseconds aTime);
  void Put(Partition& aPartition, const std::string& aKey, ClaimRow aRow);

  Partitions partitions_;
  uint64_t epoch_ = 0;
  size_t size_ = 0;
};

} // namespace foxtail

#endif // CONTROL_CLAIMTABLE_H
