#ifndef POLICY_CRASHDETECTOR_H
#define POLICY_CRASHDETECTOR_H

#include "core/Ids.h"
#include "core/Time.h"

#include <cstddef>
#include <string>
#include <vector>

namespace foxtail {

/// Identifies a request by its content, so that another request with the same
/// content can be recognised at any instance.
using RequestFingerprint = StrongId<struct RequestFingerprintTag, uint64_t>;

/// @return the fingerprint as it stands in log lines, 16 hexadecimal digits.
std::string ToHex(RequestFingerprint aFingerprint);

struct CrashDetectorSettings
{
  /// How long after a request was left unanswered a refused connection shows
  /// that the server crashed under it.
  milliseconds confirmWithin_{ 2000 };
  /// How long after a request was left unanswered the ends of the server's
  /// other connections may still arrive.
  milliseconds settleTime_{ 20 };
  /// Requests that are kept until they are confirmed.
  size_t maxRequests_ = 64;
};

/// A request whose connection ended without a reply.
struct UnansweredRequest
{
  RequestFingerprint request_;
  TimePoint sentAt_{};
  TimePoint endedAt_{};
  /// Whether the server was alive when the request reached it: one that is not
  /// ends the connection within a round trip.
  bool hasReachedServer_ = true;
};

/// Distinguishes a crash of a backend server from a lost connection: after a
/// crash the server's port refuses connections. Not thread safe.
class CrashDetector
{
public:
  explicit CrashDetector(CrashDetectorSettings aSettings = {});

  void OnUnanswered(const UnansweredRequest& aRequest, TimePoint aNow);
  /// A connection to the server is open, so it has not crashed.
  void OnAlive() { requests_.clear(); }
  /// @return the requests under which the server crashed.
  std::vector<UnansweredRequest> OnConnectRefused(TimePoint aNow);
  /// @return whether a connection attempt would show if the server crashed.
  bool IsUndecided(TimePoint aNow) const;
  /// @return whether the ends of the server's other connections have arrived if
  /// it crashed.
  bool IsSettled(TimePoint aNow) const
  {
    return aNow - lastUnansweredAt_ >= settings_.settleTime_;
  }

private:
  CrashDetectorSettings settings_;
  std::vector<UnansweredRequest> requests_;
  TimePoint lastUnansweredAt_{};
};

} // namespace foxtail

#endif // POLICY_CRASHDETECTOR_H
