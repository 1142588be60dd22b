#ifndef TEAM_TEAM_H
#define TEAM_TEAM_H

#include <absl/status/status.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace foxtail {

/// Regions whose backend servers may receive a request; empty allows all.
using AllowedRegions = std::vector<std::string>;

/// A team of callers, identified by its keys.
struct Team
{
  std::string name_;
  /// Secret; must not appear in logs, metrics, errors or requests to backend
  /// servers.
  std::vector<std::string> keys_;
  /// Replaces the priority of the route; 0 is served first.
  std::optional<uint32_t> priority_;
  /// Quota over all instances together: requests per second, 0 for no quota,
  /// and requests that may be sent at once beyond that rate.
  double requestsPerSecond_ = 0;
  double burst_ = 0;
  /// Applies in addition to the regions of the route.
  AllowedRegions allowedRegions_;
};

/// Checks the teams of a document.
///
/// @return InvalidDocument with the first fault and its remedy: a team without
/// a name or with the name of another, a negative quota, an empty key, or a key
/// that occurs twice. The message names a key by its place, as it is secret.
absl::Status Validate(const std::vector<Team>& aTeams);

} // namespace foxtail

#endif // TEAM_TEAM_H
