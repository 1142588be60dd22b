#ifndef BACKEND_FLEETVIEW_H
#define BACKEND_FLEETVIEW_H

#include "backend/RoutedReplica.h"
#include "policy/RoutingTable.h"
#include "policy/SnapshotChooser.h"

#include <map>
#include <memory>
#include <vector>

namespace foxtail {

/// The routing table together with what is needed to reach each replica, and
/// the layout that new queries of each catalogue are pinned to. Immutable and
/// published by read-copy-update.
struct FleetView
{
  std::shared_ptr<const RoutingTable> table_ =
    std::make_shared<const RoutingTable>();
  /// In the order of RoutingTable::Replicas(); null where the announced address
  /// cannot be used.
  std::vector<std::shared_ptr<const RoutedReplica>> replicas_;
  std::map<CatalogueKey, SnapshotChoice> choices_;

  /// @return the layout, or null.
  const Layout* FindLayout(const CatalogueKey& aCatalogue,
                           const LayoutKey& aLayout) const;

  /// @return the layout that new queries are pinned to, or null when no server
  /// of the catalogue takes work.
  const Layout* FindChosen(const CatalogueKey& aCatalogue) const;

  /// @return the layout to begin again on when @p aPinned is lost: the chosen
  /// one, or else the one that covers most; null when there is no other.
  const Layout* FindReplacement(const CatalogueKey& aCatalogue,
                                const LayoutKey& aPinned) const;
};

} // namespace foxtail

#endif // BACKEND_FLEETVIEW_H
