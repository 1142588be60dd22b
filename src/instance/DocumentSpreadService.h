#ifndef INSTANCE_DOCUMENTSPREADSERVICE_H
#define INSTANCE_DOCUMENTSPREADSERVICE_H

#include "instance/DocumentHolder.h"
#include "instance/FrameTransport.h"
#include "instance/MembershipTypes.h"

#include <functional>
#include <memory>

namespace foxtail {

/// What the control instances answered to a read.
struct DocumentSourceResult
{
  VersionedText document_;
  /// A quorum has confirmed that nothing newer was accepted before.
  bool isConfirmed_ = false;
};

struct DocumentSpreadSettings
{
  /// How often a reader of the zone asks the control instances.
  milliseconds readInterval_{ 1000 };
  milliseconds readTimeout_{ 700 };
  /// Instances of a zone that ask the control instances.
  uint32_t readersPerZone_ = 2;
  /// How long a starting instance asks for a quorum's word before it takes the
  /// highest version of its zone.
  milliseconds quorumTimeout_{ 2000 };
  /// Children of an instance in the tree by which a document travels.
  uint32_t fanOut_ = 16;
};

/// Brings each accepted document to this instance and passes it on: down a tree
/// from whoever hears it first, repaired by the versions that peers tell.
/// Thread safe; its steps run on worker 0 of the pool.
class DocumentSpreadService
{
public:
  /// Reads from the control instances; Unavailable when none answers.
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

  /// Called on worker 0 after each adoption.
  void OnApplied(std::function<void(DocumentVersion)> aListener);
  /// Registers the frames' handlers; call before FrameTransport::Start().
  void Attach();
  /// @param aEndpoint endpoint of frames of this instance.
  /// @param aSeeds endpoints of peers to ask at the start.
  void Start(std::string aEndpoint, std::vector<std::string> aSeeds);
  void Stop();

  void SetView(std::shared_ptr<const MembershipView> aView);
  /// Takes the version that a peer told; asks for the text when it is newer.
  void OnPeerVersion(const std::string& aEndpoint, DocumentVersion aVersion);

  /// @return whether the highest version of a quorum of control instances, or
  /// of all peers that can be reached, is in force.
  bool IsReady() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

} // namespace foxtail

#endif // INSTANCE_DOCUMENTSPREADSERVICE_H
