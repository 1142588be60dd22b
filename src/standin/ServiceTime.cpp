#include "standin/ServiceTime.h"

#include <cmath>
#include <numbers>

namespace foxtail {
namespace {

// One draw from the standard normal distribution (Box-Muller).
double DrawNormal(RandomSource& aRandom)
{
  const double radius = std::sqrt(-2 * std::log(1 - aRandom.NextDouble()));
  return radius * std::cos(2 * std::numbers::pi * aRandom.NextDouble());
}

} // namespace

ServiceTimeSettings ServiceTimeSettings::Read(JsonReader& aReader)
{
  constexpr double kMaxMs = 600000;
  constexpr double kMaxSigma = 5;
  constexpr double kMaxFactor = 100000;
  ServiceTimeSettings settings;
  settings.kind_ = aReader.Enum("kind", settings.kind_);
  settings.medianMs_ =
    aReader.Number("median_ms", settings.medianMs_, 0, kMaxMs);
  settings.sigma_ = aReader.Number("sigma", settings.sigma_, 0, kMaxSigma);
  settings.stragglerFraction_ =
    aReader.Number("straggler_fraction", settings.stragglerFraction_, 0, 1);
  settings.stragglerFactor_ = aReader.Number(
    "straggler_factor", settings.stragglerFactor_, 0, kMaxFactor);
  return settings;
}

Duration DrawServiceTime(const ServiceTimeSettings& aSettings,
                         RandomSource& aRandom)
{
  double ms = aSettings.medianMs_;
  if (ms <= 0) {
    return Duration::zero();
  }
  if (aSettings.kind_ == ServiceTimeKind::Lognormal) {
    ms *= std::exp(aSettings.sigma_ * DrawNormal(aRandom));
  }
  if (aRandom.Chance(aSettings.stragglerFraction_)) {
    ms *= aSettings.stragglerFactor_;
  }
  return duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
}

} // namespace foxtail
