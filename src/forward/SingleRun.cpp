#include "forward/SingleRun.h"

#include "forward/HopByHop.h"

#include <algorithm>

namespace foxtail {
namespace {

constexpr unsigned kFirstServerError = 500;

/// Statuses by which callers take it that a request has not run. A server that
/// gives one of them without saying so may have run it.
bool PromisesNotRun(unsigned aStatus)
{
  constexpr std::array<unsigned, 4> kPromises{ 408, 421, 429, 503 };
  return std::find(kPromises.begin(), kPromises.end(), aStatus) !=
         kPromises.end();
}

} // namespace

SingleRun::SingleRun(RunContext& aContext,
                     std::shared_ptr<const RouteTable> aTable,
                     const Route& aRoute,
                     RouteStats& aStats,
                     ServiceName aService,
                     std::shared_ptr<const ForwardRequest> aRequest,
                     Done aDone)
  : Run(aContext,
        std::move(aTable),
        aRoute,
        aStats,
        std::move(aRequest),
        std::move(aDone))
{
  attempts_.service_ = std::move(aService);
}

void SingleRun::Start(TimePoint aNow)
{
  if (!TrySend(attempts_, 0, aNow)) {
    Finish(GiveUp("no backend server of the service " +
                    attempts_.service_.Value() +
                    " takes work; try again, and check its announcements",
                  false),
           aNow);
    return;
  }
  ScheduleWake(aNow);
}

void SingleRun::OnExchangeEnd(Exchange& aExchange, TimePoint aNow)
{
  if (IsDone() || !TakeEnd(attempts_, aExchange, aNow)) {
    return;
  }
  if (aExchange.end_ == ExchangeEnd::Answered) {
    OnAnswer(aExchange, aNow);
  } else if (attempts_.open_.empty() && !TryAgain(attempts_, 0, true, aNow)) {
    if (failure_) {
      Finish(PassOn(*std::move(failure_)), aNow);
    } else {
      Finish(GiveUp("no backend server of the service " +
                      attempts_.service_.Value() + " gave a usable reply",
                    false),
             aNow);
    }
  }
  if (!IsDone()) {
    ScheduleWake(aNow);
  }
}

void SingleRun::OnAnswer(Exchange& aExchange, TimePoint aNow)
{
  const bool mayDoBetter = route_.effect_ == RouteEffect::Idempotent &&
                           aExchange.reply_.status_ >= kFirstServerError;
  if (!mayDoBetter) {
    Finish(PassOn(std::move(aExchange.reply_)), aNow);
    return;
  }
  failure_ = std::move(aExchange.reply_);
  if (attempts_.open_.empty() && !TryAgain(attempts_, 0, true, aNow)) {
    Finish(PassOn(*std::move(failure_)), aNow);
  }
}

void SingleRun::OnWake(TimePoint aNow)
{
  if (aNow >= finalAt_) {
    Finish(failure_ ? PassOn(*std::move(failure_))
                    : GiveUp("no reply came within the time", true),
           aNow);
    return;
  }
  ConsiderPreparing(attempts_, aNow);
  ConsiderHedge(attempts_, 0, true, aNow);
}

TimePoint SingleRun::NextWake(TimePoint) const
{
  return std::min({ finalAt_, attempts_.prepareAt_, attempts_.hedgeAt_ });
}

ForwardAnswer SingleRun::PassOn(ForwardReply aReply) const
{
  if (PromisesNotRun(aReply.status_)) {
    constexpr unsigned kBadGateway = 502;
    return OwnAnswer(AnswerSource::Unknown,
                     kBadGateway,
                     "the backend server refused the request without saying "
                     "that it has not run");
  }
  ForwardAnswer answer;
  answer.source_ = AnswerSource::Server;
  answer.status_ = aReply.status_;
  AppendEndToEndHeaders(answer.headers_, aReply.headers_, {});
  answer.body_ = std::move(aReply.body_);
  return answer;
}

} // namespace foxtail
