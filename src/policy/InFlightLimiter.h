#ifndef POLICY_INFLIGHTLIMITER_H
#define POLICY_INFLIGHTLIMITER_H

#include "core/JsonReader.h"
#include "core/Time.h"

namespace foxtail {

struct InFlightLimiterSettings
{
  /// Largest limit of all instances together, as a multiple of the server's
  /// slots. Each may use the slots alone in any case, as the others may be
  /// idle.
  double maxPerSlot_ = 3;
  /// First limit, as a multiple of this instance's share of the slots.
  double initialPerShare_ = 2;
  /// Growth of the limit for each limit's worth of replies while it binds.
  double growth_ = 0.2;
  /// Factor on the limit when the server sheds.
  double shedFactor_ = 0.6;
  /// Factor on the limit when latency has grown.
  double slowFactor_ = 0.85;
  /// Multiple of the server's usual latency that counts as grown.
  double slowRatio_ = 3;
  /// Shortest time between two decreases, at least one usual latency.
  milliseconds decreasePause_{ 20 };

  static InFlightLimiterSettings Read(JsonReader& aReader);
};

/// Limit of one instance's attempts in flight at one backend server. Grows by
/// a constant for each limit's worth of replies while it binds, shrinks by a
/// factor when the server sheds or slows down. Pure. Not thread safe.
class InFlightLimiter
{
public:
  InFlightLimiter(InFlightLimiterSettings aSettings,
                  uint32_t aSlots,
                  uint32_t aInstances);

  /// @return the limit, at least 1.
  uint32_t Limit() const { return static_cast<uint32_t>(limit_); }

  /// Counts a whole reply.
  ///
  /// @param aInFlight attempts in flight there when this one was sent, itself
  /// included.
  void OnReply(Duration aLatency, uint32_t aInFlight, TimePoint aNow);

  /// Counts a refusal by an overloaded server.
  ///
  /// @param aInFlight attempts in flight there without the refused one: what
  /// the server would take.
  void OnShed(uint32_t aInFlight, TimePoint aNow);

  /// Takes over another number of slots or of live entry instances.
  void Configure(uint32_t aSlots, uint32_t aInstances);

  /// @return the time of the last shed; the epoch when there was none.
  TimePoint LastShed() const { return lastShed_; }

private:
  void Decrease(double aFactor, TimePoint aNow);
  double Max() const;

  InFlightLimiterSettings settings_;
  uint32_t slots_;
  uint32_t instances_;
  double limit_ = 1;
  /// Moving averages of the latency, in ms: recent and usual.
  double recentMs_ = 0;
  double baselineMs_ = 0;
  TimePoint lastDecrease_{};
  TimePoint lastShed_{};
};

} // namespace foxtail

#endif // POLICY_INFLIGHTLIMITER_H
