#include "instance/AnnouncementSpreadService.h"

#include "core/Log.h"
#include "instance/Endpoint.h"

#include <atomic>
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

} // namespace

struct AnnouncementSpreadService::Impl
  : std::enable_shared_from_this<AnnouncementSpreadService::Impl>
{
  Impl(AnnouncementSpreadSettings aSettings,
       InstanceId aSelf,
       ZoneName aZone,
       FrameTransport& aTransport,
       WorkerPool& aWorkers)
    : settings_(aSettings)
    , self_(std::move(aSelf))
    , zone_(std::move(aZone))
    , transport_(aTransport)
    , context_(aWorkers.Context(0))
    , timer_(context_)
  {
  }

  void ApplyEffects();
  void LogWithdrawals(const std::vector<Withdrawal>& aWithdrawals) const;
  asio::awaitable<void> Run();

  /// Runs @p aStep on the state's thread, then applies the effects.
  template<typename Step>
  void Post(Step aStep)
  {
    asio::post(context_,
               [self = shared_from_this(), step = std::move(aStep)]() mutable {
                 if (self->state_ != nullptr && !self->isStopped_) {
                   step(*self->state_);
                   self->ApplyEffects();
                 }
               });
  }

  AnnouncementSpreadSettings settings_;
  InstanceId self_;
  ZoneName zone_;
  FrameTransport& transport_;
  asio::io_context& context_;
  asio::steady_timer timer_;
  AnnouncementSink* sink_ = nullptr;
  std::atomic<bool> isStopped_{ false };
  std::atomic<size_t> servers_{ 0 };
  std::atomic<size_t> leases_{ 0 };

  // Used only on the context's thread after Start().
  std::unique_ptr<AnnouncementSpreadState> state_;
};

void AnnouncementSpreadService::Impl::LogWithdrawals(
  const std::vector<Withdrawal>& aWithdrawals) const
{
  for (const Withdrawal& withdrawal : aWithdrawals) {
    LogLine(LogLevel::Warning, "backend_withdrawn")
      .Add("server", withdrawal.server_)
      .Add("reason", "lease_over")
      .Add("seen_by", self_);
  }
}

void AnnouncementSpreadService::Impl::ApplyEffects()
{
  AnnouncementEffects effects = state_->TakeEffects();
  servers_ = state_->ServerCount();
  leases_ = state_->LeaseCount();
  for (const OutgoingAnnouncements& outgoing : effects.messages_) {
    if (const auto endpoint = ToEndpoint(outgoing.to_)) {
      Frame frame;
      frame.kind_ = FrameKind::AnnouncementSpread;
      frame.payload_ = EncodeAnnouncements(outgoing.message_);
      transport_.Send(*endpoint, std::move(frame));
    }
  }
  LogWithdrawals(effects.withdrawn_);
  if (sink_ == nullptr) {
    return;
  }
  if (!effects.changed_.empty()) {
    sink_->OnChanged(effects.changed_);
  }
  if (!effects.renewed_.empty()) {
    sink_->OnRenewed(effects.renewed_);
  }
  if (!effects.withdrawn_.empty()) {
    sink_->OnWithdrawn(effects.withdrawn_);
  }
}

asio::awaitable<void> AnnouncementSpreadService::Impl::Run()
{
  const auto self = shared_from_this();
  while (!isStopped_) {
    state_->OnTick(Now());
    ApplyEffects();
    timer_.expires_after(kTickInterval);
    boost::system::error_code ignored;
    co_await timer_.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
}

AnnouncementSpreadService::AnnouncementSpreadService(
  AnnouncementSpreadSettings aSettings,
  InstanceId aSelf,
  ZoneName aZone,
  FrameTransport& aTransport,
  WorkerPool& aWorkers)
  : impl_(std::make_shared<Impl>(aSettings,
                                 std::move(aSelf),
                                 std::move(aZone),
                                 aTransport,
                                 aWorkers))
{
}

AnnouncementSpreadService::~AnnouncementSpreadService()
{
  impl_->isStopped_ = true;
}

void AnnouncementSpreadService::SetSink(AnnouncementSink* aSink)
{
  impl_->sink_ = aSink;
}

void AnnouncementSpreadService::Attach()
{
  impl_->transport_.OnFrame(
    FrameKind::AnnouncementSpread,
    [weak = std::weak_ptr<Impl>(impl_)](const InstanceId& aFrom,
                                        const Frame& aFrame) {
      const auto impl = weak.lock();
      if (impl == nullptr) {
        return;
      }
      auto message = DecodeAnnouncements(aFrame.payload_);
      if (!message.ok()) {
        LogLine(LogLevel::Warning, "announcements_refused")
          .Add("instance", aFrom)
          .Add("error", message.status());
        return;
      }
      impl->Post([message = std::move(*message)](auto& aState) {
        aState.OnMessage(message, Now());
      });
    });
}

void AnnouncementSpreadService::Start(std::string aEndpoint)
{
  asio::post(impl_->context_, [impl = impl_, endpoint = std::move(aEndpoint)] {
    impl->state_ =
      std::make_unique<AnnouncementSpreadState>(impl->settings_,
                                                impl->self_,
                                                impl->zone_,
                                                endpoint,
                                                RandomSource::SystemSeed());
    asio::co_spawn(impl->context_, impl->Run(), asio::detached);
  });
}

void AnnouncementSpreadService::Stop()
{
  impl_->isStopped_ = true;
}

void AnnouncementSpreadService::SetView(
  std::shared_ptr<const MembershipView> aView)
{
  impl_->Post(
    [view = std::move(aView)](auto& aState) { aState.SetView(view, Now()); });
}

void AnnouncementSpreadService::OnServerAnnouncement(
  const Announcement& aAnnouncement)
{
  impl_->Post([aAnnouncement](auto& aState) {
    aState.OnServerAnnouncement(aAnnouncement, Now());
  });
}

void AnnouncementSpreadService::Export(Metrics& aMetrics) const
{
  aMetrics
    .Gauge("foxtail_spread_servers", "Backend servers known from all instances")
    .Set(static_cast<double>(impl_->servers_));
  aMetrics
    .Gauge("foxtail_spread_leases",
           "Backend servers whose lease is held by this instance")
    .Set(static_cast<double>(impl_->leases_));
}

} // namespace foxtail
