#ifndef POLICY_OUTCOME_H
#define POLICY_OUTCOME_H

#include "core/EnumTable.h"

#include <cstdint>

namespace foxtail {

/// Whether a request was run, as reported to its caller.
enum class Outcome
{
  /// No backend server ran any part of it: safe to send again.
  NotRun,
  /// It was run, and the answer contains the result.
  Run,
  /// It may have been run.
  Unknown,
};

template<>
struct EnumTable<Outcome>
{
  static constexpr std::array<EnumName<Outcome>, 3> kRows{ {
    { Outcome::NotRun, "not_run" },
    { Outcome::Run, "run" },
    { Outcome::Unknown, "unknown" },
  } };
};

/// Derives the Outcome of one request from its attempts. The outcome is NotRun
/// only while nothing was written, or if the backend server refused every
/// attempt that was written and reported it as not run. Used by one thread.
class OutcomeTracker
{
public:
  /// Call before the first byte of an attempt is written.
  void OnWriteStarted() { ++written_; }
  /// Call when a backend server refused a written attempt without running it.
  void OnRefusedNotRun() { ++refused_; }
  /// Call when a complete reply that matches its request arrived.
  void OnRun() { isRun_ = true; }

  Outcome Get() const
  {
    if (isRun_) {
      return Outcome::Run;
    }
    return written_ == refused_ ? Outcome::NotRun : Outcome::Unknown;
  }

private:
  uint32_t written_ = 0;
  uint32_t refused_ = 0;
  bool isRun_ = false;
};

} // namespace foxtail

#endif // POLICY_OUTCOME_H
