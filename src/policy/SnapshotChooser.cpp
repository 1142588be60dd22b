#include "policy/SnapshotChooser.h"

#include <algorithm>
#include <tuple>

namespace foxtail {
namespace {

constexpr double kPercent = 100;
constexpr milliseconds kLongestHold{ 600000 };

/// Properties of one layout that decide the choice.
struct RatedLayout
{
  LayoutKey key_;
  uint32_t covered_ = 0;
  /// Servers that accept requests at the least replicated covered shard.
  uint32_t leastReplicas_ = 0;
  uint32_t replicas_ = 0;

  bool IsFull() const { return covered_ == key_.shardCount_; }
  double Coverage() const
  {
    return static_cast<double>(covered_) / key_.shardCount_;
  }
  auto Rank() const
  {
    // Among full layouts the newest is best, among partial ones the best
    // covered.
    return std::make_tuple(
      IsFull(), Coverage(), key_.version_.Value(), replicas_, key_.shardCount_);
  }
};

uint32_t CountAvailable(const std::vector<uint32_t>& aShard,
                        const std::vector<Replica>& aReplicas,
                        std::span<const uint8_t> aUnreachable)
{
  return static_cast<uint32_t>(
    std::count_if(aShard.begin(), aShard.end(), [&](uint32_t aIndex) {
      const BackendState state = aReplicas[aIndex].announcement_.state_;
      const bool isUnreachable =
        !aUnreachable.empty() && aUnreachable[aIndex] != 0;
      return !isUnreachable &&
             (state == BackendState::Ready || state == BackendState::Starting);
    }));
}

RatedLayout RateLayout(const Layout& aLayout,
                       const std::vector<Replica>& aReplicas,
                       std::span<const uint8_t> aUnreachable)
{
  RatedLayout result;
  result.key_ = aLayout.key_;
  for (const std::vector<uint32_t>& shard : aLayout.shards_) {
    const uint32_t available = CountAvailable(shard, aReplicas, aUnreachable);
    if (available == 0) {
      continue;
    }
    result.leastReplicas_ = result.covered_ == 0
                              ? available
                              : std::min(result.leastReplicas_, available);
    result.replicas_ += available;
    ++result.covered_;
  }
  return result;
}

/// @return the layouts that cover at least one shard.
std::vector<RatedLayout> RateLayouts(const std::vector<Layout>& aLayouts,
                                     const std::vector<Replica>& aReplicas,
                                     std::span<const uint8_t> aUnreachable)
{
  std::vector<RatedLayout> rated;
  for (const Layout& layout : aLayouts) {
    const RatedLayout row = RateLayout(layout, aReplicas, aUnreachable);
    if (row.covered_ > 0) {
      rated.push_back(row);
    }
  }
  return rated;
}

const RatedLayout* FindRated(const std::vector<RatedLayout>& aRated,
                             const std::optional<LayoutKey>& aKey)
{
  const auto found =
    std::find_if(aRated.begin(), aRated.end(), [&](const RatedLayout& aRow) {
      return aKey && aRow.key_ == *aKey;
    });
  return found == aRated.end() ? nullptr : &*found;
}

bool HasShardCountConflict(const std::vector<Layout>& aLayouts)
{
  // The table orders the layouts by version, so equal versions are adjacent.
  const auto same = [](const Layout& aLeft, const Layout& aRight) {
    return aLeft.key_.version_ == aRight.key_.version_;
  };
  return std::adjacent_find(aLayouts.begin(), aLayouts.end(), same) !=
         aLayouts.end();
}

Duration RequiredHold(const SnapshotChooserSettings& aSettings,
                      const RatedLayout& aChosen,
                      const RatedLayout& aBest)
{
  const double gain = (aBest.Coverage() - aChosen.Coverage()) * kPercent;
  if (gain > aSettings.coverageMarginPercent_) {
    return Duration::zero();
  }
  if (gain > 0 || aBest.leastReplicas_ >= aChosen.leastReplicas_) {
    return aSettings.settle_;
  }
  return aSettings.capacityHold_;
}

SnapshotChoice ChoiceOf(const RatedLayout& aRated, SnapshotReason aReason)
{
  SnapshotChoice choice;
  choice.layout_ = aRated.key_;
  choice.coveredShards_ = aRated.covered_;
  choice.reason_ = aReason;
  choice.isSwitched_ =
    aReason != SnapshotReason::Kept && aReason != SnapshotReason::Held;
  return choice;
}

} // namespace

SnapshotChooserSettings SnapshotChooserSettings::Read(JsonReader& aReader)
{
  SnapshotChooserSettings result;
  result.coverageMarginPercent_ = aReader.Number(
    "coverage_margin_percent", result.coverageMarginPercent_, 0, kPercent);
  result.settle_ =
    aReader.Millis("settle_ms", result.settle_, milliseconds(0), kLongestHold);
  result.capacityHold_ = aReader.Millis(
    "capacity_hold_ms", result.capacityHold_, milliseconds(0), kLongestHold);
  return result;
}

SnapshotChooser::SnapshotChooser(SnapshotChooserSettings aSettings)
  : settings_(aSettings)
{
}

SnapshotChoice SnapshotChooser::Choose(const RoutingTable& aTable,
                                       const CatalogueKey& aCatalogue,
                                       std::span<const uint8_t> aUnreachable,
                                       TimePoint aNow)
{
  const std::vector<Layout>* layouts = aTable.FindLayouts(aCatalogue);
  if (layouts == nullptr) {
    states_.erase(aCatalogue);
    return {};
  }
  return ChooseWithState(
    aTable, *layouts, aUnreachable, states_[aCatalogue], aNow);
}

SnapshotChoice SnapshotChooser::ChooseWithState(
  const RoutingTable& aTable,
  const std::vector<Layout>& aLayouts,
  std::span<const uint8_t> aUnreachable,
  State& aState,
  TimePoint aNow) const
{
  std::vector<RatedLayout> rated =
    RateLayouts(aLayouts, aTable.Replicas(), aUnreachable);
  if (rated.empty()) {
    // The reachability data may be wrong, so layouts without any reachable
    // server are still considered if there is no other.
    rated = RateLayouts(aLayouts, aTable.Replicas(), {});
  }
  const bool hasConflict = HasShardCountConflict(aLayouts);
  const auto best =
    std::max_element(rated.begin(),
                     rated.end(),
                     [](const RatedLayout& aLeft, const RatedLayout& aRight) {
                       return aLeft.Rank() < aRight.Rank();
                     });
  SnapshotChoice choice;
  const auto finish = [&] {
    choice.hasShardCountConflict_ = hasConflict;
    return choice;
  };
  if (best == rated.end()) {
    aState = {};
    return finish();
  }
  const RatedLayout* chosen = FindRated(rated, aState.chosen_);
  if (chosen != nullptr && chosen->key_ == best->key_) {
    aState.candidate_.reset();
    choice = ChoiceOf(*chosen, SnapshotReason::Kept);
    return finish();
  }
  if (chosen != nullptr) {
    if (aState.candidate_ != best->key_) {
      aState.candidate_ = best->key_;
      aState.candidateSince_ = aNow;
    }
    if (aNow - aState.candidateSince_ <
        RequiredHold(settings_, *chosen, *best)) {
      choice = ChoiceOf(*chosen, SnapshotReason::Held);
      return finish();
    }
  }
  SnapshotReason reason = SnapshotReason::Newer;
  if (chosen == nullptr) {
    reason = aState.chosen_ ? SnapshotReason::Vanished : SnapshotReason::First;
  } else if (best->Coverage() > chosen->Coverage()) {
    reason = SnapshotReason::MoreCoverage;
  }
  choice = ChoiceOf(*best, reason);
  aState.chosen_ = best->key_;
  aState.candidate_.reset();
  return finish();
}

std::map<CatalogueKey, SnapshotChoice> SnapshotChooser::ChooseAll(
  const RoutingTable& aTable,
  std::span<const uint8_t> aUnreachable,
  TimePoint aNow)
{
  std::erase_if(states_, [&](const auto& aRow) {
    return aTable.FindLayouts(aRow.first) == nullptr;
  });
  std::map<CatalogueKey, SnapshotChoice> result;
  for (const auto& [catalogue, layouts] : aTable.Catalogues()) {
    result[catalogue] =
      ChooseWithState(aTable, layouts, aUnreachable, states_[catalogue], aNow);
  }
  return result;
}

ReplanSettings ReplanSettings::Read(JsonReader& aReader)
{
  ReplanSettings result;
  result.maxReplans_ = static_cast<uint32_t>(
    aReader.Integer("max_replans", result.maxReplans_, 0, 10));
  result.latencyFactor_ =
    aReader.Number("latency_factor", result.latencyFactor_, 1, 10);
  return result;
}

ReplanVerdict DecideReplan(const ReplanSettings& aSettings,
                           const ReplanInput& aInput)
{
  if (aInput.lostShards_ == 0) {
    return ReplanVerdict::Continue;
  }
  if (aInput.isAction_ || aInput.replans_ >= aSettings.maxReplans_ ||
      aInput.otherShards_ == 0) {
    return ReplanVerdict::KeepPinned;
  }
  // Coverage that the pinned layout can still reach if all attempts in flight
  // succeed.
  const double pinned =
    static_cast<double>(aInput.shards_ - aInput.lostShards_) / aInput.shards_;
  const double other =
    static_cast<double>(aInput.otherCovered_) / aInput.otherShards_;
  if (other <= pinned) {
    return ReplanVerdict::KeepPinned;
  }
  const double needed =
    ToMilliseconds(aInput.expectedLatency_) * aSettings.latencyFactor_;
  return ToMilliseconds(aInput.timeLeft_) >= needed ? ReplanVerdict::Restart
                                                    : ReplanVerdict::KeepPinned;
}

} // namespace foxtail
