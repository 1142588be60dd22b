#include "policy/ServerDirectory.h"

#include "core/Error.h"

#include <algorithm>
#include <array>
#include <limits>
#include <xxhash.h>

namespace foxtail {
namespace {

constexpr size_t kMaxTextBytes = 256;
constexpr uint32_t kMaxSlots = 65536;
constexpr uint64_t kMaxSequence = std::numeric_limits<int64_t>::max();
constexpr std::chrono::hours kMaxWarmup{ 1 };
/// An end of the warm-up that differs by less is the same one: announcements
/// take up to this long to arrive.
constexpr milliseconds kWarmupTolerance{ 500 };
/// Clocks of machines differ, and may jump by seconds.
constexpr std::chrono::hours kMaxClockDifference{ 1 };

absl::Status InvalidAnnouncement(const std::string& aReason)
{
  return MakeError(ErrorKind::InvalidRequest,
                   "announcement rejected: " + aReason);
}

/// @return whether an announcement changes when a server's warm-up ends: the
/// server has turned cold, stays cold for longer, or is warm earlier.
bool IsWarmupChanged(const ServerRecord& aStored,
                     const ServerAnnouncement& aUpdate,
                     TimePoint aReceivedAt)
{
  const TimePoint before = std::max(aStored.WarmupEndsAt(), aReceivedAt);
  const TimePoint after = aReceivedAt + aUpdate.warmupLeft_;
  return after > before + kWarmupTolerance || before > after + kWarmupTolerance;
}

bool IsSameContent(const ServerAnnouncement& aLeft,
                   const ServerAnnouncement& aRight)
{
  return aLeft.phase_ == aRight.phase_ && aLeft.address_ == aRight.address_ &&
         aLeft.service_ == aRight.service_ && aLeft.slots_ == aRight.slots_ &&
         aLeft.zone_ == aRight.zone_ &&
         aLeft.startedAtMs_ == aRight.startedAtMs_ &&
         aLeft.isLeaving_ == aRight.isLeaving_;
}

} // namespace

uint64_t ContentHash(const ServerAnnouncement& aAnnouncement)
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
    std::to_string(aAnnouncement.startedAtMs_) +
    (aAnnouncement.isLeaving_ ? " leaving" : "");
  return XXH3_64bits(text.data(), text.size());
}

ServerRenewal MakeRenewal(const ServerAnnouncement& aAnnouncement)
{
  return { aAnnouncement.id_,
           aAnnouncement.startedAtMs_,
           aAnnouncement.sequence_,
           ContentHash(aAnnouncement) };
}

absl::Status Validate(const ServerAnnouncement& aAnnouncement,
                      WallTime aWallNow)
{
  const std::array<std::pair<const char*, const std::string*>, 4> texts{
    { { "id", &aAnnouncement.id_.Value() },
      { "service", &aAnnouncement.service_.Value() },
      { "address", &aAnnouncement.address_ },
      { "zone", &aAnnouncement.zone_.Value() } }
  };
  for (const auto& [name, text] : texts) {
    if (text->size() > kMaxTextBytes) {
      return InvalidAnnouncement(
        std::string(name) + " has " + std::to_string(text->size()) +
        " bytes; give at most " + std::to_string(kMaxTextBytes));
    }
  }
  if (aAnnouncement.slots_ > kMaxSlots) {
    return InvalidAnnouncement("slots are " +
                               std::to_string(aAnnouncement.slots_) +
                               "; give at most " + std::to_string(kMaxSlots));
  }
  if (aAnnouncement.sequence_ > kMaxSequence) {
    return InvalidAnnouncement("the sequence is above 2^63 - 1");
  }
  if (aAnnouncement.warmupLeft_ < milliseconds(0) ||
      aAnnouncement.warmupLeft_ > kMaxWarmup) {
    return InvalidAnnouncement("the warm-up takes longer than an hour");
  }
  const auto latestStart = duration_cast<milliseconds>(
    (aWallNow + kMaxClockDifference).time_since_epoch());
  if (aAnnouncement.startedAtMs_ > static_cast<uint64_t>(latestStart.count())) {
    return InvalidAnnouncement("the start is in the future; give milliseconds "
                               "since the Unix epoch and check the clock");
  }
  return absl::OkStatus();
}

bool IsOlder(const ServerAnnouncement& aUpdate,
             const ServerAnnouncement& aStored)
{
  if (aUpdate.startedAtMs_ != aStored.startedAtMs_) {
    return aUpdate.startedAtMs_ < aStored.startedAtMs_;
  }
  if (aUpdate.phase_ == ServerPhase::Gone) {
    return false;
  }
  return aStored.phase_ == ServerPhase::Gone ||
         aUpdate.sequence_ < aStored.sequence_;
}

DirectoryUpdateResult ServerDirectory::Apply(
  const ServerAnnouncement& aAnnouncement,
  TimePoint aReceivedAt)
{
  return ApplyMarked(WithLeavingMark(aAnnouncement), aReceivedAt);
}

DirectoryUpdateResult ServerDirectory::ApplyMarked(
  const ServerAnnouncement& aAnnouncement,
  TimePoint aReceivedAt)
{
  const auto found = rows_.find(aAnnouncement.id_);
  if (found != rows_.end() &&
      IsOlder(aAnnouncement, found->second.announcement_)) {
    // The mark may come from an instance that has an older announcement.
    return aAnnouncement.isLeaving_ ? MarkLeaving(aAnnouncement.id_,
                                                  aAnnouncement.startedAtMs_,
                                                  aReceivedAt)
                                    : DirectoryUpdateResult::Stale;
  }
  if (aAnnouncement.phase_ == ServerPhase::Gone && found != rows_.end() &&
      aAnnouncement.startedAtMs_ == found->second.announcement_.startedAtMs_) {
    return Deregister(
      aAnnouncement.id_, aAnnouncement.startedAtMs_, aReceivedAt);
  }
  if (IsAddressTaken(aAnnouncement)) {
    return DirectoryUpdateResult::Stale;
  }
  const bool isChanged =
    found == rows_.end() ||
    !IsSameContent(aAnnouncement, found->second.announcement_) ||
    IsWarmupChanged(found->second, aAnnouncement, aReceivedAt);
  if (isChanged && aAnnouncement.phase_ != ServerPhase::Gone) {
    ReleaseAddress(aAnnouncement);
  }
  ServerRecord& row = rows_[aAnnouncement.id_];
  ReplaceContent(row, aAnnouncement);
  RecordUpdate(row, isChanged, aReceivedAt);
  SetReceivedAt(row, aReceivedAt + aAnnouncement.warmupLeft_, aReceivedAt);
  return isChanged ? DirectoryUpdateResult::Changed
                   : DirectoryUpdateResult::Renewed;
}

DirectoryUpdateResult ServerDirectory::MarkLeaving(const BackendId& aId,
                                                   uint64_t aStartedAtMs,
                                                   TimePoint aNow)
{
  const auto found = rows_.find(aId);
  if (found == rows_.end() ||
      found->second.announcement_.startedAtMs_ < aStartedAtMs) {
    KeepLeavingMark(aId, aStartedAtMs, aNow);
    return DirectoryUpdateResult::Stale;
  }
  ServerRecord& row = found->second;
  if (row.announcement_.startedAtMs_ != aStartedAtMs ||
      row.announcement_.phase_ == ServerPhase::Gone ||
      row.announcement_.isLeaving_) {
    return DirectoryUpdateResult::Stale;
  }
  ServerAnnouncement marked = row.announcement_;
  // The phase and its place in the replicated log stay if it drains already.
  const bool isCommitted = row.isDepartureCommitted_;
  marked.isLeaving_ = true;
  marked.phase_ = ServerPhase::Draining;
  ReplaceContent(row, marked);
  RecordUpdate(row, true, row.lastAnnouncementAt_);
  row.isDepartureCommitted_ = isCommitted;
  return DirectoryUpdateResult::Changed;
}

ServerAnnouncement ServerDirectory::WithLeavingMark(
  ServerAnnouncement aAnnouncement) const
{
  const auto row = rows_.find(aAnnouncement.id_);
  const auto mark = leavingMarks_.find(aAnnouncement.id_);
  const bool isMarked =
    (row != rows_.end() && row->second.announcement_.isLeaving_ &&
     row->second.announcement_.startedAtMs_ == aAnnouncement.startedAtMs_) ||
    (mark != leavingMarks_.end() &&
     mark->second.startedAtMs_ == aAnnouncement.startedAtMs_);
  aAnnouncement.isLeaving_ = aAnnouncement.isLeaving_ || isMarked;
  if (aAnnouncement.isLeaving_ && aAnnouncement.phase_ == ServerPhase::Ready) {
    aAnnouncement.phase_ = ServerPhase::Draining;
  }
  return aAnnouncement;
}

void ServerDirectory::KeepLeavingMark(const BackendId& aId,
                                      uint64_t aStartedAtMs,
                                      TimePoint aNow)
{
  const auto found = leavingMarks_.find(aId);
  if (found != leavingMarks_.end()) {
    if (aStartedAtMs >= found->second.startedAtMs_) {
      found->second = { aStartedAtMs, aNow };
    }
  } else if (leavingMarks_.size() < kMaxLeavingMarks) {
    leavingMarks_[aId] = { aStartedAtMs, aNow };
  }
}

DirectoryUpdateResult ServerDirectory::Deregister(const BackendId& aId,
                                                  uint64_t aStartedAtMs,
                                                  TimePoint aNow)
{
  const auto found = rows_.find(aId);
  if (found == rows_.end()) {
    if (aStartedAtMs == 0) {
      return DirectoryUpdateResult::Stale;
    }
    ServerAnnouncement deregistered;
    deregistered.id_ = aId;
    deregistered.phase_ = ServerPhase::Gone;
    deregistered.startedAtMs_ = aStartedAtMs;
    ServerRecord& row = rows_[aId];
    ReplaceContent(row, deregistered);
    RecordUpdate(row, true, aNow);
    return DirectoryUpdateResult::Changed;
  }
  ServerAnnouncement deregistered = found->second.announcement_;
  if (aStartedAtMs != 0 && aStartedAtMs < deregistered.startedAtMs_) {
    return DirectoryUpdateResult::Stale;
  }
  const bool isChanged = deregistered.phase_ != ServerPhase::Gone;
  deregistered.phase_ = ServerPhase::Gone;
  deregistered.startedAtMs_ = std::max(deregistered.startedAtMs_, aStartedAtMs);
  ReplaceContent(found->second, deregistered);
  RecordUpdate(found->second, isChanged, aNow);
  return isChanged ? DirectoryUpdateResult::Changed
                   : DirectoryUpdateResult::Renewed;
}

DirectoryUpdateResult ServerDirectory::ApplyCommitted(
  const ServerAnnouncement& aDeparture,
  TimePoint aNow)
{
  const DirectoryUpdateResult result = Apply(aDeparture, aNow);
  const auto found = rows_.find(aDeparture.id_);
  if (found != rows_.end() &&
      found->second.announcement_.startedAtMs_ == aDeparture.startedAtMs_ &&
      found->second.announcement_.phase_ == aDeparture.phase_) {
    found->second.isDepartureCommitted_ = true;
  }
  return result;
}

RenewalResult ServerDirectory::Renew(const ServerRenewal& aRenewal,
                                     TimePoint aReceivedAt)
{
  const bool hasDeregistered = aRenewal.contentHash_ == 0;
  const auto found = rows_.find(aRenewal.id_);
  if (found == rows_.end()) {
    return hasDeregistered ? RenewalResult::Ignored : RenewalResult::Missing;
  }
  ServerAnnouncement& stored = found->second.announcement_;
  if (aRenewal.startedAtMs_ != stored.startedAtMs_) {
    return aRenewal.startedAtMs_ < stored.startedAtMs_ ? RenewalResult::Ignored
                                                       : RenewalResult::Missing;
  }
  if (stored.phase_ == ServerPhase::Gone) {
    return RenewalResult::Ignored;
  }
  if (aRenewal.contentHash_ != ContentHash(stored)) {
    return !hasDeregistered && aRenewal.sequence_ < stored.sequence_
             ? RenewalResult::Ignored
             : RenewalResult::Missing;
  }
  stored.sequence_ = std::max(stored.sequence_, aRenewal.sequence_);
  const TimePoint warmupEndsAt = found->second.WarmupEndsAt();
  RecordUpdate(found->second, false, aReceivedAt);
  SetReceivedAt(found->second, warmupEndsAt, aReceivedAt);
  return RenewalResult::Renewed;
}

bool ServerDirectory::RemoveExpired(TimePoint aNow)
{
  std::erase_if(leavingMarks_, [&](const auto& aRow) {
    return aNow - aRow.second.markedAt_ > kKeepLeavingMark;
  });
  const size_t removed = std::erase_if(rows_, [&](const auto& aRow) {
    const bool isExpired =
      aNow - aRow.second.lastAnnouncementAt_ > kExpireAfter;
    digest_ ^= isExpired ? ContentHash(aRow.second.announcement_) : 0;
    if (isExpired && aRow.second.announcement_.isLeaving_) {
      KeepLeavingMark(aRow.first, aRow.second.announcement_.startedAtMs_, aNow);
    }
    return isExpired;
  });
  if (removed == 0) {
    return false;
  }
  std::erase_if(byAddress_, [this](const auto& aRow) {
    return !rows_.contains(aRow.second);
  });
  changeRevision_ = ++revision_;
  return true;
}

const ServerRecord* ServerDirectory::Find(const BackendId& aId) const
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
  const ServerRecord* row = Find(holder->second);
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
      ReplaceContent(earlier->second, ended);
      RecordUpdate(earlier->second, true, earlier->second.lastAnnouncementAt_);
    }
    holder = aAnnouncement.id_;
  }
}

void ServerDirectory::RecordUpdate(ServerRecord& aRow,
                                   bool aIsChanged,
                                   TimePoint aReceivedAt)
{
  aRow.lastAnnouncementAt_ = std::max(aRow.lastAnnouncementAt_, aReceivedAt);
  ++revision_;
  if (aIsChanged) {
    aRow.isDepartureCommitted_ = false;
    aRow.changedAtRevision_ = revision_;
    changeRevision_ = revision_;
  }
}

void ServerDirectory::SetReceivedAt(ServerRecord& aRow,
                                    TimePoint aWarmupEndsAt,
                                    TimePoint aReceivedAt)
{
  aRow.lastAnnouncementAt_ = std::max(aRow.lastAnnouncementAt_, aReceivedAt);
  aRow.announcement_.warmupLeft_ = std::max(
    milliseconds(0),
    duration_cast<milliseconds>(aWarmupEndsAt - aRow.lastAnnouncementAt_));
}

void ServerDirectory::ReplaceContent(ServerRecord& aRow,
                                     const ServerAnnouncement& aAnnouncement)
{
  digest_ ^= ContentHash(aRow.announcement_) ^ ContentHash(aAnnouncement);
  aRow.announcement_ = aAnnouncement;
}

} // namespace foxtail
