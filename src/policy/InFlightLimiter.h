#ifndef POLICY_INFLIGHTLIMITER_H
#define POLICY_INFLIGHTLIMITER_H

#include "core/JsonReader.h"
#include "core/Time.h"

namespace foxtail {

struct InFlightLimiterSettings
{
  /// Largest limit of all instances together, as a multiple of the server's
  /// slots. Each instance may use all slots in any case, since the others may
  /// be idle.
  double maxPerSlot_ = 3;
  /// Initial limit, as a multiple of this instance's share of the slots.
  double initialPerShare_ = 2;
  /// Growth of the limit per limit's worth of replies while the limit is
  /// reached.
  double growth_ = 0.2;
  /// Factor applied to the limit when the server sheds.
  double shedFactor_ = 0.6;
  /// Factor applied to the limit when the latency has increased.
  double slowFactor_ = 0.85;
  /// Recent latency at which it counts as increased, as a multiple of the
  /// baseline.
  double slowRatio_ = 3;
  /// Shortest interval between two decreases; at least one baseline latency is
  /// waited in any case.
  milliseconds decreasePause_{ 20 };

  static InFlightLimiterSettings Read(JsonReader& aReader);
};

/// Limit of one instance's attempts in flight at one backend server. Grows by a
/// constant per limit's worth of replies while the limit is reached, and
/// shrinks by a factor when the server sheds or slows down. Does no I/O. Not
/// thread safe.
class InFlightLimiter
{
public:
  InFlightLimiter(InFlightLimiterSettings aSettings,
                  uint32_t aSlots,
                  uint32_t aInstances);

  /// @return the limit, at least 1.
  uint32_t Limit() const { return static_cast<uint32_t>(limit_); }

  /// Counts a complete reply.
  ///
  /// @param aInFlight attempts in flight at the server when this one was sent,
  /// itself included.
  void OnReply(Duration aLatency, uint32_t aInFlight, TimePoint aNow);

  /// Counts a refusal by an overloaded server.
  ///
  /// @param aInFlight attempts in flight at the server without the refused one,
  /// which is the number that the server accepts.
  void OnShed(uint32_t aInFlight, TimePoint aNow);

  /// Applies a changed number of slots or of live entry instances.
  void Configure(uint32_t aSlots, uint32_t aInstances);

  /// @return the time of the last shed; the epoch if there was none.
  TimePoint LastShed() const { return lastShed_; }

private:
  void Decrease(double aFactor, TimePoint aNow);
  double Max() const;

  InFlightLimiterSettings settings_;
  uint32_t slots_;
  uint32_t instances_;
  double limit_ = 1;
  /// Moving averages of the latency, in ms: recent, and baseline without
  /// queueing.
  double recentMs_ = 0;
  double baselineMs_ = 0;
  TimePoint lastDecrease_{};
  TimePoint lastShed_{};
};

} // namespace foxtail

#endif // POLICY_INFLIGHTLIMITER_H
