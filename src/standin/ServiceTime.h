#ifndef STANDIN_SERVICETIME_H
#define STANDIN_SERVICETIME_H

#include "core/EnumTable.h"
#include "core/JsonReader.h"
#include "core/RandomSource.h"
#include "core/Time.h"

namespace foxtail {

enum class ServiceTimeKind
{
  Fixed,
  Lognormal,
};

template<>
struct EnumTable<ServiceTimeKind>
{
  static constexpr std::array<EnumName<ServiceTimeKind>, 2> kRows{ {
    { ServiceTimeKind::Fixed, "fixed" },
    { ServiceTimeKind::Lognormal, "lognormal" },
  } };
};

/// Distribution of the time that one request takes in a slot.
struct ServiceTimeSettings
{
  ServiceTimeKind kind_ = ServiceTimeKind::Fixed;
  /// Median in milliseconds; 0 answers at once.
  double medianMs_ = 0;
  /// Standard deviation of the logarithm, for Lognormal.
  double sigma_ = 0.3;
  /// Fraction of requests that take stragglerFactor_ times as long.
  double stragglerFraction_ = 0;
  double stragglerFactor_ = 20;

  static ServiceTimeSettings Read(JsonReader& aReader);
};

/// Draws one service time.
Duration DrawServiceTime(const ServiceTimeSettings& aSettings,
                         RandomSource& aRandom);

} // namespace foxtail

#endif // STANDIN_SERVICETIME_H
