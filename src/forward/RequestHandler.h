#ifndef FORWARD_REQUESTHANDLER_H
#define FORWARD_REQUESTHANDLER_H

#include "forward/BackendPoolSet.h"
#include "forward/Exchange.h"
#include "forward/RouteTable.h"
#include "forward/TimerQueue.h"
#include "policy/DecayingQuantile.h"
#include "policy/ExtraAttemptBudget.h"

#include <functional>
#include <optional>

namespace foxtail {

/// Where an answer comes from.
enum class AnswerSource
{
  /// One backend server's reply, passed on.
  Server,
  /// Merged from parts.
  Merged,
  /// This system's own: the request has not run and never will.
  NotRun,
  /// This system's own: the request may have run.
  Unknown,
};

template<>
struct EnumTable<AnswerSource>
{
  static constexpr std::array<EnumName<AnswerSource>, 4> kRows{ {
    { AnswerSource::Server, "server" },
    { AnswerSource::Merged, "merged" },
    { AnswerSource::NotRun, "not_run" },
    { AnswerSource::Unknown, "unknown" },
  } };
};

/// What a caller gets.
struct ForwardAnswer
{
  AnswerSource source_ = AnswerSource::NotRun;
  unsigned status_ = 503;
  /// Header lines, each with its line end.
  std::string headers_;
  std::string body_;
};

/// What is learned of the requests of one route.
struct RouteStats
{
  /// Times of first attempts from sending to the whole reply.
  DecayingQuantile attemptLatency_{ 400 };
  /// Times less the round trip: the work and what waits before it.
  DecayingQuantile serverTime_{ 400 };

  /// @return the usual time of the work at a free server.
  Duration TypicalServerTime() const;
};

/// What runs share. One thread's.
struct RequestHandlerContext
{
  const ForwardSettings& settings_;
  const HeaderNames& headerNames_;
  BackendPoolSet& pools_;
  TimerQueue& timers_;
  std::function<ExtraAttemptBudget&(const ServiceName&)> budgetOf_;
};

/// One request on its way: sends it to backend servers and answers once. The
/// caller's connection holds it. One thread's.
class RequestHandler
  : public TimedTask
  , public ExchangeListener
  , public std::enable_shared_from_this<RequestHandler>
{
public:
  using CompletionCallback = std::function<void(ForwardAnswer)>;

  RequestHandler(RequestHandlerContext& aContext,
                 std::shared_ptr<const RouteTable> aTable,
                 const Route& aRoute,
                 RouteStats& aStats,
                 std::shared_ptr<const ForwardRequest> aRequest,
                 CompletionCallback aOnComplete);

  virtual void Start(TimePoint aNow) = 0;
  /// The caller has closed its connection: gives everything up.
  void OnCallerDisconnected(TimePoint aNow);
  bool IsDone() const { return isDone_; }

  void OnTimer(TimePoint aNow) final;

protected:
  struct OutstandingAttempt
  {
    std::shared_ptr<Exchange> exchange_;
    std::shared_ptr<ServerConnectionPool> pool_;
  };
  /// The attempts for one service.
  struct ServiceAttempts
  {
    ServiceName service_;
    absl::InlinedVector<OutstandingAttempt, 2> outstanding_;
    PoolList triedPools_;
    /// Sends that the server may have run.
    uint32_t mayHaveRunCount_ = 0;
    /// Of these the ones that count against the route's attempts.
    uint32_t countedAttempts_ = 0;
    /// All sends.
    uint32_t sendCount_ = 0;
    TimePoint hedgeAt_ = TimePoint::max();
    /// When a connection is opened for the hedge.
    TimePoint preconnectAt_ = TimePoint::max();
    ExchangeFault lastFault_ = ExchangeFault::None;
  };

  virtual void HandleTimer(TimePoint aNow) = 0;
  /// @return when HandleTimer() is to be called next.
  virtual TimePoint NextTimerAt(TimePoint aNow) const = 0;
  virtual std::span<ServiceAttempts> AllAttempts() = 0;

  /// @return the server that the next attempt goes to, if one is left.
  std::optional<PoolChoice> ChooseServer(const ServiceAttempts& aAttempts,
                                         TimePoint aNow);
  /// Sends one attempt, unless no server is left.
  bool TrySend(ServiceAttempts& aAttempts,
               uint32_t aServiceIndex,
               TimePoint aNow);
  /// Opens a connection for a hedge that is likely, so that the hedge does not
  /// wait for it.
  void PreconnectIfDue(ServiceAttempts& aAttempts, TimePoint aNow);
  /// Sends a second attempt beside an open one, if attempts and budget allow.
  ///
  /// @param aIsRequired without this service's reply there is no success.
  void HedgeIfDue(ServiceAttempts& aAttempts,
                  uint32_t aServiceIndex,
                  bool aIsRequired,
                  TimePoint aNow);
  /// Sends another attempt after one has ended, if attempts and budget allow.
  bool TryRetry(ServiceAttempts& aAttempts,
                uint32_t aServiceIndex,
                bool aIsRequired,
                TimePoint aNow);
  /// Takes an ended exchange out of the open ones and counts it.
  ///
  /// @return whether it was one of them.
  bool CompleteAttempt(ServiceAttempts& aAttempts,
                       Exchange& aExchange,
                       TimePoint aNow);
  void AbandonOutstanding(ServiceAttempts& aAttempts, TimePoint aNow);
  /// Asks for HandleTimer() at NextTimerAt().
  void ScheduleTimer(TimePoint aNow);
  void Finish(ForwardAnswer aAnswer, TimePoint aNow);
  bool MayHaveRun();
  /// The answer when the request was given up.
  ForwardAnswer FailureAnswer(std::string_view aReason, bool aIsTimeOver);

  const ForwardRequest& Request() const { return *request_; }
  /// @return when an answer must leave to be within the route's objective.
  TimePoint ObjectiveAt() const
  {
    return request_->callerStartedAt_ + route_.objective_ -
           request_->returnDelay_ - context_.settings_.responseMargin_ -
           std::min<Duration>(4 * context_.timers_.Lag(),
                              context_.settings_.maxLagMargin_);
  }

  RequestHandlerContext& context_;
  const std::shared_ptr<const RouteTable> table_;
  const Route& route_;
  RouteStats& stats_;
  const std::shared_ptr<const ForwardRequest> request_;
  /// When the caller gets a final answer at the latest.
  TimePoint responseDeadline_;
  uint32_t hedges_ = 0;
  uint32_t retries_ = 0;

private:
  void LogCompletion(const ForwardAnswer& aAnswer, TimePoint aNow);
  /// @return the part of the budget that such an attempt leaves alone.
  double BudgetReserve(bool aIsRequired) const;

  CompletionCallback onComplete_;
  bool isDone_ = false;
  TimePoint timerAt_ = TimePoint::max();
};

/// @return an answer of this system's own, with a JSON body.
ForwardAnswer MakeLocalAnswer(AnswerSource aSource,
                              unsigned aStatus,
                              std::string_view aReason,
                              std::optional<milliseconds> aRetryAfter = {});

} // namespace foxtail

#endif // FORWARD_REQUESTHANDLER_H
