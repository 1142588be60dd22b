#ifndef INSTANCE_FRAMELINK_H
#define INSTANCE_FRAMELINK_H

#include "core/RandomSource.h"
#include "instance/FrameConnection.h"

#include <memory>
#include <unordered_map>

namespace foxtail {

/// One call that waits for its reply. Timer and result are used on the caller's
/// executor only; the phase is shared with the link's worker.
struct PendingCall
{
  explicit PendingCall(boost::asio::any_io_executor aExecutor)
    : executor_(std::move(aExecutor))
    , timer_(executor_)
  {
  }

  boost::asio::any_io_executor executor_;
  boost::asio::steady_timer timer_;
  std::optional<absl::StatusOr<Frame>> result_;
  std::shared_ptr<std::atomic<CallPhase>> phase_ =
    std::make_shared<std::atomic<CallPhase>>(CallPhase::Queued);
};

/// Posts @p aResult to the caller's executor. A call that already has a result
/// keeps it.
void CompleteCall(const std::shared_ptr<PendingCall>& aCall,
                  absl::StatusOr<Frame> aResult);

/// Outgoing link to one peer: connects on demand, reconnects with jittered
/// exponential backoff, and matches replies to calls. Runs on one worker's
/// context.
class FrameLink : public std::enable_shared_from_this<FrameLink>
{
public:
  FrameLink(boost::asio::any_io_executor aExecutor,
            boost::asio::ip::tcp::endpoint aEndpoint,
            const FrameTransportSettings& aSettings,
            std::shared_ptr<FrameCounters> aCounters,
            uint64_t aSeed);

  boost::asio::any_io_executor Executor() const { return executor_; }

  void Send(const Frame& aFrame);
  void StartCall(uint64_t aCorrelation,
                 const Frame& aFrame,
                 std::shared_ptr<PendingCall> aCall);
  void RemoveCall(uint64_t aCorrelation);
  void Stop();

private:
  bool EnsureConnection();
  void StartBackoff();
  void FailCalls();
  void HandleReply(WireFrame aFrame);
  boost::asio::awaitable<void> Run(
    std::shared_ptr<FrameConnection> aConnection);
  boost::asio::awaitable<void> RunKeepAlive();

  boost::asio::any_io_executor executor_;
  boost::asio::ip::tcp::endpoint endpoint_;
  const FrameTransportSettings& settings_;
  std::shared_ptr<FrameCounters> counters_;
  RandomSource random_;
  std::shared_ptr<FrameConnection> connection_;
  std::unordered_map<uint64_t, std::shared_ptr<PendingCall>> pendingCalls_;
  TimePoint retryAt_{};
  milliseconds backoff_{ 0 };
  bool isKeepAliveRunning_ = false;
  bool isStopped_ = false;
};

} // namespace foxtail

#endif // INSTANCE_FRAMELINK_H
