#ifndef INSTANCE_INSTANCERUNTIME_H
#define INSTANCE_INSTANCERUNTIME_H

#include "instance/AnnouncementSpreadService.h"
#include "instance/DocumentSpreadService.h"
#include "instance/MembershipService.h"

#include <functional>
#include <string>
#include <vector>

namespace foxtail {

struct InstanceRuntimeSettings
{
  InstanceId instance_;
  ZoneName zone_;
  FrameTransportSettings transport_;
  MembershipSettings membership_;
  AnnouncementSpreadSettings announcements_;
  DocumentSpreadSettings documents_;
  /// Endpoint of the platform port, published to the other instances.
  std::string platformEndpoint_;

  /// Reads the members "instances", "membership" and "peers".
  ///
  /// @return whether "instances" is present; without it, an entry instance runs
  /// alone.
  bool Read(JsonReader& aReader);
};

/// Services by which an entry instance exchanges membership, announcements of
/// backend servers and the accepted document with other instances, over one
/// transport. The methods are thread safe after Start().
class InstanceRuntime
{
public:
  /// @param aWorkers worker 0 runs the protocols; a separate pool of one thread
  /// keeps them from delaying requests.
  /// @param aDocument receives each accepted document.
  InstanceRuntime(InstanceRuntimeSettings aSettings,
                  WorkerPool& aWorkers,
                  RcuCell<Document>& aDocument);

  FrameTransport& Transport() { return transport_; }
  const MembershipService& Membership() const { return membership_; }
  const DocumentHolder& Documents() const { return holder_; }

  /// The setters and listeners must be set before Start().
  void SetAnnouncementSink(AnnouncementSink* aSink);
  void SetDocumentSource(DocumentSpreadService::Source aSource);
  /// @param aListener called on worker 0 after each adopted document.
  void OnDocument(std::function<void()> aListener);
  /// @param aListener called on worker 0 after each change of the view.
  void OnView(MembershipService::ViewListener aListener);

  absl::Status Start();
  /// Notifies the zone that this instance is shutting down and accepts no new
  /// queries.
  void BeginLeave();
  /// Stops the services and deregisters this instance.
  void Stop();

  /// Forwards an announcement, which a backend server sent to this instance, to
  /// the other instances.
  void OnDirectAnnouncement(const Announcement& aAnnouncement);

  /// @return whether the highest document version of a quorum of control
  /// instances, or of all reachable peers, is in force.
  bool IsReady() const;
  /// @return the number of entry instances that share the connections, at
  /// least 1.
  uint32_t LiveEntryCount() const { return membership_.LiveEntryCount(); }
  /// @return the endpoint at which this instance receives frames.
  std::string Endpoint() const;

  void Export(Metrics& aMetrics) const;

private:
  InstanceRuntimeSettings settings_;
  WorkerPool& workers_;
  FrameTransport transport_;
  MembershipService membership_;
  AnnouncementSpreadService announcements_;
  DocumentHolder holder_;
  std::unique_ptr<DocumentSpreadService> documents_;
  DocumentSpreadService::Source documentSource_;
  std::function<void()> documentListener_;
  MembershipService::ViewListener viewListener_;
};

} // namespace foxtail

#endif // INSTANCE_INSTANCERUNTIME_H
