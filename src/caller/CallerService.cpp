#include "caller/CallerService.h"

#include "core/Log.h"

#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstdio>

namespace foxtail {

namespace asio = boost::asio;

namespace {

HttpResponse NotRunResponse(HttpStatus aStatus,
                            const RequestId& aRequest,
                            ErrorKind aKind,
                            std::string_view aMessage)
{
  return FailureResponse(aStatus, aRequest, Outcome::NotRun, aKind, aMessage);
}

HttpResponse InvalidRequestResponse(const RequestId& aRequest,
                                    const absl::Status& aStatus)
{
  return NotRunResponse(HttpStatus::bad_request,
                        aRequest,
                        KindOf(aStatus),
                        std::string(aStatus.message()));
}

HttpResponse RefusedResponse(const RequestId& aRequest,
                             AdmissionVerdict aVerdict)
{
  switch (aVerdict) {
    case AdmissionVerdict::RefuseQuota:
      return NotRunResponse(
        HttpStatus::too_many_requests,
        aRequest,
        ErrorKind::Overloaded,
        "the team exceeds its limit of requests per second; "
        "resend later");
    case AdmissionVerdict::RefuseDeadline:
      return NotRunResponse(HttpStatus::service_unavailable,
                            aRequest,
                            ErrorKind::DeadlineExceeded,
                            "the request cannot be completed by its deadline; "
                            "resend it later or with a longer deadline");
    case AdmissionVerdict::RefuseUnknown:
      return NotRunResponse(HttpStatus::not_found,
                            aRequest,
                            ErrorKind::NotFound,
                            "the service is no longer configured");
    default:
      return NotRunResponse(HttpStatus::service_unavailable,
                            aRequest,
                            ErrorKind::Overloaded,
                            "too many requests are queued; resend later or to "
                            "another instance");
  }
}

HttpResponse UnknownPathResponse()
{
  return NotRunResponse(HttpStatus::not_found,
                        RequestId(),
                        ErrorKind::NotFound,
                        "no such path; use POST /v1/query/{service} or "
                        "/v1/action/{service}");
}

HttpResponse UnknownServiceResponse(const RequestId& aRequest,
                                    const CallerTarget& aTarget,
                                    const Document& aDocument)
{
  if (aDocument.services_.empty()) {
    return NotRunResponse(HttpStatus::service_unavailable,
                          aRequest,
                          ErrorKind::Unavailable,
                          "this instance has no configuration document yet; "
                          "resend later or to another instance");
  }
  const ServiceKind kind = aTarget.route_ == CallerRoute::Query
                             ? ServiceKind::Query
                             : ServiceKind::Action;
  return NotRunResponse(HttpStatus::not_found,
                        aRequest,
                        ErrorKind::NotFound,
                        "no " + std::string(NameOf(kind)) + " service \"" +
                          aTarget.service_ +
                          "\"; /v1/status on the platform port lists the "
                          "configured services");
}

double ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

Outcome OutcomeOf(const HttpResponse& aResponse)
{
  return FromName<Outcome>(HeaderOf(aResponse, "Foxtail-Outcome"))
    .value_or(Outcome::Unknown);
}

} // namespace

CallerService::CallerService(WorkerPool& aWorkers,
                             BackendFleet& aFleet,
                             const RcuCell<Document>& aDocument,
                             ClaimStore* aClaims,
                             Metrics& aMetrics)
  : workers_(aWorkers)
  , metrics_(aMetrics)
  , actions_(aClaims)
{
  for (size_t i = 0; i < aWorkers.Size(); ++i) {
    queryWorkers_.push_back(
      std::make_unique<QueryWorker>(i,
                                    aWorkers.Size(),
                                    aWorkers.Context(i),
                                    aFleet,
                                    aDocument,
                                    metrics_,
                                    RandomSource::SystemSeed()));
  }
  std::array<char, 16> prefix{};
  std::snprintf(prefix.data(),
                prefix.size(),
                "%08x",
                static_cast<unsigned>(RandomSource::SystemSeed()));
  requestIdPrefix_ = prefix.data();
}

CallerService::~CallerService() = default;

QueryWorker& CallerService::WorkerOf(const asio::any_io_executor& aExecutor)
{
  const asio::execution_context* context =
    &asio::query(aExecutor, asio::execution::context);
  for (size_t i = 0; i < workers_.Size(); ++i) {
    if (&workers_.Context(i) == context) {
      return *queryWorkers_[i];
    }
  }
  return *queryWorkers_.front();
}

RequestId CallerService::MakeRequestId(QueryWorker& aWorker) const
{
  return RequestId(requestIdPrefix_ + "-" + std::to_string(aWorker.Index()) +
                   "-" + std::to_string(aWorker.NextRequestNumber()));
}

asio::awaitable<HttpResponse> CallerService::Handle(HttpRequest aRequest)
{
  const auto target = ParseCallerTarget(PathOf(aRequest));
  if (!target) {
    co_return UnknownPathResponse();
  }
  if (aRequest.method() != boost::beast::http::verb::post) {
    co_return NotRunResponse(HttpStatus::method_not_allowed,
                             RequestId(),
                             ErrorKind::InvalidRequest,
                             "the method is not allowed here; use POST");
  }
  QueryWorker& worker = WorkerOf(co_await asio::this_coro::executor);
  auto id = ReadRequestId(aRequest);
  if (!id.ok()) {
    co_return InvalidRequestResponse(RequestId(), id.status());
  }
  QueryRequest query;
  query.id_ = id->Value().empty() ? MakeRequestId(worker) : std::move(*id);
  query.startedAt_ = Now();
  query.document_ = worker.GetDocument();
  query.service_ = query.document_->Find(target->service_);
  const bool isAction = target->route_ == CallerRoute::Action;
  if (query.service_ == nullptr ||
      (query.service_->kind_ == ServiceKind::Action) != isAction) {
    co_return UnknownServiceResponse(query.id_, *target, *query.document_);
  }
  if (const auto status = ReadQueryOptions(aRequest, query); !status.ok()) {
    co_return InvalidRequestResponse(query.id_, status);
  }
  auto key = ReadIdempotencyKey(aRequest);
  if (!key.ok()) {
    co_return InvalidRequestResponse(query.id_, key.status());
  }
  query.body_ = std::move(aRequest.body());
  co_return co_await AdmitAndRun(worker, std::move(query), std::move(*key));
}

asio::awaitable<HttpResponse> CallerService::AdmitAndRun(QueryWorker& aWorker,
                                                         QueryRequest aQuery,
                                                         std::string aKey)
{
  const auto service = aWorker.Service(*aQuery.service_);
  const ServiceName name = aQuery.service_->name_;
  const TimePoint arrivedAt = aQuery.startedAt_;
  const AdmissionVerdict verdict = co_await aWorker.Admission().Admit(
    name, aQuery.deadline_, service->AverageDuration());
  if (verdict != AdmissionVerdict::Start) {
    metrics_.OnShed(std::string(NameOf(verdict)));
    service->GetMetrics().outcomes_[0]->Increment();
    LogLine(LogLevel::Info, "shed")
      .Add("request", aQuery.id_)
      .Add("service", name)
      .Add("reason", NameOf(verdict));
    co_return RefusedResponse(aQuery.id_, verdict);
  }
  const TimePoint startedAt = Now();
  HttpResponse response;
  // An if statement, as g++ 12 does not evaluate co_await correctly in the
  // operands of a conditional operator.
  if (aQuery.service_->kind_ == ServiceKind::Action) {
    response =
      co_await actions_.Handle(aWorker, std::move(aQuery), std::move(aKey));
  } else {
    response = co_await RunQuery(aWorker, std::move(aQuery));
  }
  const TimePoint now = Now();
  aWorker.Admission().OnRequestDone(name, now - startedAt);
  const CallerMetrics::Service& metrics = service->GetMetrics();
  metrics.outcomes_[static_cast<size_t>(OutcomeOf(response))]->Increment();
  metrics.seconds_->Observe(ToSeconds(now - arrivedAt));
  co_return response;
}

asio::awaitable<HttpResponse> CallerService::RunQuery(QueryWorker& aWorker,
                                                      QueryRequest aQuery)
{
  const TimePoint startedAt = aQuery.startedAt_;
  asio::steady_timer timer(co_await asio::this_coro::executor);
  const auto run = std::make_shared<QueryExecution>(
    aWorker, std::move(aQuery), [&timer] { timer.cancel(); });
  run->Start(Now());
  while (!run->IsDone()) {
    boost::system::error_code ignored;
    timer.expires_at(run->NextWakeTime());
    co_await timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
    run->OnTime(Now());
  }
  const TimePoint now = Now();
  const QueryAnswer answer = run->Finish(now);
  metrics_.overheadSeconds_.Observe(
    ToSeconds(now - startedAt - answer.slowestShard_));
  metrics_.shardsAsked_.Increment(answer.coverage_.asked_);
  metrics_.shardsAnswered_.Increment(answer.coverage_.answered_);
  co_return ToResponse(answer);
}

} // namespace foxtail
