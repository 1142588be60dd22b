#include "load/ArrivalSchedule.h"

#include "core/Error.h"

#include <cmath>
#include <cstdlib>
#include <string>

namespace foxtail {
namespace {

constexpr double kMaxRate = 1000000;
constexpr double kMaxSeconds = 86400;

absl::Status StepFault(std::string_view aText)
{
  return MakeError(ErrorKind::InvalidSettings,
                   "\"" + std::string(aText) +
                     "\" is no list of steps; give requests/s and seconds, "
                     "such as 500:5,1000:2.5");
}

bool ParsePositive(const std::string& aText, double aMax, double& aNumber)
{
  char* end = nullptr;
  aNumber = std::strtod(aText.c_str(), &end);
  return !aText.empty() && *end == '\0' && aNumber > 0 && aNumber <= aMax;
}

Duration FromSeconds(double aSeconds)
{
  return duration_cast<Duration>(std::chrono::duration<double>(aSeconds));
}

} // namespace

absl::StatusOr<std::vector<LoadStep>> ParseLoadSteps(std::string_view aText)
{
  std::vector<LoadStep> steps;
  std::string_view rest = aText;
  while (!rest.empty()) {
    const size_t comma = rest.find(',');
    const std::string_view row = rest.substr(0, comma);
    rest = comma == std::string_view::npos ? "" : rest.substr(comma + 1);
    const size_t colon = row.find(':');
    if (colon == std::string_view::npos) {
      return StepFault(aText);
    }
    double rate = 0;
    double length = 0;
    if (!ParsePositive(std::string(row.substr(0, colon)), kMaxRate, rate) ||
        !ParsePositive(
          std::string(row.substr(colon + 1)), kMaxSeconds, length)) {
      return StepFault(aText);
    }
    steps.push_back({ rate, FromSeconds(length) });
  }
  if (steps.empty()) {
    return StepFault(aText);
  }
  return steps;
}

ArrivalSchedule::ArrivalSchedule(std::vector<LoadStep> aSteps,
                                 ArrivalKind aKind,
                                 double aShare,
                                 uint64_t aSeed)
  : steps_(std::move(aSteps))
  , kind_(aKind)
  , share_(aShare)
  , random_(aSeed)
{
}

Duration ArrivalSchedule::DrawInterval()
{
  const double mean = 1 / (steps_[step_].requestsPerSecond_ * share_);
  if (kind_ == ArrivalKind::Fixed) {
    return FromSeconds(mean);
  }
  return FromSeconds(-mean * std::log(1 - random_.NextDouble()));
}

std::optional<Duration> ArrivalSchedule::Next()
{
  while (step_ < steps_.size()) {
    const Duration next = last_ + DrawInterval();
    const Duration end = stepStart_ + steps_[step_].length_;
    if (next < end) {
      last_ = next;
      return next;
    }
    // Arrivals have no memory: the next step begins afresh.
    last_ = end;
    stepStart_ = end;
    ++step_;
  }
  return std::nullopt;
}

} // namespace foxtail
