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

  /// Called before the first attempt, so that no shard's rate is spent on a
  /// query that cannot succeed.
  ///
  /// @return the answer to a query for which too few shards have a server that
  /// accepts it by @p aLatestSendAt, or nothing.
  std::optional<ForwardAnswer> RefusalBefore(TimePoint aLatestSendAt,
                                             TimePoint aNow) const;
  /// @return whether servers may be crashing because of this query: they have
  /// before, or several have ended a connection without a reply, and none has
  /// replied.
  bool MayCrashServers() const
  {
    return !Request().hasReply_ &&
           (isSuspect_ || unanswered_ > kMaxUnansweredRetried);
  }
  /// Sends the query to another server of a shard after an attempt has failed,
  /// now or later, or gives the shard up.
  void SendToShard(uint32_t aShard, TimePoint aNow);
  /// Sends to the held shards once a server has replied, or fails the query
  /// when no attempt is left that could be replied to.
  void DecideHeldShards(TimePoint aNow);
  void SetPartState(uint32_t aShard, PartState aState, TimePoint aNow);
  void EvaluateProgress(TimePoint aNow);
  GatherProgress Progress(TimePoint aNow) const;
  /// @return the estimated size of the merged answer.
  size_t AnswerBytes() const;
  /// @return whether more parts are needed for a successful answer.
  bool NeedsMoreParts() const;
  ForwardAnswer MergeParts() const;

  /// Attempts without a reply that are retried before any server has replied:
  /// enough to distinguish a query that crashes servers from one that lost
  /// them, without crashing a second server of each shard.
  static constexpr uint32_t kMaxUnansweredRetried = 2;

  const GatherTarget& target_;
  /// One element per shard, in the order of GatherTarget::shards_.
  std::vector<ServiceAttempts> attempts_;
  std::vector<Part> parts_;
  /// Bytes of the records of all parts received.
  size_t receivedBytes_ = 0;
  /// Whether the query is sent to one shard until a server replies, as servers
  /// have crashed under it before.
  bool isSuspect_ = false;
  /// Shards whose next attempt waits for the first reply of any server.
  std::vector<uint32_t> heldShards_;
  /// Attempts whose connection ended without a reply, and the first such end.
  uint32_t unanswered_ = 0;
  TimePoint firstUnansweredAt_ = TimePoint::max();
  /// When one held retry is sent although no server has replied, and whether it
  /// was.
  TimePoint probeAt_ = TimePoint::max();
  bool hasProbed_ = false;
  uint32_t included_ = 0;
  uint32_t missing_ = 0;
};

} // namespace foxtail

#endif // FORWARD_GATHERREQUESTHANDLER_H
