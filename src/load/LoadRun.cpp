#include "load/LoadRun.h"

#include "core/Error.h"
#include "core/WorkerPool.h"
#include "http/HttpClient.h"
#include "load/LoadWorker.h"
#include "load/ReadinessPoller.h"

#include <cstdio>
#include <fstream>
#include <thread>

namespace foxtail {

namespace json = boost::json;

namespace {

constexpr double kPercent = 100;
constexpr milliseconds kStandinTimeout{ 5000 };

// Sum of the requests that the stand-ins have received.
uint64_t BackendRequests(const std::vector<TcpEndpoint>& aStandins)
{
  uint64_t sum = 0;
  for (const TcpEndpoint& standin : aStandins) {
    const auto response =
      BlockingExchange(standin,
                       MakeRequest(boost::beast::http::verb::get, "/v1/stats"),
                       kStandinTimeout);
    if (!response.ok()) {
      continue;
    }
    json::error_code error;
    const json::value stats = json::parse(response->body(), error);
    if (error) {
      continue;
    }
    for (const json::value& row : stats.at("servers").as_array()) {
      sum += row.at("received").to_number<uint64_t>();
    }
  }
  return sum;
}

void PrintProgress(const LoadProgress& aProgress, Duration aElapsed)
{
  std::fprintf(stderr,
               "\r%5.1f s  sent %llu  done %llu  whole %llu  failed %llu ",
               ToMilliseconds(aElapsed) / 1000,
               static_cast<unsigned long long>(aProgress.sent_),
               static_cast<unsigned long long>(aProgress.done_),
               static_cast<unsigned long long>(aProgress.whole_),
               static_cast<unsigned long long>(aProgress.failed_));
}

using Workers = std::vector<std::unique_ptr<LoadWorker>>;

void WaitForEnd(const LoadOptions& aOptions,
                const Workers& aWorkers,
                const LoadProgress& aProgress,
                TimePoint aStart)
{
  constexpr milliseconds kStep{ 50 };
  constexpr int kStepsPerLine = 20;
  const auto isDone = [&] {
    return std::all_of(aWorkers.begin(), aWorkers.end(), [](const auto& aRow) {
      return aRow->IsDone();
    });
  };
  for (int i = 0; !isDone(); ++i) {
    std::this_thread::sleep_for(kStep);
    if (!aOptions.isQuiet_ && i % kStepsPerLine == 0) {
      PrintProgress(aProgress, Now() - aStart);
    }
  }
  if (!aOptions.isQuiet_) {
    PrintProgress(aProgress, Now() - aStart);
    std::fprintf(stderr, "\n");
  }
}

// The results of all workers together.
WorkerResult MergeResults(const LoadOptions& aOptions, const Workers& aWorkers)
{
  WorkerResult merged;
  merged.steps_.resize(aOptions.steps_.size());
  for (const auto& worker : aWorkers) {
    const WorkerResult& result = worker->Result();
    merged.total_.Merge(result.total_);
    merged.unsent_ += result.unsent_;
    merged.history_ += result.history_;
    for (size_t i = 0; i < merged.steps_.size(); ++i) {
      merged.steps_[i].Merge(result.steps_[i]);
    }
    const size_t rows =
      std::max(merged.timeline_.size(), result.timeline_.size());
    merged.timeline_.resize(rows);
    for (size_t i = 0; i < result.timeline_.size(); ++i) {
      merged.timeline_[i].Merge(result.timeline_[i]);
    }
  }
  return merged;
}

json::array TimelineToJson(const LoadOptions& aOptions,
                           const std::vector<TimelineRow>& aRows)
{
  json::array array;
  double startMs = 0;
  for (const TimelineRow& row : aRows) {
    array.push_back(
      { { "start_ms", startMs },
        { "sent", row.sent_ },
        { "whole", row.whole_ },
        { "partial", row.partial_ },
        { "not_run", row.notRun_ },
        { "failed", row.failed_ },
        { "shards_asked", row.shardsAsked_ },
        { "shards_answered", row.shardsAnswered_ },
        { "p50_ms", ToMilliseconds(row.latency_.Quantile(0.5)) },
        { "p99_ms", ToMilliseconds(row.latency_.Quantile(0.99)) } });
    startMs += ToMilliseconds(aOptions.timelineStep_);
  }
  return array;
}

absl::Status WriteText(const std::string& aPath, const std::string& aText)
{
  if (aPath.empty()) {
    return absl::OkStatus();
  }
  std::ofstream file(aPath, std::ios::binary | std::ios::trunc);
  file << aText;
  file.close();
  if (!file) {
    return MakeError(ErrorKind::InvalidSettings,
                     "cannot write " + aPath +
                       "; give a file in a folder that exists");
  }
  return absl::OkStatus();
}

std::string TimelineToCsv(const json::array& aRows)
{
  std::string text;
  for (const json::value& row : aRows) {
    std::string names;
    std::string values;
    for (const auto& cell : row.as_object()) {
      const char* separator = values.empty() ? "" : ",";
      names += separator + std::string(cell.key());
      values += separator + json::serialize(cell.value());
    }
    text += text.empty() ? names + "\n" : "";
    text += values + "\n";
  }
  return text;
}

json::object Report(const LoadOptions& aOptions,
                    const WorkerResult& aResult,
                    uint64_t aBackendRequests)
{
  json::array steps;
  LoadStats all;
  for (size_t i = 0; i < aResult.steps_.size(); ++i) {
    json::object step = aResult.steps_[i].ToJson();
    step["requests_per_second"] = aOptions.steps_[i].requestsPerSecond_;
    step["seconds"] = ToMilliseconds(aOptions.steps_[i].length_) / 1000;
    steps.push_back(std::move(step));
    all.Merge(aResult.steps_[i]);
  }
  json::object report{ { "seed", aOptions.seed_ },
                       { "total", aResult.total_.ToJson() },
                       { "steps", std::move(steps) },
                       { "unsent", aResult.unsent_ } };
  if (!aOptions.standins_.empty() && all.ShardsAsked() > 0) {
    const auto asked = static_cast<double>(all.ShardsAsked());
    report["backend_requests"] = aBackendRequests;
    report["extra_load_percent"] =
      kPercent * ((static_cast<double>(aBackendRequests) / asked) - 1);
  }
  report["timeline"] = TimelineToJson(aOptions, aResult.timeline_);
  return report;
}

} // namespace

absl::StatusOr<json::object> RunLoad(const LoadOptions& aOptions)
{
  const uint64_t before = BackendRequests(aOptions.standins_);
  WorkerPool pool(aOptions.workers_ + 1);
  Balancer balancer(aOptions.targets_.size());
  LoadProgress progress;
  Workers workers;
  for (size_t i = 0; i < aOptions.workers_; ++i) {
    workers.push_back(std::make_unique<LoadWorker>(
      aOptions, i, balancer, progress, pool.Context(i)));
  }
  ReadinessPoller poller(
    aOptions.ready_, balancer, pool.Context(aOptions.workers_));
  const TimePoint start = Now();
  for (const auto& worker : workers) {
    worker->Start(start);
  }
  poller.Start();
  pool.Start();
  WaitForEnd(aOptions, workers, progress, start);
  pool.Stop();
  const uint64_t after = BackendRequests(aOptions.standins_);

  const WorkerResult result = MergeResults(aOptions, workers);
  json::object report = Report(aOptions, result, after - before);
  if (auto status = WriteText(aOptions.history_, result.history_);
      !status.ok()) {
    return status;
  }
  const std::string csv = TimelineToCsv(report["timeline"].as_array());
  if (auto status = WriteText(aOptions.csv_, csv); !status.ok()) {
    return status;
  }
  return report;
}

} // namespace foxtail
