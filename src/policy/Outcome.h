#ifndef POLICY_OUTCOME_H
#define POLICY_OUTCOME_H

#include "core/EnumTable.h"

#include <cstdint>

namespace foxtail {

/// What a caller is told about whether its request was run.
enum class Outcome
{
  /// No backend server ran any part of it: safe to resend.
  NotRun,
  /// It was run, and the result is in the answer.
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

/// Proof of how far one request has come. "Not run" can be said only while
/// nothing was written, or when each attempt that was written came back with
/// the backend server's own word that it did not run it. One request's, from
/// one thread.
class OutcomeTracker
{
public:
  /// Call before the first byte of an attempt is written.
  void OnWriteStarted() { ++written_; }
  /// Call when a backend server refused a written attempt unrun.
  void OnRefusedNotRun() { ++refused_; }
  /// Call when a whole, matching reply arrived.
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
