#include "allowance/HeldPermits.h"

#include <algorithm>
#include <cmath>

namespace foxtail {
namespace {

/// Names that were not used for this long are removed.
constexpr seconds kUnusedTime{ 10 };
/// Interval of the search for them, which visits every name.
constexpr seconds kCleanInterval{ 5 };
/// Share of the expected demand that is asked for in advance. Permits that are
/// not used in time are lost to the team, so it is well below 1.
constexpr double kAdvanceShare = 0.5;
/// Largest number of permits that one message asks for. It bounds the memory of
/// held permits.
constexpr double kMaxAsk = 1024;

} // namespace

HeldPermits::HeldPermits(AllowanceSettings aSettings)
  : settings_(aSettings)
{
}

HeldPermits::Row& HeldPermits::RowOf(const std::string& aName, TimePoint aNow)
{
  RemoveUnused(aNow);
  Row& row = rows_[aName];
  row.usedAt_ = aNow;
  RemoveExpired(row, aNow);
  return row;
}

void HeldPermits::RemoveExpired(Row& aRow, TimePoint aNow)
{
  expired_ += std::erase_if(aRow.permits_, [&](const Permit& aPermit) {
    return aPermit.expiresAt_ <= aNow;
  });
}

void HeldPermits::RemoveUnused(TimePoint aNow)
{
  if (aNow - cleanedAt_ < kCleanInterval) {
    return;
  }
  cleanedAt_ = aNow;
  for (auto row = rows_.begin(); row != rows_.end();) {
    RemoveExpired(row->second, aNow);
    const bool isUnused = aNow - row->second.usedAt_ >= kUnusedTime &&
                          row->second.refusedUntil_ <= aNow;
    row = isUnused ? rows_.erase(row) : std::next(row);
  }
}

TimePoint HeldPermits::RefusedUntil(const std::string& aName) const
{
  const auto found = rows_.find(aName);
  return found == rows_.end() ? TimePoint{} : found->second.refusedUntil_;
}

PermitDecision HeldPermits::Take(const std::string& aName, TimePoint aNow)
{
  Row& row = RowOf(aName, aNow);
  if (!row.permits_.empty()) {
    const Permit permit = row.permits_.front();
    row.permits_.erase(row.permits_.begin());
    row.demand_.Add(1, settings_.demandTime_, aNow);
    ++row.unreported_;
    return permit;
  }
  if (row.refusedUntil_ > aNow) {
    return PermitRefused{ row.refusedUntil_ };
  }
  row.demand_.Add(1, settings_.demandTime_, aNow);
  ++row.unreported_;
  return PermitMissing{};
}

std::optional<Permit> HeldPermits::TakeForWaiting(const std::string& aName,
                                                  TimePoint aNow)
{
  Row& row = RowOf(aName, aNow);
  if (row.permits_.empty()) {
    return std::nullopt;
  }
  const Permit permit = row.permits_.front();
  row.permits_.erase(row.permits_.begin());
  return permit;
}

void HeldPermits::Return(const std::string& aName,
                         Permit aPermit,
                         TimePoint aNow)
{
  Row& row = RowOf(aName, aNow);
  if (aPermit.expiresAt_ <= aNow) {
    ++expired_;
    return;
  }
  row.permits_.insert(
    std::upper_bound(row.permits_.begin(),
                     row.permits_.end(),
                     aPermit,
                     [](const Permit& aLeft, const Permit& aRight) {
                       return aLeft.expiresAt_ < aRight.expiresAt_;
                     }),
    aPermit);
}

AllowanceAsk HeldPermits::MakeAsk(const std::string& aName,
                                  size_t aWaiting,
                                  TimePoint aNow)
{
  Row& row = RowOf(aName, aNow);
  const double expected =
    row.demand_.PerSecond(settings_.demandTime_, aNow) *
    std::chrono::duration<double>(settings_.EntryLifetime()).count();
  const double amount =
    static_cast<double>(aWaiting) + std::floor(expected * kAdvanceShare);
  return { aName,
           std::min(amount, kMaxAsk),
           std::exchange(row.unreported_, 0.0) };
}

void HeldPermits::OnGrant(const AllowanceGrant& aGrant,
                          TimePoint aAskedAt,
                          TimePoint aNow)
{
  Row& row = RowOf(aGrant.name_, aNow);
  const TimePoint expiresAt = aAskedAt + settings_.EntryLifetime();
  const Permit permit{ expiresAt, expiresAt + settings_.SendMargin() };
  const auto count =
    static_cast<size_t>(std::floor(std::min(aGrant.amount_, kMaxAsk)));
  if (permit.expiresAt_ <= aNow) {
    expired_ += count;
  } else {
    for (size_t i = 0; i < count; ++i) {
      Return(aGrant.name_, permit, aNow);
    }
  }
  if (aGrant.outcome_ == AllowanceOutcome::Refused) {
    row.refusedUntil_ = aNow + std::clamp(aGrant.expectedIn_,
                                          settings_.minRefusal_,
                                          settings_.maxRefusal_);
  }
}

} // namespace foxtail
