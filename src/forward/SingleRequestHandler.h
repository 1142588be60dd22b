#ifndef FORWARD_SINGLEREQUESTHANDLER_H
#define FORWARD_SINGLEREQUESTHANDLER_H

#include "forward/RequestHandler.h"

namespace foxtail {

/// Handles a request to one service and forwards the reply of one backend
/// server unchanged.
class SingleRequestHandler final : public RequestHandler
{
public:
  /// @param aService the route's service, or the one selected from its split.
  SingleRequestHandler(RequestHandlerContext& aContext,
                       std::shared_ptr<const RouteTable> aTable,
                       const Route& aRoute,
                       RouteStats& aStats,
                       ServiceName aService,
                       std::shared_ptr<const ForwardRequest> aRequest,
                       CompletionCallback aOnComplete);

  void Start(TimePoint aNow) override;
  void OnExchangeEnd(Exchange& aExchange, TimePoint aNow) override;

private:
  void HandleTimer(TimePoint aNow) override;
  TimePoint NextTimerAt(TimePoint aNow) const override;
  std::span<ServiceAttempts> AllAttempts() override
  {
    return { &attempts_, 1 };
  }

  /// @return the answer to a request that no server may receive in time.
  ForwardAnswer RefuseUnsent(TimePoint aNow) const;
  void OnReply(Exchange& aExchange, TimePoint aNow);
  ForwardAnswer ForwardServerReply(ForwardReply aReply) const;

  ServiceAttempts attempts_;
  /// A server's 5xx reply, forwarded when no other attempt succeeds.
  std::optional<ForwardReply> serverFailure_;
};

} // namespace foxtail

#endif // FORWARD_SINGLEREQUESTHANDLER_H
