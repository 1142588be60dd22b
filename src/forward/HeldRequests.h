#ifndef FORWARD_HELDREQUESTS_H
#define FORWARD_HELDREQUESTS_H

#include "forward/Exchange.h"
#include "forward/PendingRequest.h"

#include <functional>
#include <vector>

namespace foxtail {

/// A request that waits until a starting instance can serve it. After its
/// release it passes the caller's disconnect on to the request handler. Not
/// thread-safe.
class HeldRequest final : public PendingRequest
{
public:
  /// Begins the request and returns its handler, or null when it was answered
  /// from within the call.
  using BeginCallback =
    std::function<std::shared_ptr<PendingRequest>(ForwardRequest, TimePoint)>;

  HeldRequest(ForwardRequest aRequest, TimePoint aUntil, BeginCallback aBegin);

  void OnCallerDisconnected(TimePoint aNow) override;
  void LimitAnswerTime(TimePoint aAnswerBy, TimePoint aNow) override;

  const ForwardRequest& Request() const { return request_; }
  TimePoint Until() const { return until_; }
  bool IsAbandoned() const { return isAbandoned_; }
  /// Begins the request. Called once, and not after the caller disconnected.
  void Release(TimePoint aNow);

private:
  ForwardRequest request_;
  TimePoint until_;
  BeginCallback begin_;
  std::shared_ptr<PendingRequest> handler_;
  bool isAbandoned_ = false;
};

/// The requests that a starting instance holds. They are released one after the
/// other: released together, the requests of a whole second would delay those
/// that arrive meanwhile, which can still be answered in time. Not thread-safe.
class HeldRequests
{
public:
  /// @return null when too many requests are held already.
  std::shared_ptr<PendingRequest> Hold(ForwardRequest aRequest,
                                       TimePoint aUntil,
                                       HeldRequest::BeginCallback aBegin);

  /// Begins requests that can be served by now, the one with the earliest
  /// deadline first, and all those whose time is over, which are then refused.
  void ReleaseDue(const std::function<bool(const ForwardRequest&)>& aCanServe,
                  TimePoint aNow);

private:
  std::vector<std::shared_ptr<HeldRequest>> held_;
  /// When the next request may be released.
  TimePoint nextReleaseAt_{};
};

} // namespace foxtail

#endif // FORWARD_HELDREQUESTS_H
