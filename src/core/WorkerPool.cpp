#include "core/WorkerPool.h"

#include <csignal>
#include <pthread.h>

namespace foxtail {
namespace {

sigset_t StopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  return signals;
}

} // namespace

WorkerPool::WorkerPool(size_t aThreads)
{
  constexpr int kOneThread = 1;
  for (size_t i = 0; i < aThreads; ++i) {
    contexts_.push_back(std::make_unique<WorkerContext>(kOneThread));
    guards_.emplace_back(contexts_.back()->get_executor());
  }
}

WorkerPool::~WorkerPool()
{
  Stop();
  // A coroutine suspended on one context may own a socket of another, so the
  // coroutines of all contexts are destroyed while every context still exists.
  for (auto& context : contexts_) {
    context->shutdown();
  }
}

void WorkerPool::Start()
{
  for (auto& context : contexts_) {
    threads_.emplace_back([&context] { context->run(); });
  }
}

void WorkerPool::Stop()
{
  for (auto& context : contexts_) {
    context->stop();
  }
  for (std::thread& thread : threads_) {
    thread.join();
  }
  threads_.clear();
}

void BlockStopSignals()
{
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  // A write to a connection that the peer has closed must fail with an error
  // instead of ending the process.
  std::signal(SIGPIPE, SIG_IGN);
}

int WaitForStopSignal(const std::function<void()>& aOnReload)
{
  const sigset_t signals = StopSignals();
  int signal = 0;
  while (sigwait(&signals, &signal) != 0 || signal == SIGHUP) {
    if (signal == SIGHUP && aOnReload) {
      aOnReload();
    }
  }
  return signal;
}

} // namespace foxtail
