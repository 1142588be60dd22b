#ifndef CONTROL_CLAIMCLIENT_H
#define CONTROL_CLAIMCLIENT_H

#include "caller/ClaimStore.h"
#include "control/CommandMessages.h"
#include "control/ControlSettings.h"
#include "core/Metrics.h"
#include "core/RandomSource.h"
#include "instance/FrameTransport.h"

#include <mutex>
#include <unordered_map>

namespace foxtail {

/// Claim store of an entry instance; the control instances keep the claims.
/// Finds the leader, and resends a command under the same grant after a lost
/// reply, so that a claim is granted once however often it is sent. Thread
/// safe.
class ClaimClient : public ClaimStore
{
public:
  /// @param aPeers the control instances; at least one.
  ClaimClient(const std::vector<ControlPeer>& aPeers,
              FrameTransport& aFrames,
              Metrics& aMetrics,
              uint64_t aSeed = RandomSource::SystemSeed());

  boost::asio::awaitable<absl::StatusOr<ClaimResult>> Claim(
    ClaimRequest aRequest,
    milliseconds aTimeout) override;
  boost::asio::awaitable<absl::Status> Record(ClaimRequest aRequest,
                                              ActionRecord aRecord,
                                              milliseconds aTimeout) override;
  boost::asio::awaitable<absl::Status> Release(ClaimRequest aRequest,
                                               milliseconds aTimeout) override;

private:
  /// A command that is being sent to the leader.
  struct PendingCommand
  {
    std::string payload_;
    TimePoint deadline_;
    /// Whether a control instance may have appended the command to the log.
    bool mayBeAppended_ = false;
    size_t attempts_ = 0;
  };

  boost::asio::awaitable<absl::StatusOr<ClaimResult>> Send(
    PendingCommand& aCommand);
  boost::asio::awaitable<absl::StatusOr<CommandReply>> SendOnce(
    PendingCommand& aCommand);
  /// Releases a claim that got no reply, without waiting for the result.
  void ReleaseInBackground(const boost::asio::any_io_executor& aExecutor,
                           ClaimRequest aRequest,
                           GrantId aGrant);
  boost::asio::awaitable<void> SendRelease(ClaimRequest aRequest,
                                           GrantId aGrant);
  absl::Status TimeoutError(const PendingCommand& aCommand) const;

  FrameTransport::Endpoint Target();
  void SetTarget(const std::string& aLeader);
  /// Selects the next control instance, unless @p aFailed is no longer the
  /// target.
  void SelectNextTarget(const FrameTransport::Endpoint& aFailed);
  GrantId NewGrant();
  GrantId GrantOf(const ClaimRequest& aRequest);
  void StoreGrant(const ClaimRequest& aRequest, GrantId aGrant);
  void EraseGrant(const ClaimRequest& aRequest);

  FrameTransport& frames_;
  std::mutex mutex_;
  std::vector<FrameTransport::Endpoint> endpoints_;
  FrameTransport::Endpoint target_;
  size_t targetIndex_ = 0;
  RandomSource random_;
  /// Grants with no record or release sent yet, by service and key.
  std::unordered_map<std::string, GrantId> grants_;
  prometheus::Counter& resends_;
  prometheus::Histogram& claimSeconds_;
};

} // namespace foxtail

#endif // CONTROL_CLAIMCLIENT_H
