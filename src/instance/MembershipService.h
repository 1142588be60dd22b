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
  /// Called on the service's worker when a peer tells the version of its
  /// document.
  using DocumentVersionListener =
    std::function<void(const InstanceId& aFrom,
                       const std::string& aEndpoint,
                       DocumentVersion aVersion)>;

  /// @param aSelf this instance; endpoint and incarnation are filled in by
  /// Start() when they are empty.
  MembershipService(MembershipSettings aSettings,
                    Member aSelf,
                    FrameTransport& aTransport,
                    WorkerPool& aWorkers);
  ~MembershipService();
  MembershipService(const MembershipService&) = delete;
  MembershipService& operator=(const MembershipService&) = delete;

  /// Registers before Start().
  void OnView(ViewListener aListener);
  void OnPeerDocumentVersion(DocumentVersionListener aListener);

  /// Registers the frames' handler; call before FrameTransport::Start().
  void Attach();
  /// Begins to probe; call after FrameTransport::Start().
  void Start();

  /// Tells the zone that this instance is shutting down.
  void BeginLeave();
  /// Tells the zone that this instance has left, and stops probing.
  void Stop();

  void SetDocumentVersion(DocumentVersion aVersion);

  /// @return the present view, never null.
  std::shared_ptr<const MembershipView> View() const;
  const RcuCell<MembershipView>& ViewCell() const;
  /// @return the live entry instances, at least 1; one atomic load.
  uint32_t LiveEntryCount() const;

  /// Exports the view's sizes and the bytes sent and received.
  void Export(Metrics& aMetrics) const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

} // namespace foxtail

#endif // INSTANCE_MEMBERSHIPSERVICE_H
