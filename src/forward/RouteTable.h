#ifndef FORWARD_ROUTETABLE_H
#define FORWARD_ROUTETABLE_H

#include "forward/RouteDocument.h"
#include "team/RegionFilter.h"
#include "team/TeamTable.h"

#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace foxtail {

/// Index of a document that finds the route by host and longest path prefix.
/// Immutable; shared by the requests that began while it was in force.
class RouteTable
{
public:
  explicit RouteTable(RouteDocument aDocument);
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  /// @param aHost host as sent by the caller, with or without a port, in any
  /// case.
  /// @param aPath path without the query.
  /// @return the route, or null.
  const Route* Find(std::string_view aHost, std::string_view aPath) const;

  /// @return the service, or null when it is not in the document.
  const RoutedService* FindService(const ServiceName& aName) const;

  /// @return the teams, or null when the document has no list of teams.
  const TeamTable* Teams() const { return teams_ ? &*teams_ : nullptr; }

  /// @param aTeam name of the request's team; empty if it has none.
  /// @return the regions that the route and the team allow.
  RegionFilter RegionsFor(const Route& aRoute, std::string_view aTeam) const;

  const RouteDocument& Document() const { return document_; }
  DocumentVersion Version() const { return document_.version_; }

private:
  RouteDocument document_;
  /// Keyed by the lower-case host followed by the path prefix.
  std::unordered_map<std::string, const Route*> byHostAndPrefix_;
  std::unordered_map<ServiceName, const RoutedService*> services_;
  std::optional<TeamTable> teams_;
};

} // namespace foxtail

#endif // FORWARD_ROUTETABLE_H
