#include "instance/InstanceRuntime.h"

namespace foxtail {

namespace {

FrameTransportSettings TransportSettingsOf(
  const InstanceRuntimeSettings& aSettings)
{
  FrameTransportSettings settings = aSettings.transport_;
  settings.instance_ = aSettings.instance_;
  return settings;
}

Member SelfOf(const InstanceRuntimeSettings& aSettings)
{
  Member self;
  self.instance_ = aSettings.instance_;
  self.zone_ = aSettings.zone_;
  self.platformEndpoint_ = aSettings.platformEndpoint_;
  return self;
}

} // namespace

bool InstanceRuntimeSettings::Read(JsonReader& aReader)
{
  constexpr size_t kMaxPeers = 64;
  const bool isGiven = aReader.Has("instances");
  aReader.Object("instances", [&](JsonReader& aMember) {
    transport_ = FrameTransportSettings::Read(aMember);
  });
  aReader.Object("membership", [&](JsonReader& aMember) {
    membership_ = MembershipSettings::Read(aMember);
  });
  membership_.seeds_ = aReader.Strings("peers", kMaxPeers);
  return isGiven;
}

InstanceRuntime::InstanceRuntime(InstanceRuntimeSettings aSettings,
                                 WorkerPool& aWorkers,
                                 RcuCell<Document>& aDocument)
  : settings_(std::move(aSettings))
  , workers_(aWorkers)
  , transport_(TransportSettingsOf(settings_), aWorkers)
  , membership_(settings_.membership_, SelfOf(settings_), transport_, aWorkers)
  , announcements_(settings_.announcements_,
                   settings_.instance_,
                   settings_.zone_,
                   transport_,
                   aWorkers)
  , holder_(aDocument)
{
}

void InstanceRuntime::SetAnnouncementSink(AnnouncementSink* aSink)
{
  announcements_.SetSink(aSink);
}

void InstanceRuntime::SetDocumentSource(DocumentSpreadService::Source aSource)
{
  documentSource_ = std::move(aSource);
}

void InstanceRuntime::OnDocument(std::function<void()> aListener)
{
  documentListener_ = std::move(aListener);
}

void InstanceRuntime::OnView(MembershipService::ViewListener aListener)
{
  viewListener_ = std::move(aListener);
}

absl::Status InstanceRuntime::Start()
{
  documents_ = std::make_unique<DocumentSpreadService>(settings_.documents_,
                                                       settings_.instance_,
                                                       settings_.zone_,
                                                       holder_,
                                                       documentSource_,
                                                       transport_,
                                                       workers_);
  documents_->OnApplied([this](DocumentVersion aVersion) {
    membership_.SetDocumentVersion(aVersion);
    if (documentListener_) {
      documentListener_();
    }
  });
  membership_.OnView(
    [this](const std::shared_ptr<const MembershipView>& aView) {
      announcements_.SetView(aView);
      documents_->SetView(aView);
      if (viewListener_) {
        viewListener_(aView);
      }
    });
  membership_.OnPeerDocumentVersion([this](const InstanceId&,
                                           const std::string& aEndpoint,
                                           DocumentVersion aVersion) {
    documents_->OnPeerVersion(aEndpoint, aVersion);
  });
  membership_.Attach();
  announcements_.Attach();
  documents_->Attach();
  if (auto status = transport_.Start(); !status.ok()) {
    return status;
  }
  membership_.Start();
  announcements_.Start(Endpoint());
  documents_->Start(Endpoint(), settings_.membership_.seeds_);
  return absl::OkStatus();
}

void InstanceRuntime::BeginLeave()
{
  membership_.BeginLeave();
}

void InstanceRuntime::Stop()
{
  documents_->Stop();
  announcements_.Stop();
  membership_.Stop();
}

void InstanceRuntime::OnDirectAnnouncement(const Announcement& aAnnouncement)
{
  announcements_.OnServerAnnouncement(aAnnouncement);
}

bool InstanceRuntime::IsReady() const
{
  return documents_ != nullptr && documents_->IsReady();
}

std::string InstanceRuntime::Endpoint() const
{
  const std::string& address = settings_.transport_.address_;
  const bool isV6 = address.find(':') != std::string::npos;
  return (isV6 ? "[" + address + "]" : address) + ":" +
         std::to_string(transport_.Port());
}

void InstanceRuntime::Export(Metrics& aMetrics) const
{
  membership_.Export(aMetrics);
  announcements_.Export(aMetrics);
}

} // namespace foxtail
