#include "policy/ServerDirectory.h"

#include <algorithm>

namespace foxtail {
namespace {

bool IsSameContent(const ServerAnnouncement& aLeft,
                   const ServerAnnouncement& aRight)
{
  return aLeft.phase_ == aRight.phase_ && aLeft.address_ == aRight.address_ &&
         aLeft.service_ == aRight.service_ && aLeft.slots_ == aRight.slots_ &&
         aLeft.zone_ == aRight.zone_ &&
         aLeft.startedAtMs_ == aRight.startedAtMs_;
}

/// Within one incarnation a goodbye is final, whatever arrives after it.
bool IsOlder(const ServerAnnouncement& aNews, const ServerAnnouncement& aKnown)
{
  if (aNews.startedAtMs_ != aKnown.startedAtMs_) {
    return aNews.startedAtMs_ < aKnown.startedAtMs_;
  }
  if (aKnown.phase_ == ServerPhase::Gone) {
    return aNews.phase_ != ServerPhase::Gone;
  }
  return aNews.sequence_ < aKnown.sequence_;
}

} // namespace

DirectoryVerdict ServerDirectory::Apply(const ServerAnnouncement& aAnnouncement,
                                        TimePoint aHeardAt)
{
  const auto found = rows_.find(aAnnouncement.id_);
  if (found != rows_.end() &&
      IsOlder(aAnnouncement, found->second.announcement_)) {
    return DirectoryVerdict::Stale;
  }
  if (IsAddressTaken(aAnnouncement)) {
    return DirectoryVerdict::Stale;
  }
  const bool isChanged =
    found == rows_.end() ||
    !IsSameContent(aAnnouncement, found->second.announcement_);
  if (isChanged && aAnnouncement.phase_ != ServerPhase::Gone) {
    ReleaseAddress(aAnnouncement);
  }
  DirectoryRow& row = rows_[aAnnouncement.id_];
  row.announcement_ = aAnnouncement;
  Touch(row, isChanged, aHeardAt);
  return isChanged ? DirectoryVerdict::Changed : DirectoryVerdict::Renewed;
}

DirectoryVerdict ServerDirectory::Leave(const BackendId& aId,
                                        uint64_t aStartedAtMs,
                                        TimePoint aNow)
{
  const auto found = rows_.find(aId);
  if (found == rows_.end()) {
    return DirectoryVerdict::Stale;
  }
  ServerAnnouncement& known = found->second.announcement_;
  if (aStartedAtMs != 0 && aStartedAtMs < known.startedAtMs_) {
    return DirectoryVerdict::Stale;
  }
  const bool isChanged = known.phase_ != ServerPhase::Gone;
  known.phase_ = ServerPhase::Gone;
  Touch(found->second, isChanged, aNow);
  return isChanged ? DirectoryVerdict::Changed : DirectoryVerdict::Renewed;
}

void ServerDirectory::Renew(const BackendId& aId,
                            uint64_t aSequence,
                            TimePoint aHeardAt)
{
  const auto found = rows_.find(aId);
  if (found == rows_.end() ||
      found->second.announcement_.phase_ == ServerPhase::Gone) {
    return;
  }
  ServerAnnouncement& known = found->second.announcement_;
  known.sequence_ = std::max(known.sequence_, aSequence);
  Touch(found->second, false, aHeardAt);
}

bool ServerDirectory::Forget(TimePoint aNow)
{
  const size_t dropped = std::erase_if(rows_, [&](const auto& aRow) {
    return aNow - aRow.second.heardAt_ > kForgetAfter;
  });
  if (dropped == 0) {
    return false;
  }
  std::erase_if(byAddress_, [this](const auto& aRow) {
    return !rows_.contains(aRow.second);
  });
  changeRevision_ = ++revision_;
  return true;
}

const DirectoryRow* ServerDirectory::Find(const BackendId& aId) const
{
  const auto found = rows_.find(aId);
  return found == rows_.end() ? nullptr : &found->second;
}

bool ServerDirectory::IsAddressTaken(
  const ServerAnnouncement& aAnnouncement) const
{
  const auto holder = byAddress_.find(aAnnouncement.address_);
  if (holder == byAddress_.end() || holder->second == aAnnouncement.id_) {
    return false;
  }
  const DirectoryRow* row = Find(holder->second);
  return row != nullptr &&
         row->announcement_.address_ == aAnnouncement.address_ &&
         row->announcement_.startedAtMs_ > aAnnouncement.startedAtMs_;
}

void ServerDirectory::ReleaseAddress(const ServerAnnouncement& aAnnouncement)
{
  BackendId& holder = byAddress_[aAnnouncement.address_];
  if (holder != aAnnouncement.id_) {
    const auto earlier = rows_.find(holder);
    if (earlier != rows_.end() &&
        earlier->second.announcement_.address_ == aAnnouncement.address_ &&
        earlier->second.announcement_.phase_ != ServerPhase::Gone) {
      earlier->second.announcement_.phase_ = ServerPhase::Gone;
      Touch(earlier->second, true, earlier->second.heardAt_);
    }
    holder = aAnnouncement.id_;
  }
}

void ServerDirectory::Touch(DirectoryRow& aRow,
                            bool aIsChanged,
                            TimePoint aHeardAt)
{
  aRow.heardAt_ = std::max(aRow.heardAt_, aHeardAt);
  aRow.renewedAt_ = ++revision_;
  if (aIsChanged) {
    aRow.changedAt_ = revision_;
    changeRevision_ = revision_;
  }
}

} // namespace foxtail
