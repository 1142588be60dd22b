#include "control/DepartureTable.h"

#include <algorithm>
#include <cassert>

namespace foxtail {

void DepartureTable::Apply(const ServerAnnouncement& aDeparture,
                           milliseconds aTime)
{
  assert(aDeparture.phase_ != ServerPhase::Ready);
  Expire(aTime);
  const auto found = rows_.find(aDeparture.id_);
  if (found != rows_.end() &&
      IsOlder(aDeparture, found->second.announcement_)) {
    return;
  }
  rows_.insert_or_assign(aDeparture.id_, Row{ aDeparture, aTime });
  recorded_.emplace_back(aTime, aDeparture.id_);
}

void DepartureTable::Restore(Rows aRows)
{
  rows_ = std::move(aRows);
  recorded_.clear();
  for (const auto& [id, row] : rows_) {
    recorded_.emplace_back(row.recordedAt_, id);
  }
  std::sort(recorded_.begin(), recorded_.end());
}

void DepartureTable::Expire(milliseconds aTime)
{
  while (!recorded_.empty() && aTime - recorded_.front().first > kRetention) {
    const auto found = rows_.find(recorded_.front().second);
    if (found != rows_.end() &&
        found->second.recordedAt_ == recorded_.front().first) {
      rows_.erase(found);
    }
    recorded_.pop_front();
  }
}

} // namespace foxtail
