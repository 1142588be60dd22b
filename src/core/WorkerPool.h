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

/// A few threads, each with an io_context of its own, so that what runs on one
/// context needs no lock against itself. Construct, start and stop from one
/// thread; Context() is thread safe.
class WorkerPool
{
public:
  /// @param aThreads at least 1.
  explicit WorkerPool(size_t aThreads);
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  size_t Size() const { return contexts_.size(); }
  /// @param aIndex any number; taken modulo Size().
  boost::asio::io_context& Context(size_t aIndex)
  {
    return *contexts_[aIndex % contexts_.size()];
  }

  void Start();
  /// Lets the running handlers end, drops the rest and joins the threads.
  void Stop();

private:
  // Lets the pool end what waits on every context before any of them is freed.
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

/// Blocks until SIGTERM or SIGINT arrives, on the calling thread. Call
/// BlockStopSignals() first, before any thread starts.
///
/// @param aOnReload is called for each SIGHUP, which ends nothing.
int WaitForStopSignal(const std::function<void()>& aOnReload = {});
void BlockStopSignals();

} // namespace foxtail

#endif // CORE_WORKERPOOL_H
