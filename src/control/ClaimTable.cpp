#include "control/ClaimTable.h"

#include <xxhash.h>

namespace foxtail {
namespace {

/// Separates service and key; neither may contain it.
constexpr char kSeparator = '\n';
/// Expired rows removed per command, which bounds the time of a command.
constexpr size_t kMaxExpired = 8;

} // namespace

ClaimTable::ClaimTable()
{
  for (std::shared_ptr<Partition>& partition : partitions_) {
    partition = std::make_shared<Partition>();
  }
}

std::string ClaimTable::KeyOf(const ClaimRequest& aClaim)
{
  return aClaim.service_.Value() + kSeparator + aClaim.key_;
}

ClaimTable::Partition& ClaimTable::PartitionFor(const std::string& aKey)
{
  const uint64_t hash = XXH3_64bits(aKey.data(), aKey.size());
  std::shared_ptr<Partition>& partition = partitions_[hash % kPartitions];
  if (partition->epoch_ != epoch_) {
    partition = std::make_shared<Partition>(*partition);
    partition->epoch_ = epoch_;
  }
  return *partition;
}

ClaimTable::Partitions ClaimTable::TakeSnapshot()
{
  ++epoch_;
  return partitions_;
}

void ClaimTable::Expire(Partition& aPartition, milliseconds aTime)
{
  size_t expired = 0;
  while (!aPartition.expiries_.empty() && expired < kMaxExpired) {
    const Expiry& first = aPartition.expiries_.front();
    const auto row = aPartition.rows_.find(first.key_);
    const bool isStale =
      row == aPartition.rows_.end() || row->second.expiresAt_ != first.time_;
    if (!isStale && first.time_ > aTime) {
      return;
    }
    if (!isStale) {
      aPartition.rows_.erase(row);
      --size_;
      ++expired;
    }
    aPartition.expiries_.pop_front();
  }
}

ClaimRow* ClaimTable::FindLive(Partition& aPartition,
                               const std::string& aKey,
                               milliseconds aTime)
{
  const auto row = aPartition.rows_.find(aKey);
  if (row == aPartition.rows_.end() || row->second.expiresAt_ <= aTime) {
    return nullptr;
  }
  return &row->second;
}

void ClaimTable::Put(Partition& aPartition,
                     const std::string& aKey,
                     ClaimRow aRow)
{
  aPartition.expiries_.push_back({ aRow.expiresAt_, aKey });
  const auto [row, isNew] =
    aPartition.rows_.insert_or_assign(aKey, std::move(aRow));
  size_ += isNew ? 1 : 0;
}

void ClaimTable::Restore(const std::string& aKey, ClaimRow aRow)
{
  Put(PartitionFor(aKey), aKey, std::move(aRow));
}

ClaimResult ClaimTable::Apply(const ClaimAction& aAction, milliseconds aTime)
{
  const std::string key = KeyOf(aAction.claim_);
  Partition& partition = PartitionFor(key);
  Expire(partition, aTime);
  const ClaimRow* row = FindLive(partition, key, aTime);
  const bool isSameGrant = row != nullptr && row->grant_ == aAction.grant_;
  if (row != nullptr && row->phase_ != ClaimPhase::Released) {
    if (row->bodyHash_ != aAction.claim_.bodyHash_) {
      return { ClaimState::Mismatch, {} };
    }
    if (row->phase_ == ClaimPhase::Recorded) {
      return { ClaimState::Recorded, row->record_ };
    }
    // The same grant is a retry of the granted call whose reply was lost.
    return { isSameGrant ? ClaimState::Granted : ClaimState::Unknown, {} };
  }
  if (isSameGrant) {
    // The grant was released, so its caller has stopped waiting.
    return { ClaimState::Unknown, {} };
  }
  ClaimRow newRow;
  newRow.bodyHash_ = aAction.claim_.bodyHash_;
  newRow.request_ = aAction.claim_.request_;
  newRow.grant_ = aAction.grant_;
  newRow.expiresAt_ = aTime + aAction.retention_;
  Put(partition, key, std::move(newRow));
  return { ClaimState::Granted, {} };
}

ClaimUpdateResult ClaimTable::Apply(const RecordAction& aAction,
                                    milliseconds aTime)
{
  const std::string key = KeyOf(aAction.claim_);
  Partition& partition = PartitionFor(key);
  ClaimRow* row = FindLive(partition, key, aTime);
  if (row == nullptr || row->grant_ != aAction.grant_ ||
      row->phase_ == ClaimPhase::Released) {
    return { false };
  }
  // A repeated record changes nothing: the first recorded answer stays.
  if (row->phase_ == ClaimPhase::Open) {
    row->phase_ = ClaimPhase::Recorded;
    row->record_ = aAction.record_;
  }
  return { true };
}

ClaimUpdateResult ClaimTable::Apply(const ReleaseAction& aAction,
                                    milliseconds aTime)
{
  const std::string key = KeyOf(aAction.claim_);
  Partition& partition = PartitionFor(key);
  ClaimRow* row = FindLive(partition, key, aTime);
  if (row != nullptr && row->grant_ != aAction.grant_ &&
      row->phase_ != ClaimPhase::Released) {
    return { false };
  }
  if (row != nullptr && row->phase_ == ClaimPhase::Recorded) {
    return { false };
  }
  // The release is stored even without a claim: a delayed claim under the same
  // grant may still be received and must not be granted.
  ClaimRow released;
  released.bodyHash_ = aAction.claim_.bodyHash_;
  released.grant_ = aAction.grant_;
  released.phase_ = ClaimPhase::Released;
  released.expiresAt_ = aTime + aAction.retention_;
  Put(partition, key, std::move(released));
  return { true };
}

} // namespace foxtail
