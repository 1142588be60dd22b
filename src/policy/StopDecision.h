#ifndef POLICY_STOPDECISION_H
#define POLICY_STOPDECISION_H

#include "core/EnumTable.h"
#include "core/Time.h"

namespace foxtail {

enum class StopDecision
{
  Serve,
  /// Refused as not run: another instance can serve it whole.
  Refuse,
};

template<>
struct EnumTable<StopDecision>
{
  static constexpr std::array<EnumName<StopDecision>, 2> kRows{ {
    { StopDecision::Serve, "serve" },
    { StopDecision::Refuse, "refuse" },
  } };
};

/// A request that was read while the instance is stopping.
struct StoppingRequest
{
  /// Time by which the instance sends its last answers.
  TimePoint answerBy_{};
  /// Time by which the caller needs a final answer.
  TimePoint deadline_{};
  /// Time within which requests of the route are to be answered.
  Duration objective_{};
  /// High quantile of the route's latency; zero while it is not known.
  Duration usualLatency_{};
  /// Whether the caller may repeat the request after an unknown outcome.
  bool isIdempotent_ = true;
};

/// Decides whether a stopping instance serves a request. One that would
/// probably not be answered by the end of the stop is refused while that is
/// still proved not to have run; a request that must not be repeated needs
/// twice the time of another one, as its caller cannot recover from an unknown
/// outcome.
StopDecision DecideWhileStopping(const StoppingRequest& aRequest,
                                 TimePoint aNow);

} // namespace foxtail

#endif // POLICY_STOPDECISION_H
