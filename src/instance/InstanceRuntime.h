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
  /// Endpoint of the platform port, told to the other instances.
  std::string platformEndpoint_;

  /// Reads the members instances, membership and peers.
  ///
  /// @return whether the member instances is there: without it an entry
  /// instance works on its own.
  bool Read(JsonReader& aReader);
};

/// What an entry instance shares with the others: who is alive, announcements
/// of backend servers and the accepted document, over one transport. The
/// methods are thread safe after Start().
class InstanceRuntime
{
public:
  /// @param aWorkers its worker 0 runs all of it; one thread of its own keeps
  /// it off the path of requests.
  /// @param aDocument gets each accepted document.
  InstanceRuntime(InstanceRuntimeSettings aSettings,
                  WorkerPool& aWorkers,
                  RcuCell<Document>& aDocument);

  FrameTransport& Transport() { return transport_; }
  const MembershipService& Membership() const { return membership_; }
  const DocumentHolder& Documents() const { return holder_; }

  /// Call before Start().
  void SetAnnouncementSink(AnnouncementSink* aSink);
  void SetDocumentSource(DocumentSpreadService::Source aSource);
  /// @param aListener is called on worker 0 after each adopted document.
  void OnDocument(std::function<void()> aListener);
  /// @param aListener is called on worker 0 after each change of the view.
  void OnView(MembershipService::ViewListener aListener);

  absl::Status Start();
  /// Tells the others that this instance takes no new queries.
  void BeginLeave();
  /// Tells the others that this instance has left.
  void Stop();

  /// Passes on an announcement that a backend server sent to this instance.
  void OnDirectAnnouncement(const Announcement& aAnnouncement);

  /// @return whether the newest document that can be learned is in force.
  bool IsReady() const;
  /// @return entry instances that share the connections, at least 1.
  uint32_t LiveEntryCount() const { return membership_.LiveEntryCount(); }
  /// @return endpoint of frames of this instance.
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
