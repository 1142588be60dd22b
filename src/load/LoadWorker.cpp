#include "load/LoadWorker.h"

#include "core/Error.h"
#include "core/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace foxtail {

namespace asio = boost::asio;

namespace {

constexpr size_t kMaxOpenOperations = 50000;

LoadOutcome OutcomeOf(const absl::Status& aStatus)
{
  switch (KindOf(aStatus)) {
    case ErrorKind::Unavailable:
      return LoadOutcome::Unreachable;
    case ErrorKind::DeadlineExceeded:
      return LoadOutcome::Timeout;
    default:
      return LoadOutcome::Cut;
  }
}

int64_t Micros(Duration aDuration)
{
  return duration_cast<microseconds>(aDuration).count();
}

} // namespace

LoadWorker::LoadWorker(const LoadOptions& aOptions,
                       size_t aIndex,
                       Balancer& aBalancer,
                       LoadProgress& aProgress,
                       asio::io_context& aContext)
  : options_(aOptions)
  , index_(aIndex)
  , balancer_(aBalancer)
  , progress_(aProgress)
  , context_(aContext)
  , schedule_(aOptions.steps_,
              aOptions.arrivals_,
              1.0 / static_cast<double>(aOptions.workers_),
              aOptions.seed_ + (aIndex * 7919))
{
  const size_t share =
    std::max<size_t>(1, aOptions.connections_ / aOptions.workers_);
  for (const TcpEndpoint& target : aOptions.targets_) {
    pools_.push_back(std::make_unique<ConnectionPool>(target, share, aContext));
  }
  result_.steps_.resize(aOptions.steps_.size());
}

void LoadWorker::Start(TimePoint aStart)
{
  start_ = aStart;
  asio::co_spawn(context_, RunSchedule(), asio::detached);
}

asio::awaitable<void> LoadWorker::RunSchedule()
{
  asio::steady_timer timer(context_);
  uint64_t number = 0;
  while (const auto due = schedule_.Next()) {
    if (start_ + *due > Now()) {
      timer.expires_at(start_ + *due);
      boost::system::error_code ignored;
      co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    }
    if (open_ >= kMaxOpenOperations) {
      ++result_.unsent_;
      continue;
    }
    Operation operation;
    operation.number_ = number++;
    operation.step_ = schedule_.Step();
    operation.due_ = *due;
    operation.service_ =
      options_.services_[operation.number_ % options_.services_.size()];
    operation.token_ = std::to_string(options_.seed_) + "-" +
                       std::to_string(index_) + "-" +
                       std::to_string(operation.number_);
    ++open_;
    ++progress_.sent_;
    asio::co_spawn(
      context_, RunOperation(std::move(operation)), asio::detached);
  }
  isScheduled_ = true;
}

HttpRequest LoadWorker::MakeOperationRequest(const Operation& aOperation) const
{
  std::string body = R"({"token":)";
  AppendJsonString(body, aOperation.token_);
  if (!options_.query_.empty()) {
    body += R"(,"query":)";
    AppendJsonString(body, options_.query_);
  }
  body += '}';
  const std::string path =
    (options_.isAction_ ? "/v1/action/" : "/v1/query/") + aOperation.service_;
  HttpRequest request =
    MakeRequest(boost::beast::http::verb::post, path, std::move(body));
  request.set("Foxtail-Request", aOperation.token_);
  if (options_.isAction_) {
    request.set("Idempotency-Key", "key-" + aOperation.token_);
  }
  if (options_.deadlineMs_ > 0) {
    request.set("Foxtail-Deadline-Ms", std::to_string(options_.deadlineMs_));
  }
  if (!options_.patience_.empty()) {
    request.set("Foxtail-Patience", options_.patience_);
  }
  return request;
}

asio::awaitable<AnswerVerdict> LoadWorker::SendOnce(const Operation& aOperation)
{
  AnswerVerdict verdict;
  verdict.outcome_ = LoadOutcome::Unreachable;
  for (size_t tries = 0; tries < options_.targets_.size(); ++tries) {
    const size_t target = balancer_.Choose(Now());
    auto client = co_await pools_[target]->Take();
    HttpRequest request = MakeOperationRequest(aOperation);
    const auto response =
      co_await client->Exchange(std::move(request), options_.timeout_);
    pools_[target]->GiveBack(std::move(client));
    if (response.ok()) {
      verdict = options_.isAction_
                  ? CheckActionAnswer(*response, aOperation.token_)
                  : CheckQueryAnswer(*response, aOperation.token_);
      break;
    }
    verdict.outcome_ = OutcomeOf(response.status());
    if (verdict.outcome_ != LoadOutcome::Unreachable) {
      break;
    }
    balancer_.OnConnectFailed(target, Now());
  }
  co_return verdict;
}

bool LoadWorker::IsResent(const AnswerVerdict& aVerdict) const
{
  return options_.isAction_ && aVerdict.outcome_ != LoadOutcome::Whole;
}

asio::awaitable<void> LoadWorker::RunOperation(Operation aOperation)
{
  const TimePoint sentAt = Now();
  LoadSample sample;
  sample.verdict_ = co_await SendOnce(aOperation);
  uint32_t tries = 1;
  while (IsResent(sample.verdict_) && tries <= options_.resends_) {
    constexpr milliseconds kPause{ 20 };
    asio::steady_timer timer(context_, kPause * tries);
    co_await timer.async_wait(asio::use_awaitable);
    sample.verdict_ = co_await SendOnce(aOperation);
    ++tries;
  }
  const TimePoint now = Now();
  sample.latency_ = now - (start_ + aOperation.due_);
  sample.exchange_ = now - sentAt;
  Record(aOperation, sample, sentAt, tries);
  --open_;
}

void LoadWorker::Record(const Operation& aOperation,
                        const LoadSample& aSample,
                        TimePoint aSentAt,
                        uint32_t aTries)
{
  if (aOperation.due_ >= options_.warmUp_) {
    result_.total_.Add(aSample);
  }
  result_.steps_[aOperation.step_].Add(aSample);
  const auto row =
    static_cast<size_t>(aOperation.due_ / options_.timelineStep_);
  if (result_.timeline_.size() <= row) {
    result_.timeline_.resize(row + 1);
  }
  result_.timeline_[row].Add(aSample);
  if (!options_.history_.empty()) {
    AddHistory(aOperation, aSample, aSentAt - start_, aTries);
  }
  ++progress_.done_;
  const LoadOutcome outcome = aSample.verdict_.outcome_;
  if (outcome == LoadOutcome::Whole) {
    ++progress_.whole_;
  } else if (outcome != LoadOutcome::Partial) {
    ++progress_.failed_;
  }
}

void LoadWorker::AddHistory(const Operation& aOperation,
                            const LoadSample& aSample,
                            Duration aSentAt,
                            uint32_t aTries)
{
  const AnswerVerdict& verdict = aSample.verdict_;
  boost::json::object line{
    { "op", options_.isAction_ ? "action" : "query" },
    { "service", aOperation.service_ },
    { "token", aOperation.token_ },
    { "due_us", Micros(aOperation.due_) },
    { "start_us", Micros(aSentAt) },
    { "end_us", Micros(aOperation.due_ + aSample.latency_) },
    { "outcome", std::string(NameOf(verdict.outcome_)) },
    { "tries", aTries },
    { "asked", verdict.shardsAsked_ },
    { "answered", verdict.shardsAnswered_ },
    { "mixed", verdict.isMixed_ },
    { "wrong", verdict.isWrong_ },
    { "snapshot", verdict.snapshot_ },
  };
  if (options_.isAction_) {
    line["key"] = "key-" + aOperation.token_;
  }
  result_.history_ += boost::json::serialize(line);
  result_.history_ += '\n';
}

} // namespace foxtail
