#include "allowance/AllowanceAccount.h"

#include <algorithm>
#include <cmath>

namespace foxtail {
namespace {

double InSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/// Moves that expire this close together are kept as one, at the earlier
/// expiry, which bounds the memory of an account.
constexpr milliseconds kExpiryResolution{ 10 };

} // namespace

void RecentDemand::Add(double aAmount, Duration aTimeConstant, TimePoint aNow)
{
  perSecond_ =
    PerSecond(aTimeConstant, aNow) + aAmount / InSeconds(aTimeConstant);
  updatedAt_ = std::max(updatedAt_, aNow);
}

double RecentDemand::PerSecond(Duration aTimeConstant, TimePoint aNow) const
{
  const double age = InSeconds(std::max(aNow, updatedAt_) - updatedAt_) /
                     InSeconds(aTimeConstant);
  return perSecond_ * std::exp(-age);
}

AllowanceAccount::AllowanceAccount(const AllowanceSettings& aSettings,
                                   const AllowanceLimit& aLimit,
                                   size_t aInstances,
                                   TimePoint aNow)
  : updatedAt_(aNow)
{
  constexpr double kInitialSlackShare = 0.25;
  SetLimit(aSettings, aLimit, aInstances, aNow);
  own_ = std::min(cap_,
                  kInitialSlackShare * aSettings.slack_ /
                    static_cast<double>(aInstances));
}

void AllowanceAccount::SetLimit(const AllowanceSettings& aSettings,
                                const AllowanceLimit& aLimit,
                                size_t aInstances,
                                TimePoint aNow)
{
  constexpr double kCapSlackShare = 0.5;
  Update(aNow);
  const auto instances = static_cast<double>(aInstances);
  perSecond_ = aLimit.perSecond_ / instances;
  cap_ = ((1 + aSettings.overage_) * aLimit.burst_ +
          kCapSlackShare * aSettings.slack_) /
         instances;
  own_ = std::min(own_, cap_);
}

void AllowanceAccount::Update(TimePoint aNow)
{
  if (aNow > updatedAt_) {
    own_ = std::min(cap_, own_ + perSecond_ * InSeconds(aNow - updatedAt_));
    updatedAt_ = aNow;
  }
  std::erase_if(moved_, [&](const Moved& aMoved) {
    const bool isExpired = aMoved.expiresAt_ <= aNow;
    expired_ += isExpired ? aMoved.amount_ : 0;
    return isExpired;
  });
}

double AllowanceAccount::Own(TimePoint aNow)
{
  Update(aNow);
  return own_;
}

double AllowanceAccount::Available(TimePoint aNow)
{
  Update(aNow);
  double sum = own_;
  for (const Moved& moved : moved_) {
    sum += moved.amount_;
  }
  return sum;
}

double AllowanceAccount::Take(double aAmount, TimePoint aNow)
{
  Update(aNow);
  double left = aAmount;
  for (Moved& moved : moved_) {
    const double taken = std::min(left, moved.amount_);
    moved.amount_ -= taken;
    left -= taken;
  }
  std::erase_if(moved_,
                [](const Moved& aMoved) { return aMoved.amount_ <= 0; });
  return aAmount - left + MoveOut(left, aNow);
}

double AllowanceAccount::MoveOut(double aAmount, TimePoint aNow)
{
  Update(aNow);
  const double taken = std::clamp(aAmount, 0.0, own_);
  own_ -= taken;
  return taken;
}

void AllowanceAccount::MoveIn(double aAmount,
                              TimePoint aExpiresAt,
                              TimePoint aNow)
{
  Update(aNow);
  if (aAmount <= 0) {
    return;
  }
  if (aExpiresAt <= aNow) {
    expired_ += aAmount;
    return;
  }
  const auto next = std::lower_bound(moved_.begin(),
                                     moved_.end(),
                                     aExpiresAt,
                                     [](const Moved& aMoved, TimePoint aTime) {
                                       return aMoved.expiresAt_ < aTime;
                                     });
  if (next != moved_.begin() &&
      aExpiresAt - std::prev(next)->expiresAt_ < kExpiryResolution) {
    std::prev(next)->amount_ += aAmount;
    return;
  }
  moved_.insert(next, { aAmount, aExpiresAt });
}

} // namespace foxtail
