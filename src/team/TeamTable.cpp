#include "team/TeamTable.h"

#include <algorithm>

namespace foxtail {

TeamTable::TeamTable(const std::vector<Team>& aTeams)
{
  for (const Team& team : aTeams) {
    byName_.emplace(team.name_, &team);
    for (const std::string& key : team.keys_) {
      byKey_.emplace(key, &team);
    }
  }
}

const Team* TeamTable::FindByKey(std::string_view aKey) const
{
  const auto found = byKey_.find(aKey);
  return found == byKey_.end() ? nullptr : found->second;
}

const Team* TeamTable::FindByName(std::string_view aName) const
{
  const auto found = byName_.find(aName);
  return found == byName_.end() ? nullptr : found->second;
}

size_t TeamTable::MaxComparisons() const
{
  size_t largest = 0;
  for (size_t i = 0; i < byKey_.bucket_count(); ++i) {
    largest = std::max(largest, byKey_.bucket_size(i));
  }
  return largest;
}

} // namespace foxtail
