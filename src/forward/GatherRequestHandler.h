#ifndef FORWARD_GATHERREQUESTHANDLER_H
#define FORWARD_GATHERREQUESTHANDLER_H

#include "forward/RequestHandler.h"
#include "policy/GatherPolicy.h"

namespace foxtail {

/// A query to one backend server of each shard, answered with the greatest
/// records of the parts that came. All shards are those of one document
/// version: the one under which the query began.
class GatherRequestHandler final : public RequestHandler
{
public:
  GatherRequestHandler(RequestHandlerContext& aContext,
                       std::shared_ptr<const RouteTable> aTable,
                       const Route& aRoute,
                       const GatherTarget& aTarget,
                       RouteStats& aStats,
                       std::shared_ptr<const ForwardRequest> aRequest,
                       CompletionCallback aOnComplete);

  void Start(TimePoint aNow) override;
  void OnExchangeEnd(Exchange& aExchange, TimePoint aNow) override;

private:
  enum class PartState
  {
    Pending,
    Included,
    Missing,
  };
  struct Part
  {
    PartState state_ = PartState::Pending;
    std::string signature_;
    std::string records_;
  };

  void HandleTimer(TimePoint aNow) override;
  TimePoint NextTimerAt(TimePoint aNow) const override;
  std::span<ServiceAttempts> AllAttempts() override { return attempts_; }

  void SetPartState(uint32_t aShard, PartState aState, TimePoint aNow);
  void EvaluateProgress(TimePoint aNow);
  GatherProgress Progress() const;
  /// @return whether more parts are needed for a success.
  bool NeedsMoreParts() const;
  ForwardAnswer MergeParts() const;

  const GatherTarget& target_;
  /// One a shard, in the order of the target.
  std::vector<ServiceAttempts> attempts_;
  std::vector<Part> parts_;
  TimePoint objectiveAt_;
  uint32_t included_ = 0;
  uint32_t missing_ = 0;
};

} // namespace foxtail

#endif // FORWARD_GATHERREQUESTHANDLER_H
