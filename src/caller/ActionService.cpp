#include "caller/ActionService.h"

#include "core/Error.h"
#include "core/Log.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <xxhash.h>

namespace foxtail {

namespace asio = boost::asio;

namespace {

constexpr size_t kMaxKeyBytes = 128;
constexpr milliseconds kSettleTimeout{ 5000 };

HttpResponse ToResponse(const RequestId& aRequest, const ActionResult& aResult)
{
  switch (aResult.outcome_) {
    case Outcome::Run:
      break;
    case Outcome::NotRun:
      return FailureResponse(HttpStatus::service_unavailable,
                             aRequest,
                             Outcome::NotRun,
                             ErrorKind::Unavailable,
                             "no backend server ran the action (" +
                               std::string(NameOf(aResult.fault_)) +
                               "); resend it later");
    case Outcome::Unknown:
      return FailureResponse(
        HttpStatus::gateway_timeout,
        aRequest,
        Outcome::Unknown,
        ErrorKind::DeadlineExceeded,
        "the action may have been run (" + std::string(NameOf(aResult.fault_)) +
          "); resend it with the same Idempotency-Key, or check "
          "whether it was run before sending it again");
  }
  std::string body = R"({"request":)";
  AppendJsonString(body, aRequest.Value());
  body += R"(,"outcome":"run","snapshot":{)";
  AppendJsonString(body, aResult.catalogue_.Value());
  body += R"(:{"index_version":)";
  body += std::to_string(aResult.layout_.version_.Value());
  body += R"(,"shards":)";
  body += std::to_string(aResult.layout_.shardCount_);
  body += R"(}},"shard":)";
  body += std::to_string(aResult.shard_.Value());
  body += R"(,"result":)";
  body += aResult.reply_;
  body += "}\n";
  HttpResponse response = JsonResponse(HttpStatus::ok, std::move(body));
  response.set("Foxtail-Request", aRequest.Value());
  response.set("Foxtail-Outcome", "run");
  return response;
}

HttpResponse RecordedResponse(ActionRecord aRecord, const RequestId& aRequest)
{
  HttpResponse response = JsonResponse(
    static_cast<HttpStatus>(aRecord.httpStatus_), std::move(aRecord.body_));
  response.set("Foxtail-Request", aRequest.Value());
  response.set("Foxtail-Outcome", "run");
  response.set("Foxtail-Recorded", "true");
  return response;
}

uint64_t HashRequest(const ServiceName& aService, const std::string& aBody)
{
  const uint64_t seed =
    XXH3_64bits(aService.Value().data(), aService.Value().size());
  return XXH3_64bits_withSeed(aBody.data(), aBody.size(), seed);
}

milliseconds TimeLeft(const QueryRequest& aRequest)
{
  const auto left = duration_cast<milliseconds>(aRequest.deadline_ - Now());
  return std::max(left, milliseconds(1));
}

} // namespace

absl::StatusOr<std::string> ReadIdempotencyKey(const HttpRequest& aRequest)
{
  const std::string_view key = HeaderOf(aRequest, "Idempotency-Key");
  const auto isVisible = [](char aChar) { return aChar > ' ' && aChar <= '~'; };
  if (key.size() > kMaxKeyBytes ||
      !std::all_of(key.begin(), key.end(), isVisible)) {
    return MakeError(ErrorKind::InvalidRequest,
                     "Idempotency-Key is too long or contains invalid "
                     "characters; use at most 128 visible ASCII characters");
  }
  if (key.empty() && aRequest.find("Idempotency-Key") != aRequest.end()) {
    return MakeError(ErrorKind::InvalidRequest,
                     "Idempotency-Key is empty; set a key or omit the "
                     "header");
  }
  return std::string(key);
}

asio::awaitable<HttpResponse> ActionService::Handle(QueryWorker& aWorker,
                                                    QueryRequest aRequest,
                                                    std::string aKey)
{
  const RequestId id = aRequest.id_;
  if (aKey.empty()) {
    ActionResult result =
      co_await Run(aWorker, std::move(aRequest), std::move(aKey));
    co_return ToResponse(id, result);
  }
  if (claims_ == nullptr) {
    co_return FailureResponse(HttpStatus::service_unavailable,
                              id,
                              Outcome::NotRun,
                              ErrorKind::Unavailable,
                              "this deployment has no control instances, so "
                              "no key can be claimed; configure /control, or "
                              "send the action without Idempotency-Key");
  }
  ClaimRequest claim{ aRequest.service_->name_,
                      std::move(aKey),
                      HashRequest(aRequest.service_->name_, aRequest.body_),
                      id };
  co_return co_await HandleWithKey(
    aWorker, std::move(aRequest), std::move(claim));
}

asio::awaitable<HttpResponse> ActionService::HandleWithKey(
  QueryWorker& aWorker,
  QueryRequest aRequest,
  ClaimRequest aClaim)
{
  const RequestId id = aRequest.id_;
  absl::StatusOr<ClaimResult> claimed =
    co_await claims_->Claim(aClaim, TimeLeft(aRequest));
  if (!claimed.ok()) {
    // This request sent nothing, but an earlier one with the same key may have
    // run the action.
    co_return FailureResponse(
      HttpStatus::service_unavailable,
      id,
      Outcome::Unknown,
      KindOf(claimed.status()),
      "the key could not be claimed; this request sent "
      "nothing to a backend server, but an earlier one with "
      "the same key may have; resend with the same key (" +
        std::string(claimed.status().message()) + ")");
  }
  switch (claimed->state_) {
    case ClaimState::Granted:
      break;
    case ClaimState::Recorded:
      co_return RecordedResponse(std::move(claimed->record_), id);
    case ClaimState::Unknown:
      co_return FailureResponse(
        HttpStatus::gateway_timeout,
        id,
        Outcome::Unknown,
        ErrorKind::Conflict,
        "an earlier request claimed this key and its outcome "
        "is unknown; the action will not be run again; check "
        "whether it was run before sending it with a new key");
    case ClaimState::Mismatch:
      co_return FailureResponse(
        HttpStatus::unprocessable_entity,
        id,
        Outcome::NotRun,
        ErrorKind::Conflict,
        "this Idempotency-Key was used with a different body; "
        "use a new key for each action");
  }
  const auto executor = co_await asio::this_coro::executor;
  ActionResult result = co_await Run(aWorker, std::move(aRequest), aClaim.key_);
  const Outcome outcome = result.outcome_;
  HttpResponse response = ToResponse(id, result);
  StartSettlingClaim(executor, std::move(aClaim), outcome, response);
  co_return response;
}

asio::awaitable<ActionResult> ActionService::Run(QueryWorker& aWorker,
                                                 QueryRequest aRequest,
                                                 std::string aKey)
{
  asio::steady_timer timer(co_await asio::this_coro::executor);
  const auto run = std::make_shared<ActionExecution>(
    aWorker, std::move(aRequest), std::move(aKey), [&timer] {
      timer.cancel();
    });
  run->Start(Now());
  while (!run->IsDone()) {
    boost::system::error_code ignored;
    timer.expires_at(run->NextWakeTime());
    co_await timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
    run->OnTime(Now());
  }
  co_return run->TakeResult();
}

void ActionService::StartSettlingClaim(const asio::any_io_executor& aExecutor,
                                       ClaimRequest aClaim,
                                       Outcome aOutcome,
                                       const HttpResponse& aResponse)
{
  if (aOutcome == Outcome::Unknown) {
    // The claim stays without a record, so that every resend gets an unknown
    // outcome.
    return;
  }
  ++pendingRecords_;
  ActionRecord record{ aResponse.result_int(), aResponse.body() };
  asio::co_spawn(aExecutor,
                 SettleClaim(std::move(aClaim), aOutcome, std::move(record)),
                 asio::detached);
}

asio::awaitable<void> ActionService::SettleClaim(ClaimRequest aClaim,
                                                 Outcome aOutcome,
                                                 ActionRecord aRecord)
{
  const std::string service = aClaim.service_.Value();
  const std::string request = aClaim.request_.Value();
  absl::Status status;
  if (aOutcome == Outcome::Run) {
    status = co_await claims_->Record(
      std::move(aClaim), std::move(aRecord), kSettleTimeout);
  } else {
    status = co_await claims_->Release(std::move(aClaim), kSettleTimeout);
  }
  if (!status.ok()) {
    LogLine(LogLevel::Warning, "claim_not_settled")
      .Add("request", request)
      .Add("service", service)
      .Add("outcome", NameOf(aOutcome))
      .Add("reason", status);
  }
  --pendingRecords_;
}

} // namespace foxtail
