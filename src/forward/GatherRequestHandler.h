#ifndef FORWARD_GATHERREQUESTHANDLER_H
#define FORWARD_GATHERREQUESTHANDLER_H

#include "forward/RequestHandler.h"
#include "policy/GatherPolicy.h"

namespace foxtail {

/// Handles a scatter-gather query: sends it to one backend server of each shard
/// and answers with the greatest records of the parts received. All shards are
/// those of the document version that was in force when the query began.
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
    /// No attempt is left that could provide the part.
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
  GatherProgress Progress(TimePoint aNow) const;
  /// @return the estimated size of the merged answer.
  size_t AnswerBytes() const;
  /// @return whether more parts are needed for a successful answer.
  bool NeedsMoreParts() const;
  ForwardAnswer MergeParts() const;

  const GatherTarget& target_;
  /// One element per shard, in the order of GatherTarget::shards_.
  std::vector<ServiceAttempts> attempts_;
  std::vector<Part> parts_;
  uint32_t included_ = 0;
  uint32_t missing_ = 0;
};

} // namespace foxtail

#endif // FORWARD_GATHERREQUESTHANDLER_H
