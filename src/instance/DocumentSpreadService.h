#ifndef INSTANCE_DOCUMENTSPREADSERVICE_H
#define INSTANCE_DOCUMENTSPREADSERVICE_H

#include "instance/DocumentHolder.h"
#include "instance/FrameTransport.h"
#include "instance/MembershipTypes.h"

#include <functional>
#include <memory>

namespace foxtail {

/// Result of reading the document from the control instances.
struct DocumentSourceResult
{
  VersionedText document_;
  /// A quorum has confirmed that no newer version was accepted before the read.
  bool isConfirmed_ = false;
};

struct DocumentSpreadSettings
{
  /// How often a reader of the zone reads from the control instances.
  milliseconds readInterval_{ 1000 };
  milliseconds readTimeout_{ 700 };
  /// Instances of a zone that read from the control instances.
  uint32_t readersPerZone_ = 2;
  /// How long a starting instance tries to read a version that a quorum
  /// confirms, before it takes the highest version of its peers.
  milliseconds quorumTimeout_{ 2000 };
  /// Children of an instance in the dissemination tree.
  uint32_t fanOut_ = 16;
};

/// Brings each accepted document to this instance and forwards it down a
/// dissemination tree. The instance that reads a new version from the control
/// instances is the root in its zone, and sends the document to a delegate of
/// each other zone, which is the root there. An instance that missed a document
/// reads it from a peer that publishes a newer version. Thread safe; the work
/// is done on worker 0 of the pool.
class DocumentSpreadService
{
public:
  /// Reads from the control instances. The error is Unavailable when none of
  /// them replies.
  using Source =
    std::function<boost::asio::awaitable<absl::StatusOr<DocumentSourceResult>>(
      DocumentVersion aKnown,
      milliseconds aTimeout)>;

  /// @param aSource empty when there are no control instances.
  DocumentSpreadService(DocumentSpreadSettings aSettings,
                        InstanceId aSelf,
                        ZoneName aZone,
                        DocumentHolder& aHolder,
                        Source aSource,
                        FrameTransport& aTransport,
                        WorkerPool& aWorkers);
  ~DocumentSpreadService();
  DocumentSpreadService(const DocumentSpreadService&) = delete;
  DocumentSpreadService& operator=(const DocumentSpreadService&) = delete;

  /// Sets the listener, which is called on worker 0 with the version of each
  /// applied document.
  void OnApplied(std::function<void(DocumentVersion)> aListener);
  /// Registers the handlers of DocumentSpread and DocumentRead frames. Call
  /// before FrameTransport::Start().
  void Attach();
  /// @param aEndpoint frame endpoint of this instance.
  /// @param aSeeds frame endpoints of peers to read from at the start.
  void Start(std::string aEndpoint, std::vector<std::string> aSeeds);
  void Stop();

  /// Sets the instances that are alive.
  void SetView(std::shared_ptr<const MembershipView> aView);
  /// Reads the document from a peer when the peer's version is newer.
  void OnPeerVersion(const std::string& aEndpoint, DocumentVersion aVersion);

  /// @return whether the start is complete: the highest version of a quorum of
  /// control instances, or of all reachable peers, is in force.
  bool IsReady() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

} // namespace foxtail

#endif // INSTANCE_DOCUMENTSPREADSERVICE_H
