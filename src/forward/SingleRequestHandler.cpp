#include "forward/SingleRequestHandler.h"

#include "forward/HopByHop.h"

#include <algorithm>

namespace foxtail {
namespace {

constexpr unsigned kFirstServerError = 500;

/// Statuses that callers interpret as "not run". A server that returns one of
/// them without the not-run header may have run the request.
bool ImpliesNotRun(unsigned aStatus)
{
  constexpr std::array<unsigned, 4> kNotRunStatuses{ 408, 421, 429, 503 };
  return std::find(kNotRunStatuses.begin(), kNotRunStatuses.end(), aStatus) !=
         kNotRunStatuses.end();
}

} // namespace

SingleRequestHandler::SingleRequestHandler(
  RequestHandlerContext& aContext,
  std::shared_ptr<const RouteTable> aTable,
  const Route& aRoute,
  RouteStats& aStats,
  ServiceName aService,
  std::shared_ptr<const ForwardRequest> aRequest,
  CompletionCallback aOnComplete)
  : RequestHandler(aContext,
                   std::move(aTable),
                   aRoute,
                   aStats,
                   std::move(aRequest),
                   std::move(aOnComplete))
{
  attempts_.service_ = std::move(aService);
}

void SingleRequestHandler::Start(TimePoint aNow)
{
  if (!TrySend(attempts_, 0, LatestSendAt(aNow), aNow)) {
    Finish(RefuseUnsent(aNow), aNow);
    return;
  }
  ScheduleTimer(aNow);
}

ForwardAnswer SingleRequestHandler::RefuseUnsent(TimePoint aNow) const
{
  const auto refusedUntil =
    context_.pools_.RefusedUntil(attempts_.service_, regions_, aNow);
  const auto earliest =
    context_.pools_.EarliestSendAt(attempts_.service_, regions_, aNow);
  const std::string& service = attempts_.service_.Value();
  std::string reason;
  if (refusedUntil) {
    reason = "the backend servers of the service " + service +
             " refuse requests; come back after the time that is stated";
  } else if (earliest) {
    reason = "the backend servers of the service " + service +
             " limit the rate of requests; come back after the time that is "
             "stated";
  } else {
    reason =
      "no backend server of the service " + service +
      std::string(OnNoServer()) +
      " accepts requests; try again, and check its announcements and the "
      "evacuated zones";
  }
  return RefusalAnswer(reason, earliest, refusedUntil, aNow);
}

void SingleRequestHandler::OnExchangeEnd(Exchange& aExchange, TimePoint aNow)
{
  if (IsDone() || !CompleteAttempt(attempts_, aExchange, aNow)) {
    return;
  }
  if (aExchange.outcome_ == ExchangeOutcome::Answered) {
    OnReply(aExchange, aNow);
  } else if (attempts_.outstanding_.empty() &&
             !TryRetry(attempts_, 0, true, aNow) &&
             !TryReturnLater(attempts_, aNow)) {
    if (serverFailure_) {
      Finish(ForwardServerReply(*std::move(serverFailure_)), aNow);
    } else {
      Finish(FailureAnswer(
               "no backend server of the service " +
                 attempts_.service_.Value() + " returned a usable reply",
               false,
               context_.pools_.RefusedUntil(attempts_.service_, regions_, aNow),
               aNow),
             aNow);
    }
  }
  if (!IsDone()) {
    ScheduleTimer(aNow);
  }
}

void SingleRequestHandler::OnReply(Exchange& aExchange, TimePoint aNow)
{
  const bool mayRetry = route_.effect_ == RouteEffect::Idempotent &&
                        aExchange.reply_.status_ >= kFirstServerError;
  if (!mayRetry) {
    Finish(ForwardServerReply(std::move(aExchange.reply_)), aNow);
    return;
  }
  serverFailure_ = std::move(aExchange.reply_);
  if (attempts_.outstanding_.empty() && !TryRetry(attempts_, 0, true, aNow)) {
    Finish(ForwardServerReply(*std::move(serverFailure_)), aNow);
  }
}

void SingleRequestHandler::HandleTimer(TimePoint aNow)
{
  if (aNow >= responseDeadline_) {
    Finish(serverFailure_
             ? ForwardServerReply(*std::move(serverFailure_))
             : FailureAnswer("no reply was received within the time limit",
                             true,
                             std::nullopt,
                             aNow),
           aNow);
    return;
  }
  PreconnectIfDue(attempts_, aNow);
  HedgeIfDue(attempts_, 0, true, aNow);
  if (!SendIfDue(attempts_, 0, aNow)) {
    Finish(FailureAnswer(
             "no backend server of the service " + attempts_.service_.Value() +
               " accepts requests",
             false,
             context_.pools_.RefusedUntil(attempts_.service_, regions_, aNow),
             aNow),
           aNow);
  }
}

TimePoint SingleRequestHandler::NextTimerAt(TimePoint) const
{
  return std::min({ responseDeadline_,
                    attempts_.preconnectAt_,
                    attempts_.hedgeAt_,
                    attempts_.sendAt_ });
}

ForwardAnswer SingleRequestHandler::ForwardServerReply(
  ForwardReply aReply) const
{
  if (ImpliesNotRun(aReply.status_)) {
    constexpr unsigned kBadGateway = 502;
    return MakeLocalAnswer(
      AnswerSource::Unknown,
      kBadGateway,
      "the backend server refused the request without stating "
      "that it was not run");
  }
  ForwardAnswer answer;
  answer.source_ = AnswerSource::Server;
  answer.status_ = aReply.status_;
  AppendEndToEndHeaders(answer.headers_, aReply.headers_, {});
  answer.body_ = std::move(aReply.body_);
  return answer;
}

} // namespace foxtail
