#ifndef CORE_WORKERPOOL_H
#define CORE_WORKERPOOL_H

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace foxtail {

/// Fixed number of threads, each of which runs its own io_context, so that
/// handlers on the same context need no locks between them. Construct, start
/// and stop from one thread; Context() is thread safe.
class WorkerPool
{
public:
  /// @param aThreads number of threads, at least 1.
  explicit WorkerPool(size_t aThreads);
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  size_t Size() const { return contexts_.size(); }
  /// @param aIndex any value; reduced modulo Size().
  boost::asio::io_context& Context(size_t aIndex)
  {
    return *contexts_[aIndex % contexts_.size()];
  }

  void Start();
  /// Waits for running handlers to finish and joins the threads. Queued
  /// handlers are not run.
  void Stop();

private:
  // Exposes shutdown(), so that the pool can destroy the pending operations of
  // every context before any context is destroyed.
  class WorkerContext : public boost::asio::io_context
  {
  public:
    using boost::asio::execution_context::shutdown;
    using boost::asio::io_context::io_context;
  };
  using WorkGuard =
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

  std::vector<std::unique_ptr<WorkerContext>> contexts_;
  std::vector<WorkGuard> guards_;
  std::vector<std::thread> threads_;
};

/// Blocks the calling thread until the process receives SIGTERM or SIGINT. Call
/// BlockStopSignals() first, before any thread starts.
///
/// @param aOnReload called for each SIGHUP, which does not end the wait.
/// @return the number of the signal received.
int WaitForStopSignal(const std::function<void()>& aOnReload = {});
/// Blocks SIGTERM, SIGINT and SIGHUP in the calling thread and in threads that
/// it starts later, and ignores SIGPIPE.
void BlockStopSignals();

} // namespace foxtail

#endif // CORE_WORKERPOOL_H
