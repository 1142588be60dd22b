#ifndef FORWARD_SINGLERUN_H
#define FORWARD_SINGLERUN_H

#include "forward/Run.h"

namespace foxtail {

/// A request to one backend server of one service, whose reply is passed on
/// unchanged.
class SingleRun final : public Run
{
public:
  /// @param aService the route's service, or the part of its split.
  SingleRun(RunContext& aContext,
            std::shared_ptr<const RouteTable> aTable,
            const Route& aRoute,
            RouteStats& aStats,
            ServiceName aService,
            std::shared_ptr<const ForwardRequest> aRequest,
            Done aDone);

  void Start(TimePoint aNow) override;
  void OnExchangeEnd(Exchange& aExchange, TimePoint aNow) override;

private:
  void OnWake(TimePoint aNow) override;
  TimePoint NextWake(TimePoint aNow) const override;
  std::span<Attempts> AllAttempts() override { return { &attempts_, 1 }; }

  void OnAnswer(Exchange& aExchange, TimePoint aNow);
  ForwardAnswer PassOn(ForwardReply aReply) const;

  Attempts attempts_;
  /// A server's failure, passed on when no other attempt does better.
  std::optional<ForwardReply> failure_;
};

} // namespace foxtail

#endif // FORWARD_SINGLERUN_H
