#ifndef FORWARD_ROUTETABLE_H
#define FORWARD_ROUTETABLE_H

#include "forward/RouteDocument.h"

#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace foxtail {

/// A document made ready for requests: finds the route by host and longest path
/// prefix. Immutable; shared by the requests that began under it.
class RouteTable
{
public:
  explicit RouteTable(RouteDocument aDocument);
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  /// @param aHost as sent, with or without a port; its case does not matter.
  /// @param aPath without the query.
  /// @return the route, or null.
  const Route* Find(std::string_view aHost, std::string_view aPath) const;

  /// @return the service, or null when the document does not name it.
  const RoutedService* FindService(const ServiceName& aName) const;

  const RouteDocument& Document() const { return document_; }
  DocumentVersion Version() const { return document_.version_; }

private:
  RouteDocument document_;
  /// By host and prefix, joined.
  std::unordered_map<std::string, const Route*> byHostAndPrefix_;
  std::unordered_map<ServiceName, const RoutedService*> services_;
};

} // namespace foxtail

#endif // FORWARD_ROUTETABLE_H
