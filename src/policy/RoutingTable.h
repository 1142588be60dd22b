#ifndef POLICY_ROUTINGTABLE_H
#define POLICY_ROUTINGTABLE_H

#include "core/Ids.h"
#include "core/Time.h"
#include "policy/Announcement.h"

#include <compare>
#include <map>
#include <memory>
#include <vector>

namespace foxtail {

/// A backend server as the routing table knows it.
struct Replica
{
  Announcement announcement_;
  /// When its newest announcement was heard.
  TimePoint lastAnnouncementAt_;
  /// When this incarnation was first heard, for the ramp of cold servers.
  TimePoint firstAnnouncementAt_;
};

/// Key of a layout's catalogue: a service's own servers of one catalogue.
struct CatalogueKey
{
  ServiceName service_;
  CatalogueName catalogue_;
  auto operator<=>(const CatalogueKey&) const = default;
};

/// One index version cut into one number of shards. The same version announced
/// with two shard counts makes two layouts, which are never mixed.
struct LayoutKey
{
  IndexVersion version_;
  uint32_t shardCount_ = 0;
  auto operator<=>(const LayoutKey&) const = default;
};

struct Layout
{
  LayoutKey key_;
  /// Replicas of each shard, as indices into RoutingTable::Replicas(); empty
  /// for a shard that nobody announces. Draining servers are included, so that
  /// the policy can tell "draining" from "missing".
  std::vector<std::vector<uint32_t>> shards_;

  /// @return the shards that have at least one replica that takes new work.
  uint32_t CoveredShards(const std::vector<Replica>& aReplicas) const;
};

/// Immutable view of every announced backend server, published by
/// read-copy-update. Thread safe.
class RoutingTable
{
public:
  RoutingTable() = default;
  explicit RoutingTable(std::vector<Replica> aReplicas);

  const std::vector<Replica>& Replicas() const { return replicas_; }

  /// @return the layouts of a catalogue, newest version first; null when no
  /// one announces it.
  const std::vector<Layout>* FindLayouts(const CatalogueKey& aKey) const;

  const std::map<CatalogueKey, std::vector<Layout>>& Catalogues() const
  {
    return catalogues_;
  }

private:
  std::vector<Replica> replicas_;
  std::map<CatalogueKey, std::vector<Layout>> catalogues_;
};

} // namespace foxtail

#endif // POLICY_ROUTINGTABLE_H
