#include "team/Team.h"

#include "core/Error.h"

#include <cmath>
#include <unordered_map>
#include <unordered_set>

namespace foxtail {
namespace {

absl::Status TeamError(const Team& aTeam, std::string_view aMessage)
{
  return MakeError(ErrorKind::InvalidDocument,
                   "team " + aTeam.name_ + ": " + std::string(aMessage));
}

/// Names a key by its place, as the key itself is secret.
std::string KeyPlace(const Team& aTeam, size_t aIndex)
{
  return "team " + aTeam.name_ + ", key " + std::to_string(aIndex + 1);
}

} // namespace

absl::Status Validate(const std::vector<Team>& aTeams)
{
  std::unordered_set<std::string_view> names;
  std::unordered_map<std::string_view, std::string> keyPlaces;
  for (const Team& team : aTeams) {
    if (team.name_.empty()) {
      return MakeError(ErrorKind::InvalidDocument,
                       "a team has no name; give each team a name");
    }
    if (!names.insert(team.name_).second) {
      return TeamError(team, "it is listed twice; list each team once");
    }
    const bool isValidQuota = std::isfinite(team.requestsPerSecond_) &&
                              team.requestsPerSecond_ >= 0 &&
                              std::isfinite(team.burst_) && team.burst_ >= 0;
    if (!isValidQuota) {
      return TeamError(team,
                       "its rate or burst is negative; give 0 or more "
                       "requests, or 0 for no quota");
    }
    for (size_t i = 0; i < team.keys_.size(); ++i) {
      if (team.keys_[i].empty()) {
        return TeamError(team, "it has an empty key; remove or replace it");
      }
      const std::string place = KeyPlace(team, i);
      const auto [first, isNew] = keyPlaces.emplace(team.keys_[i], place);
      if (!isNew) {
        return MakeError(ErrorKind::InvalidDocument,
                         first->second + " and " + place +
                           " are the same key; give each team its own keys");
      }
    }
  }
  return absl::OkStatus();
}

} // namespace foxtail
