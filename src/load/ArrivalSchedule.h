#ifndef LOAD_ARRIVALSCHEDULE_H
#define LOAD_ARRIVALSCHEDULE_H

#include "core/EnumTable.h"
#include "core/RandomSource.h"
#include "core/Time.h"

#include <absl/status/statusor.h>
#include <optional>
#include <string_view>
#include <vector>

namespace foxtail {

enum class ArrivalKind
{
  Poisson,
  Fixed,
};

template<>
struct EnumTable<ArrivalKind>
{
  static constexpr std::array<EnumName<ArrivalKind>, 2> kRows{ {
    { ArrivalKind::Poisson, "poisson" },
    { ArrivalKind::Fixed, "fixed" },
  } };
};

/// A stretch of a run with one rate of arrivals.
struct LoadStep
{
  double requestsPerSecond_ = 0;
  Duration length_{};
};

/// Parses steps such as "500:5,1000:2.5": requests/s, then seconds.
///
/// @return InvalidSettings, with an example.
absl::StatusOr<std::vector<LoadStep>> ParseLoadSteps(std::string_view aText);

/// Gives the intended times of an open loop's arrivals, whatever becomes of
/// earlier requests. Not thread safe.
class ArrivalSchedule
{
public:
  /// @param aShare part of each step's rate that this schedule gives.
  ArrivalSchedule(std::vector<LoadStep> aSteps,
                  ArrivalKind aKind,
                  double aShare,
                  uint64_t aSeed);

  /// @return the next arrival, as time since the start; nothing after the last
  /// step.
  std::optional<Duration> Next();

  /// @return the step in which the last arrival fell.
  size_t Step() const { return step_; }

private:
  Duration DrawInterval();

  std::vector<LoadStep> steps_;
  ArrivalKind kind_;
  double share_;
  RandomSource random_;
  size_t step_ = 0;
  Duration stepStart_{};
  Duration last_{};
};

} // namespace foxtail

#endif // LOAD_ARRIVALSCHEDULE_H
