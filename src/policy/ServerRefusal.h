#ifndef POLICY_SERVERREFUSAL_H
#define POLICY_SERVERREFUSAL_H

#include "core/Time.h"

namespace foxtail {

struct ServerRefusalSettings
{
  /// Interval of requests after the stated time until one is accepted. A server
  /// that refuses for good would otherwise get, at each end of its time, all
  /// requests that arrive before its next refusal.
  milliseconds probeInterval_{ 250 };
};

/// Time for which a backend server accepts no requests from this instance, as
/// it states with a refusal. After that time one request at a time is sent
/// until one is accepted. Not thread safe.
class ServerRefusal
{
public:
  explicit ServerRefusal(ServerRefusalSettings aSettings = {})
    : settings_(aSettings)
  {
  }

  /// Counts a refusal. One that ends earlier than the time already stated does
  /// not shorten it, as the replies of several requests may overtake each
  /// other.
  ///
  /// @return whether the server was accepting requests before.
  bool OnRefused(Duration aFor, TimePoint aNow);
  /// Counts a reply that is no refusal. One to a request that was sent before
  /// the end of the stated time shows nothing about the time after it.
  ///
  /// @return whether it ends the probing.
  bool OnAccepted(TimePoint aSentAt);
  /// Counts a request that is sent at NextSendAt().
  void OnSend(TimePoint aNow);

  /// @return when the next request may be sent; @p aNow when now.
  TimePoint NextSendAt(TimePoint aNow) const;
  bool IsRefusing(TimePoint aNow) const { return aNow < until_; }
  /// @return the end of the stated time.
  TimePoint Until() const { return until_; }

private:
  ServerRefusalSettings settings_;
  TimePoint until_{};
  TimePoint nextProbeAt_{};
  bool isProbing_ = false;
};

} // namespace foxtail

#endif // POLICY_SERVERREFUSAL_H
