#ifndef INSTANCE_MEMBERSHIPSERVICE_H
#define INSTANCE_MEMBERSHIPSERVICE_H

#include "core/Metrics.h"
#include "core/RcuCell.h"
#include "instance/FrameTransport.h"
#include "instance/MembershipState.h"

#include <atomic>
#include <memory>

namespace foxtail {

/// Runs the membership protocol over a FrameTransport and publishes the view.
/// Thread safe; the protocol itself runs on one worker.
class MembershipService
{
public:
  /// Called on the service's worker after each change of the view.
  using ViewListener =
    std::function<void(const std::shared_ptr<const MembershipView>&)>;
  /// Called on the service's worker with the document version that each
  /// received message carries.
  using DocumentVersionListener =
    std::function<void(const InstanceId& aFrom,
                       const std::string& aEndpoint,
                       DocumentVersion aVersion)>;

  /// @param aSelf this instance. An incarnation of 0 is replaced by the time in
  /// milliseconds since the epoch; an empty endpoint is set by Start() to that
  /// of @p aTransport.
  MembershipService(MembershipSettings aSettings,
                    Member aSelf,
                    FrameTransport& aTransport,
                    WorkerPool& aWorkers);
  ~MembershipService();
  MembershipService(const MembershipService&) = delete;
  MembershipService& operator=(const MembershipService&) = delete;

  /// Sets a listener; call before Start().
  void OnView(ViewListener aListener);
  void OnPeerDocumentVersion(DocumentVersionListener aListener);

  /// Registers the handler of Membership frames; call before
  /// FrameTransport::Start().
  void Attach();
  /// Starts the protocol; call after FrameTransport::Start().
  void Start();

  /// Notifies the zone that this instance is shutting down.
  void BeginLeave();
  /// Deregisters this instance from the zone and stops the protocol.
  void Stop();

  void SetDocumentVersion(DocumentVersion aVersion);

  /// @return the present view, never null.
  std::shared_ptr<const MembershipView> View() const;
  const RcuCell<MembershipView>& ViewCell() const;
  /// @return the number of reachable entry instances, at least 1; costs one
  /// atomic load.
  uint32_t LiveEntryCount() const;

  /// Exports the sizes of the view and the counters of the transport.
  void Export(Metrics& aMetrics) const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

} // namespace foxtail

#endif // INSTANCE_MEMBERSHIPSERVICE_H
