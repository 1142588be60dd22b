#include "instance/MembershipService.h"

#include "core/Log.h"
#include "instance/Endpoint.h"
#include "instance/MembershipCodec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace foxtail {

namespace asio = boost::asio;

namespace {

constexpr milliseconds kTickInterval{ 50 };

Member WithIncarnation(Member aSelf)
{
  if (aSelf.incarnation_.Value() == 0) {
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    aSelf.incarnation_ = Incarnation(
      static_cast<uint64_t>(duration_cast<milliseconds>(wall).count()));
  }
  return aSelf;
}

LogLevel LevelOf(MembershipEventKind aKind)
{
  switch (aKind) {
    case MembershipEventKind::Suspected:
    case MembershipEventKind::Removed:
    case MembershipEventKind::ZoneUnreachable:
    case MembershipEventKind::NameClash:
      return LogLevel::Warning;
    case MembershipEventKind::Joined:
    case MembershipEventKind::Refuted:
    case MembershipEventKind::Leaving:
    case MembershipEventKind::ZoneReachable:
      break;
  }
  return LogLevel::Info;
}

} // namespace

struct MembershipService::Impl
  : std::enable_shared_from_this<MembershipService::Impl>
{
  Impl(MembershipSettings aSettings,
       Member aSelf,
       FrameTransport& aTransport,
       WorkerPool& aWorkers)
    : settings_(std::move(aSettings))
    , self_(WithIncarnation(std::move(aSelf)))
    , transport_(aTransport)
    , context_(aWorkers.Context(0))
    , timer_(context_)
    , cell_(std::make_shared<MembershipView>())
  {
  }

  void HandleFrame(const InstanceId& aFrom, const Frame& aFrame);
  asio::awaitable<void> Run();
  void SendAll(const MembershipState::Messages& aMessages);
  void LogEvents();
  void PublishIfChanged();

  MembershipSettings settings_;
  Member self_;
  FrameTransport& transport_;
  asio::io_context& context_;
  asio::steady_timer timer_;
  ViewListener viewListener_;
  DocumentVersionListener documentVersionListener_;
  RcuCell<MembershipView> cell_;
  std::atomic<uint32_t> liveEntryCount_{ 1 };
  std::atomic<bool> isStopped_{ false };

  // Used on the context's thread only, after Start().
  std::unique_ptr<MembershipState> state_;
  uint64_t publishedGeneration_ = 0;
};

void MembershipService::Impl::SendAll(
  const MembershipState::Messages& aMessages)
{
  for (const OutgoingMembershipMessage& outgoing : aMessages) {
    const auto endpoint = ToEndpoint(outgoing.to_);
    if (!endpoint) {
      continue;
    }
    Frame frame;
    frame.kind_ = FrameKind::Membership;
    frame.payload_ = EncodeMembership(outgoing.message_);
    transport_.Send(*endpoint, std::move(frame));
  }
}

void MembershipService::Impl::LogEvents()
{
  for (const MembershipEvent& event : state_->TakeEvents()) {
    LogLine(LevelOf(event.kind_), NameOf(event.kind_))
      .Add("instance", event.instance_)
      .Add("zone", event.zone_)
      .Add("seen_by", self_.instance_);
  }
}

void MembershipService::Impl::PublishIfChanged()
{
  LogEvents();
  if (state_->Generation() == publishedGeneration_) {
    return;
  }
  publishedGeneration_ = state_->Generation();
  auto view = std::make_shared<const MembershipView>(state_->MakeView(Now()));
  liveEntryCount_ = std::max<uint32_t>(1, view->LiveEntryCount());
  cell_.Publish(view);
  if (viewListener_) {
    viewListener_(view);
  }
}

void MembershipService::Impl::HandleFrame(const InstanceId& aFrom,
                                          const Frame& aFrame)
{
  auto message = DecodeMembership(aFrame.payload_);
  if (!message.ok() || message->from_ != aFrom) {
    LogLine(LogLevel::Warning, "membership_refused")
      .Add("instance", aFrom)
      .Add("reason",
           message.ok() ? "sender does not match the connection" : "malformed");
    return;
  }
  asio::post(context_,
             [self = shared_from_this(), message = std::move(*message)] {
               if (self->isStopped_ || self->state_ == nullptr) {
                 return;
               }
               self->SendAll(self->state_->OnMessage(message, Now()));
               if (self->documentVersionListener_) {
                 self->documentVersionListener_(
                   message.from_, message.endpoint_, message.documentVersion_);
               }
               self->PublishIfChanged();
             });
}

asio::awaitable<void> MembershipService::Impl::Run()
{
  const auto self = shared_from_this();
  while (!isStopped_) {
    SendAll(state_->OnTick(Now()));
    PublishIfChanged();
    timer_.expires_after(kTickInterval);
    boost::system::error_code ignored;
    co_await timer_.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
}

MembershipService::MembershipService(MembershipSettings aSettings,
                                     Member aSelf,
                                     FrameTransport& aTransport,
                                     WorkerPool& aWorkers)
  : impl_(std::make_shared<Impl>(std::move(aSettings),
                                 std::move(aSelf),
                                 aTransport,
                                 aWorkers))
{
}

MembershipService::~MembershipService()
{
  impl_->isStopped_ = true;
}

void MembershipService::OnView(ViewListener aListener)
{
  impl_->viewListener_ = std::move(aListener);
}

void MembershipService::OnPeerDocumentVersion(DocumentVersionListener aListener)
{
  impl_->documentVersionListener_ = std::move(aListener);
}

void MembershipService::Attach()
{
  impl_->transport_.OnFrame(FrameKind::Membership,
                            [impl = std::weak_ptr<Impl>(impl_)](
                              const InstanceId& aFrom, const Frame& aFrame) {
                              if (const auto self = impl.lock()) {
                                self->HandleFrame(aFrom, aFrame);
                              }
                            });
}

void MembershipService::Start()
{
  asio::post(impl_->context_, [impl = impl_] {
    if (impl->self_.endpoint_.empty()) {
      impl->self_.endpoint_ = impl->transport_.Address() + ":" +
                              std::to_string(impl->transport_.Port());
    }
    impl->state_ = std::make_unique<MembershipState>(
      impl->settings_, impl->self_, RandomSource::SystemSeed());
    asio::co_spawn(impl->context_, impl->Run(), asio::detached);
  });
}

void MembershipService::BeginLeave()
{
  asio::post(impl_->context_, [impl = impl_] {
    if (impl->state_ != nullptr && !impl->isStopped_) {
      impl->state_->BeginLeave();
    }
  });
}

void MembershipService::Stop()
{
  asio::post(impl_->context_, [impl = impl_] {
    if (impl->state_ != nullptr && !impl->isStopped_.exchange(true)) {
      impl->SendAll(impl->state_->Leave());
      impl->timer_.cancel();
    }
  });
}

void MembershipService::SetDocumentVersion(DocumentVersion aVersion)
{
  asio::post(impl_->context_, [impl = impl_, aVersion] {
    if (impl->state_ != nullptr) {
      impl->state_->SetDocumentVersion(aVersion);
    }
  });
}

std::shared_ptr<const MembershipView> MembershipService::View() const
{
  return impl_->cell_.Load();
}

const RcuCell<MembershipView>& MembershipService::ViewCell() const
{
  return impl_->cell_;
}

uint32_t MembershipService::LiveEntryCount() const
{
  return impl_->liveEntryCount_;
}

void MembershipService::Export(Metrics& aMetrics) const
{
  const auto view = View();
  uint32_t reachable = 0;
  for (const ZoneSummary& zone : view->zones_) {
    reachable += zone.isReachable_ ? 1 : 0;
  }
  const auto set = [&](const char* aName, const char* aHelp, double aValue) {
    aMetrics.Gauge(aName, aHelp).Set(aValue);
  };
  set("foxtail_membership_own_zone_instances",
      "Instances of the own zone that are alive or suspect",
      static_cast<double>(view->members_.size()));
  set("foxtail_membership_live_entries",
      "Entry instances in all zones that can be reached",
      LiveEntryCount());
  set("foxtail_membership_zones_known",
      "Other zones that are known",
      static_cast<double>(view->zones_.size()));
  set("foxtail_membership_zones_reachable",
      "Other zones that can be reached",
      reachable);
  for (const auto& row : EnumTable<FrameKind>::kRows) {
    const Metrics::Labels labels{ { "kind", std::string(row.name_) } };
    aMetrics
      .Gauge("foxtail_frames_sent_bytes",
             "Bytes of frames sent to other instances since the start",
             labels)
      .Set(static_cast<double>(impl_->transport_.BytesSent(row.value_)));
    aMetrics
      .Gauge("foxtail_frames_received_bytes",
             "Bytes of frames received from other instances since the start",
             labels)
      .Set(static_cast<double>(impl_->transport_.BytesReceived(row.value_)));
  }
  set("foxtail_frames_dropped",
      "Frames dropped since the start",
      static_cast<double>(impl_->transport_.FramesDropped()));
  set("foxtail_frame_connections",
      "Open connections to and from other instances",
      static_cast<double>(impl_->transport_.OpenConnections()));
  set("foxtail_handshakes_refused",
      "Connections closed since the start because the key was not proved",
      static_cast<double>(impl_->transport_.HandshakesRefused()));
}

} // namespace foxtail
