#ifndef POLICY_RATELIMITSHARE_H
#define POLICY_RATELIMITSHARE_H

#include "core/Time.h"

#include <cstdint>

namespace foxtail {

struct RateLimitShareSettings
{
  /// How long a permit may be used after it is due. It bounds the burst after
  /// an idle time: instances together send at most what the limit allows in
  /// this time beyond the limit.
  milliseconds permitLifetime_{ 1000 };
  /// Requests per second that are sent by all instances together to a server
  /// that states a lower limit: only a reply shows that a limit has ended.
  double minPerSecond_ = 0.25;
};

/// This instance's share of the rate at which a backend server accepts requests
/// from all instances together. The share is a sequence of permits, one for
/// each request, at an interval of the number of instances divided by the
/// limit. Their phase is random, so that many instances with one permit each in
/// many seconds do not send at the same time. If each instance keeps to its
/// share, all of them together keep to the limit without exchanging messages.
/// Not thread safe.
class RateLimitShare
{
public:
  explicit RateLimitShare(RateLimitShareSettings aSettings = {});

  /// Sets the server's limit.
  ///
  /// @param aPerSecond requests per second from all instances, at least 0.
  /// @param aPhase random number in [0, 1), the part of an interval until the
  /// first permit; used when no limit was set.
  void SetLimit(double aPerSecond, double aPhase, TimePoint aNow);
  void Clear() { isLimited_ = false; }
  /// @param aInstances instances that share the limit, at least 1.
  void SetInstances(uint32_t aInstances, TimePoint aNow);

  bool IsLimited() const { return isLimited_; }
  /// @return requests per second that this instance may send; meaningful only
  /// while limited.
  double SharePerSecond() const;
  /// @return when the next permit may be used: @p aNow when one is due or there
  /// is no limit.
  TimePoint NextPermitAt(TimePoint aNow) const;
  /// Uses the next permit. One that is not due yet is reserved: its request is
  /// sent at NextPermitAt().
  void TakePermit(TimePoint aNow);

private:
  /// @return the next permit that has not expired.
  TimePoint NextUnexpired(TimePoint aNow) const;
  void SetInterval(Duration aInterval, TimePoint aNow);
  Duration IntervalOf(double aPerSecond, uint32_t aInstances) const;

  RateLimitShareSettings settings_;
  bool isLimited_ = false;
  double perSecond_ = 0;
  uint32_t instances_ = 1;
  Duration interval_{ 1 };
  TimePoint nextPermitAt_{};
};

} // namespace foxtail

#endif // POLICY_RATELIMITSHARE_H
