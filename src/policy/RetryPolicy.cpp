#include "policy/RetryPolicy.h"

#include <algorithm>

namespace foxtail {
namespace {

/// @return whether a retry may add load to servers that are short of capacity.
/// A server that was unreachable, is draining or lacks the version has spent no
/// work on the attempt.
bool CountsAgainstBudget(FailureKind aKind)
{
  switch (aKind) {
    case FailureKind::ConnectFailed:
    case FailureKind::RefusedDraining:
    case FailureKind::RefusedVersion:
      return false;
    default:
      return true;
  }
}

} // namespace

bool IsProvenNotRun(FailureKind aKind)
{
  switch (aKind) {
    case FailureKind::ConnectFailed:
    case FailureKind::RefusedOverloaded:
    case FailureKind::RefusedDraining:
    case FailureKind::RefusedVersion:
    case FailureKind::RefusedDeadline:
      return true;
    case FailureKind::ConnectionLost:
    case FailureKind::Timeout:
    case FailureKind::ServerError:
    case FailureKind::BadReply:
    case FailureKind::HedgeLost:
      break;
  }
  return false;
}

RetrySettings RetrySettings::Read(JsonReader& aReader)
{
  RetrySettings result;
  result.budgetPercent_ =
    aReader.Number("budget_percent", result.budgetPercent_, 0, 100);
  result.burst_ = aReader.Number("burst", result.burst_, 1, 10000);
  result.maxAttempts_ = static_cast<uint32_t>(
    aReader.Integer("max_attempts", result.maxAttempts_, 1, 16));
  result.backoff_ = aReader.Millis(
    "backoff_ms", result.backoff_, milliseconds(0), milliseconds(10000));
  result.maxBackoff_ = aReader.Millis(
    "max_backoff_ms", result.maxBackoff_, milliseconds(0), milliseconds(10000));
  return result;
}

RetryPolicy::RetryPolicy(RetrySettings aSettings)
  : settings_(aSettings)
  , budget_(aSettings.budgetPercent_, aSettings.burst_)
{
}

Duration RetryPolicy::RandomBackoff(uint32_t aAttempts,
                                    RandomSource& aRandom) const
{
  constexpr uint32_t kMaxDoublings = 16;
  if (aAttempts < 2) {
    return Duration::zero();
  }
  const uint32_t doublings = std::min(aAttempts - 2, kMaxDoublings);
  const double longest =
    std::min(static_cast<double>(settings_.maxBackoff_.count()),
             static_cast<double>(settings_.backoff_.count()) *
               static_cast<double>(1U << doublings));
  // A uniformly random part of the delay spreads the retries of many instances.
  const double us = aRandom.NextDouble() * longest * 1000;
  return microseconds(static_cast<int64_t>(us));
}

RetryDecision RetryPolicy::Decide(const RetryInput& aInput,
                                  RandomSource& aRandom)
{
  if (aInput.failure_ == FailureKind::HedgeLost) {
    return { RetryVerdict::NotNeeded, {} };
  }
  if (aInput.isAction_ && !IsProvenNotRun(aInput.failure_)) {
    return { RetryVerdict::Action, {} };
  }
  if (aInput.attempts_ >= settings_.maxAttempts_) {
    return { RetryVerdict::MaxAttempts, {} };
  }
  if (!aInput.hasUntriedReplica_) {
    return { RetryVerdict::NoOtherReplica, {} };
  }
  const Duration delay = RandomBackoff(aInput.attempts_, aRandom);
  if (aInput.timeLeft_ <= delay + aInput.typicalLatency_) {
    return { RetryVerdict::NoTime, {} };
  }
  if (CountsAgainstBudget(aInput.failure_) && !budget_.TryTake()) {
    return { RetryVerdict::NoBudget, {} };
  }
  return { RetryVerdict::Retry, delay };
}

void RetryPolicy::Configure(const RetrySettings& aSettings)
{
  settings_ = aSettings;
  budget_.Configure(aSettings.budgetPercent_, aSettings.burst_);
}

} // namespace foxtail
