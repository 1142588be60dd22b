#ifndef LOAD_LOADWORKER_H
#define LOAD_LOADWORKER_H

#include "load/ArrivalSchedule.h"
#include "load/Balancer.h"
#include "load/ConnectionPool.h"
#include "load/LoadOptions.h"
#include "load/LoadStats.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace foxtail {

/// Counts that the progress line reads while workers run.
struct LoadProgress
{
  std::atomic<uint64_t> sent_{ 0 };
  std::atomic<uint64_t> done_{ 0 };
  std::atomic<uint64_t> whole_{ 0 };
  std::atomic<uint64_t> failed_{ 0 };
};

/// What one worker has measured.
struct WorkerResult
{
  /// Requests due after the warm-up.
  LoadStats total_;
  /// Every request, by the step in which it was due.
  std::vector<LoadStats> steps_;
  std::vector<TimelineRow> timeline_;
  /// JSON lines, when a history is wanted.
  std::string history_;
  /// Arrivals left out because too many requests were open.
  uint64_t unsent_ = 0;
};

/// Sends one worker's share of an open loop and measures it. Everything but
/// the results runs on one io_context.
class LoadWorker
{
public:
  LoadWorker(const LoadOptions& aOptions,
             size_t aIndex,
             Balancer& aBalancer,
             LoadProgress& aProgress,
             boost::asio::io_context& aContext);

  /// Begins at @p aStart.
  void Start(TimePoint aStart);

  /// @return whether every request has ended. Thread safe.
  bool IsDone() const { return isScheduled_ && open_ == 0; }

  /// Call when IsDone().
  const WorkerResult& Result() const { return result_; }

private:
  // One request, through its resends.
  struct Operation
  {
    uint64_t number_ = 0;
    size_t step_ = 0;
    Duration due_{};
    std::string service_;
    std::string token_;
  };

  boost::asio::awaitable<void> RunSchedule();
  boost::asio::awaitable<void> RunOperation(Operation aOperation);
  boost::asio::awaitable<AnswerVerdict> SendOnce(const Operation& aOperation);
  HttpRequest MakeOperationRequest(const Operation& aOperation) const;
  bool IsResent(const AnswerVerdict& aVerdict) const;
  void Record(const Operation& aOperation,
              const LoadSample& aSample,
              TimePoint aSentAt,
              uint32_t aTries);
  void AddHistory(const Operation& aOperation,
                  const LoadSample& aSample,
                  Duration aSentAt,
                  uint32_t aTries);

  const LoadOptions& options_;
  const size_t index_;
  Balancer& balancer_;
  LoadProgress& progress_;
  boost::asio::io_context& context_;
  ArrivalSchedule schedule_;
  std::vector<std::unique_ptr<ConnectionPool>> pools_;
  TimePoint start_;
  WorkerResult result_;
  std::atomic<bool> isScheduled_{ false };
  std::atomic<size_t> open_{ 0 };
};

} // namespace foxtail

#endif // LOAD_LOADWORKER_H
