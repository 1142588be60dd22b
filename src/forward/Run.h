#ifndef FORWARD_RUN_H
#define FORWARD_RUN_H

#include "forward/Exchange.h"
#include "forward/RouteTable.h"
#include "forward/ServerPools.h"
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
  DecayingQuantile attempts_{ 400 };
  /// Times less the round trip: the work and what waits before it.
  DecayingQuantile work_{ 400 };

  /// @return the usual time of the work at a free server.
  Duration Work() const;
};

/// What runs share. One thread's.
struct RunContext
{
  const ForwardSettings& settings_;
  const Vocabulary& vocabulary_;
  ServerPools& pools_;
  TimerQueue& timers_;
  std::function<ExtraAttemptBudget&(const ServiceName&)> budgetOf_;
};

/// One request on its way: sends it to backend servers and answers once. The
/// caller's connection holds it. One thread's.
class Run
  : public TimedTask
  , public ExchangeListener
  , public std::enable_shared_from_this<Run>
{
public:
  using Done = std::function<void(ForwardAnswer)>;

  Run(RunContext& aContext,
      std::shared_ptr<const RouteTable> aTable,
      const Route& aRoute,
      RouteStats& aStats,
      std::shared_ptr<const ForwardRequest> aRequest,
      Done aDone);

  virtual void Start(TimePoint aNow) = 0;
  /// The caller has closed its connection: gives everything up.
  void OnCallerGone(TimePoint aNow);
  bool IsDone() const { return isDone_; }

  void OnTime(TimePoint aNow) final;

protected:
  struct OpenExchange
  {
    std::shared_ptr<Exchange> exchange_;
    std::shared_ptr<ServerPool> pool_;
  };
  /// The attempts for one service.
  struct Attempts
  {
    ServiceName service_;
    absl::InlinedVector<OpenExchange, 2> open_;
    PoolList tried_;
    /// Sends that the server may have run.
    uint32_t mayHaveRun_ = 0;
    /// Of these the ones that count against the route's attempts.
    uint32_t spent_ = 0;
    /// All sends.
    uint32_t sends_ = 0;
    TimePoint hedgeAt_ = TimePoint::max();
    /// When a connection is opened for the hedge.
    TimePoint prepareAt_ = TimePoint::max();
    ExchangeFault lastFault_ = ExchangeFault::None;
  };

  virtual void OnWake(TimePoint aNow) = 0;
  /// @return when OnWake() is to be called next.
  virtual TimePoint NextWake(TimePoint aNow) const = 0;
  virtual std::span<Attempts> AllAttempts() = 0;

  /// @return the server that the next attempt goes to, if one is left.
  std::optional<PoolChoice> ChooseServer(const Attempts& aAttempts,
                                         TimePoint aNow);
  /// Sends one attempt, unless no server is left.
  bool TrySend(Attempts& aAttempts, uint32_t aIndex, TimePoint aNow);
  /// Opens a connection for a hedge that is likely, so that the hedge does not
  /// wait for it.
  void ConsiderPreparing(Attempts& aAttempts, TimePoint aNow);
  /// Sends a second attempt beside an open one, if attempts and budget allow.
  ///
  /// @param aIsNeeded without this service's reply there is no success.
  void ConsiderHedge(Attempts& aAttempts,
                     uint32_t aIndex,
                     bool aIsNeeded,
                     TimePoint aNow);
  /// Sends another attempt after one has ended, if attempts and budget allow.
  bool TryAgain(Attempts& aAttempts,
                uint32_t aIndex,
                bool aIsNeeded,
                TimePoint aNow);
  /// Takes an ended exchange out of the open ones and counts it.
  ///
  /// @return whether it was one of them.
  bool TakeEnd(Attempts& aAttempts, Exchange& aExchange, TimePoint aNow);
  void AbandonOpen(Attempts& aAttempts, TimePoint aNow);
  /// Asks for OnWake() at NextWake().
  void ScheduleWake(TimePoint aNow);
  void Finish(ForwardAnswer aAnswer, TimePoint aNow);
  bool MayHaveRun();
  /// The answer when the request was given up.
  ForwardAnswer GiveUp(std::string_view aReason, bool aIsTimeOver);

  const ForwardRequest& Request() const { return *request_; }
  /// @return when an answer must leave to be within the route's objective.
  TimePoint ObjectiveAt() const
  {
    return request_->begunAt_ + route_.objective_ - request_->wayBack_ -
           context_.settings_.answerMargin_ -
           std::min<Duration>(4 * context_.timers_.Lag(),
                              context_.settings_.maxLagMargin_);
  }

  RunContext& context_;
  const std::shared_ptr<const RouteTable> table_;
  const Route& route_;
  RouteStats& stats_;
  const std::shared_ptr<const ForwardRequest> request_;
  /// When the caller gets a final answer at the latest.
  TimePoint finalAt_;
  uint32_t hedges_ = 0;
  uint32_t retries_ = 0;

private:
  void LogEnd(const ForwardAnswer& aAnswer, TimePoint aNow);
  /// @return the part of the budget that such an attempt leaves alone.
  double ReserveOf(bool aIsNeeded) const;

  Done done_;
  bool isDone_ = false;
  TimePoint wakeAt_ = TimePoint::max();
};

/// @return an answer of this system's own, with a JSON body.
ForwardAnswer OwnAnswer(AnswerSource aSource,
                        unsigned aStatus,
                        std::string_view aReason,
                        std::optional<milliseconds> aRetryAfter = {});

} // namespace foxtail

#endif // FORWARD_RUN_H
