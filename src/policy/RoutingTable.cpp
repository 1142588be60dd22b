#include "policy/RoutingTable.h"

#include <algorithm>

namespace foxtail {

uint32_t Layout::CoveredShards(const std::vector<Replica>& aReplicas) const
{
  const auto takesWork = [&](uint32_t aIndex) {
    const BackendState state = aReplicas[aIndex].announcement_.state_;
    return state == BackendState::Ready || state == BackendState::Starting;
  };
  return static_cast<uint32_t>(
    std::count_if(shards_.begin(), shards_.end(), [&](const auto& aShard) {
      return std::any_of(aShard.begin(), aShard.end(), takesWork);
    }));
}

RoutingTable::RoutingTable(std::vector<Replica> aReplicas)
  : replicas_(std::move(aReplicas))
{
  std::map<CatalogueKey, std::map<LayoutKey, Layout>> grouped;
  for (uint32_t i = 0; i < replicas_.size(); ++i) {
    const Announcement& announcement = replicas_[i].announcement_;
    const LayoutKey key{ announcement.version_, announcement.shardCount_ };
    Layout& layout =
      grouped[{ announcement.service_, announcement.catalogue_ }][key];
    layout.key_ = key;
    layout.shards_.resize(key.shardCount_);
    layout.shards_[announcement.shard_.Value()].push_back(i);
  }
  for (auto& [catalogue, layouts] : grouped) {
    std::vector<Layout>& target = catalogues_[catalogue];
    // The map is in ascending order of versions; the table has the newest
    // first.
    for (auto row = layouts.rbegin(); row != layouts.rend(); ++row) {
      target.push_back(std::move(row->second));
    }
  }
}

const std::vector<Layout>* RoutingTable::FindLayouts(
  const CatalogueKey& aKey) const
{
  const auto found = catalogues_.find(aKey);
  return found == catalogues_.end() ? nullptr : &found->second;
}

} // namespace foxtail
