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

/// Routing table entry of a backend server.
struct Replica
{
  Announcement announcement_;
  /// When the last announcement was received.
  TimePoint lastAnnouncementAt_;
  /// When this incarnation's first announcement was received; start of its
  /// ramp.
  TimePoint firstAnnouncementAt_;
};

/// Identifies a catalogue of one service, which has its own backend servers.
struct CatalogueKey
{
  ServiceName service_;
  CatalogueName catalogue_;
  auto operator<=>(const CatalogueKey&) const = default;
};

/// One index version with one number of shards. The same version announced with
/// two shard counts makes two layouts, which are never mixed.
struct LayoutKey
{
  IndexVersion version_;
  uint32_t shardCount_ = 0;
  auto operator<=>(const LayoutKey&) const = default;
};

struct Layout
{
  LayoutKey key_;
  /// Replicas of each shard, as indices into RoutingTable::Replicas(); empty if
  /// no server announces the shard. Draining servers are included, so that the
  /// policy can distinguish "draining" from "missing".
  std::vector<std::vector<uint32_t>> shards_;

  /// @return the number of shards with at least one replica that accepts
  /// requests.
  uint32_t CoveredShards(const std::vector<Replica>& aReplicas) const;
};

/// Immutable view of all announced backend servers, published by
/// read-copy-update. Thread safe.
class RoutingTable
{
public:
  RoutingTable() = default;
  explicit RoutingTable(std::vector<Replica> aReplicas);

  const std::vector<Replica>& Replicas() const { return replicas_; }

  /// @return the layouts of a catalogue, newest version first; null if no
  /// server announces the catalogue.
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
