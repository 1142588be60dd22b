#ifndef TEAM_TEAMTABLE_H
#define TEAM_TEAMTABLE_H

#include "team/Team.h"

#include <string_view>
#include <unordered_map>

namespace foxtail {

/// Index of a document's teams by key and by name. The time of a lookup does
/// not depend on the number of teams. Immutable, thread safe.
class TeamTable
{
public:
  /// @param aTeams valid teams, which must outlive the table.
  explicit TeamTable(const std::vector<Team>& aTeams);
  TeamTable(const TeamTable&) = delete;
  TeamTable& operator=(const TeamTable&) = delete;

  /// @return the team that holds the key, or null.
  const Team* FindByKey(std::string_view aKey) const;
  const Team* FindByName(std::string_view aName) const;

  /// @return the largest number of keys that a lookup compares.
  size_t MaxComparisons() const;

private:
  using Index = std::unordered_map<std::string_view, const Team*>;

  Index byKey_;
  Index byName_;
};

} // namespace foxtail

#endif // TEAM_TEAMTABLE_H
