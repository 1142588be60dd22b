#include "policy/ServerDirectory.h"

#include <algorithm>
#include <xxhash.h>

namespace foxtail {
namespace {

uint64_t HashOf(const ServerAnnouncement& aAnnouncement)
{
  const bool isUnset = aAnnouncement.id_.Value().empty();
  if (isUnset || aAnnouncement.phase_ == ServerPhase::Gone) {
    return 0;
  }
  const std::string text =
    aAnnouncement.id_.Value() + ' ' + aAnnouncement.service_.Value() + ' ' +
    aAnnouncement.address_ + ' ' + aAnnouncement.zone_.Value() + ' ' +
    std::to_string(aAnnouncement.slots_) + ' ' +
    std::string(NameOf(aAnnouncement.phase_)) + ' ' +
    std::to_string(aAnnouncement.startedAtMs_);
  return XXH3_64bits(text.data(), text.size());
}

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
  if (aNews.phase_ == ServerPhase::Gone) {
    return false;
  }
  return aKnown.phase_ == ServerPhase::Gone ||
         aNews.sequence_ < aKnown.sequence_;
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
  if (aAnnouncement.phase_ == ServerPhase::Gone && found != rows_.end() &&
      aAnnouncement.startedAtMs_ == found->second.announcement_.startedAtMs_) {
    return Leave(aAnnouncement.id_, aAnnouncement.startedAtMs_, aHeardAt);
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
  Put(row, aAnnouncement);
  Touch(row, isChanged, aHeardAt);
  return isChanged ? DirectoryVerdict::Changed : DirectoryVerdict::Renewed;
}

DirectoryVerdict ServerDirectory::Leave(const BackendId& aId,
                                        uint64_t aStartedAtMs,
                                        TimePoint aNow)
{
  const auto found = rows_.find(aId);
  if (found == rows_.end()) {
    if (aStartedAtMs == 0) {
      return DirectoryVerdict::Stale;
    }
    ServerAnnouncement goodbye;
    goodbye.id_ = aId;
    goodbye.phase_ = ServerPhase::Gone;
    goodbye.startedAtMs_ = aStartedAtMs;
    DirectoryRow& row = rows_[aId];
    Put(row, goodbye);
    Touch(row, true, aNow);
    return DirectoryVerdict::Changed;
  }
  ServerAnnouncement goodbye = found->second.announcement_;
  if (aStartedAtMs != 0 && aStartedAtMs < goodbye.startedAtMs_) {
    return DirectoryVerdict::Stale;
  }
  const bool isChanged = goodbye.phase_ != ServerPhase::Gone;
  goodbye.phase_ = ServerPhase::Gone;
  goodbye.startedAtMs_ = std::max(goodbye.startedAtMs_, aStartedAtMs);
  Put(found->second, goodbye);
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
    const bool isSilent = aNow - aRow.second.heardAt_ > kForgetAfter;
    digest_ ^= isSilent ? HashOf(aRow.second.announcement_) : 0;
    return isSilent;
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
      ServerAnnouncement ended = earlier->second.announcement_;
      ended.phase_ = ServerPhase::Gone;
      Put(earlier->second, ended);
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
  ++revision_;
  if (aIsChanged) {
    aRow.changedAt_ = revision_;
    changeRevision_ = revision_;
  }
}

void ServerDirectory::Put(DirectoryRow& aRow,
                          const ServerAnnouncement& aAnnouncement)
{
  digest_ ^= HashOf(aRow.announcement_) ^ HashOf(aAnnouncement);
  aRow.announcement_ = aAnnouncement;
}

} // namespace foxtail
