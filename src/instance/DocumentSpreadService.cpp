#include "instance/DocumentSpreadService.h"

#include "core/Log.h"
#include "core/RandomSource.h"
#include "instance/Endpoint.h"
#include "instance/SpreadTree.h"
#include "policy/Placement.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <set>

namespace foxtail {

namespace asio = boost::asio;

struct DocumentSpreadService::Impl
  : std::enable_shared_from_this<DocumentSpreadService::Impl>
{
  Impl(DocumentSpreadSettings aSettings,
       InstanceId aSelf,
       ZoneName aZone,
       DocumentHolder& aHolder,
       Source aSource,
       FrameTransport& aTransport,
       WorkerPool& aWorkers)
    : settings_(aSettings)
    , self_(std::move(aSelf))
    , zone_(std::move(aZone))
    , holder_(aHolder)
    , source_(std::move(aSource))
    , transport_(aTransport)
    , context_(aWorkers.Context(0))
    , view_(std::make_shared<MembershipView>())
    , random_(RandomSource::SystemSeed())
  {
  }

  void HandleSpread(const DocumentSpreadMessage& aMessage);
  /// Puts a document in force, or holds it until the start is complete.
  ///
  /// @return whether it is newer than all before and was held or put in force.
  bool Receive(const VersionedText& aDocument);
  bool Apply(const VersionedText& aDocument);
  /// @return the newest document received, in force or held.
  VersionedText Newest() const;
  void Forward(const InstanceId& aOrigin, bool aIsOwnZoneOnly);
  void Send(const std::string& aTo, const DocumentSpreadMessage& aMessage);
  bool IsReader() const;
  std::set<std::string> PeerEndpoints() const;
  asio::awaitable<bool> ReadFromControl();
  asio::awaitable<bool> ReadFromPeer(std::string aEndpoint);
  asio::awaitable<void> ReadFromPeerAfterJitter(std::string aEndpoint);
  asio::awaitable<void> Run();
  asio::awaitable<void> BecomeReady();
  asio::awaitable<void> Sleep(milliseconds aTime);
  Frame MakeReadReply(const Frame& aFrame) const;

  DocumentSpreadSettings settings_;
  InstanceId self_;
  ZoneName zone_;
  DocumentHolder& holder_;
  Source source_;
  FrameTransport& transport_;
  asio::io_context& context_;
  std::function<void(DocumentVersion)> listener_;
  std::atomic<bool> isReady_{ false };
  std::atomic<bool> isStopped_{ false };

  // Used only on the context's thread after Start().
  std::string endpoint_;
  std::vector<std::string> seeds_;
  std::shared_ptr<const MembershipView> view_;
  RandomSource random_;
  bool isReadingFromPeer_ = false;
  /// Newest document received before the start is complete. It is not in force,
  /// as its sender may have just started too, or may have been paused.
  VersionedText held_;
};

bool DocumentSpreadService::Impl::Receive(const VersionedText& aDocument)
{
  if (isReady_) {
    return Apply(aDocument);
  }
  if (aDocument.text_.empty() || aDocument.version_ <= Newest().version_) {
    return false;
  }
  held_ = aDocument;
  return true;
}

VersionedText DocumentSpreadService::Impl::Newest() const
{
  return held_.version_ > holder_.Version() ? held_ : holder_.Get();
}

bool DocumentSpreadService::Impl::Apply(const VersionedText& aDocument)
{
  if (aDocument.text_.empty() ||
      holder_.Apply(aDocument) != DocumentApplyResult::Applied) {
    return false;
  }
  if (listener_) {
    listener_(aDocument.version_);
  }
  return true;
}

void DocumentSpreadService::Impl::Send(const std::string& aTo,
                                       const DocumentSpreadMessage& aMessage)
{
  if (const auto endpoint = ToEndpoint(aTo)) {
    Frame frame;
    frame.kind_ = FrameKind::DocumentSpread;
    frame.payload_ = EncodeDocumentSpread(aMessage);
    transport_.Send(*endpoint, std::move(frame));
  }
}

void DocumentSpreadService::Impl::Forward(const InstanceId& aOrigin,
                                          bool aIsOwnZoneOnly)
{
  DocumentSpreadMessage message;
  message.document_ = Newest();
  message.endpoint_ = endpoint_;
  message.origin_ = aOrigin;
  for (const Member* child :
       TreeChildren(aOrigin, self_, view_->members_, settings_.fanOut_)) {
    Send(child->endpoint_, message);
  }
  if (aIsOwnZoneOnly) {
    return;
  }
  message.origin_ = InstanceId();
  message.isOwnZoneOnly_ = true;
  for (const ZoneSummary& zone : view_->zones_) {
    if (!zone.delegates_.empty()) {
      const size_t index = random_.NextBelow(zone.delegates_.size());
      Send(zone.delegates_[index].endpoint_, message);
    }
  }
}

void DocumentSpreadService::Impl::HandleSpread(
  const DocumentSpreadMessage& aMessage)
{
  if (aMessage.document_.version_ <= Newest().version_) {
    return;
  }
  if (aMessage.document_.text_.empty()) {
    asio::co_spawn(
      context_, ReadFromPeerAfterJitter(aMessage.endpoint_), asio::detached);
    return;
  }
  if (!Receive(aMessage.document_)) {
    return;
  }
  const bool isRoot = aMessage.origin_.Value().empty();
  Forward(isRoot ? self_ : aMessage.origin_,
          !isRoot || aMessage.isOwnZoneOnly_);
}

Frame DocumentSpreadService::Impl::MakeReadReply(const Frame& aFrame) const
{
  VersionedText document = holder_.Get();
  const auto known = DecodeDocumentRead(aFrame.payload_);
  if (!known.ok() || document.version_ <= *known) {
    document.text_.clear();
  }
  Frame reply;
  reply.kind_ = FrameKind::DocumentReadReply;
  reply.payload_ = EncodeDocumentReadReply(document);
  return reply;
}

asio::awaitable<void> DocumentSpreadService::Impl::Sleep(milliseconds aTime)
{
  asio::steady_timer timer(context_, aTime);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

/// @return whether a quorum has confirmed the version.
asio::awaitable<bool> DocumentSpreadService::Impl::ReadFromControl()
{
  const auto reading =
    co_await source_(Newest().version_, settings_.readTimeout_);
  if (!reading.ok()) {
    co_return false;
  }
  if (Receive(reading->document_)) {
    Forward(self_, false);
  }
  co_return reading->isConfirmed_;
}

/// @return whether the peer replied.
asio::awaitable<bool> DocumentSpreadService::Impl::ReadFromPeer(
  std::string aEndpoint)
{
  const auto endpoint = ToEndpoint(aEndpoint);
  if (!endpoint) {
    co_return false;
  }
  Frame frame;
  frame.kind_ = FrameKind::DocumentRead;
  frame.payload_ = EncodeDocumentRead(Newest().version_);
  const auto reply = co_await transport_.Call(
    *endpoint, std::move(frame), settings_.readTimeout_);
  if (!reply.ok()) {
    co_return false;
  }
  const auto document = DecodeDocumentReadReply(reply->payload_);
  if (!document.ok()) {
    co_return false;
  }
  Receive(*document);
  co_return true;
}

asio::awaitable<void> DocumentSpreadService::Impl::ReadFromPeerAfterJitter(
  std::string aEndpoint)
{
  if (isReadingFromPeer_) {
    co_return;
  }
  const auto self = shared_from_this();
  isReadingFromPeer_ = true;
  // Instances that missed the same document do not all read it at once.
  constexpr uint64_t kMaxJitterMs = 100;
  co_await Sleep(milliseconds(random_.NextBelow(kMaxJitterMs)));
  co_await ReadFromPeer(std::move(aEndpoint));
  isReadingFromPeer_ = false;
}

bool DocumentSpreadService::Impl::IsReader() const
{
  const auto entries = view_->OwnZoneEntryNames();
  const auto readers = ChooseOwners(
    zone_.Value() + "/documents", entries, settings_.readersPerZone_);
  return entries.empty() ||
         std::find(readers.begin(), readers.end(), self_) != readers.end();
}

std::set<std::string> DocumentSpreadService::Impl::PeerEndpoints() const
{
  std::set<std::string> peers(seeds_.begin(), seeds_.end());
  for (const Member& member : view_->members_) {
    if (member.role_ == InstanceRole::Entry) {
      peers.insert(member.endpoint_);
    }
  }
  peers.erase(endpoint_);
  return peers;
}

asio::awaitable<void> DocumentSpreadService::Impl::BecomeReady()
{
  constexpr milliseconds kRetryInterval{ 100 };
  const TimePoint quorumDeadline = Now() + settings_.quorumTimeout_;
  bool isConfirmed = false;
  while (source_ && !isConfirmed && !isStopped_ && Now() < quorumDeadline) {
    isConfirmed = co_await ReadFromControl();
    if (!isConfirmed) {
      co_await Sleep(kRetryInterval);
    }
  }
  size_t replies = 0;
  if (!isConfirmed) {
    // No quorum can be reached, so the highest version of the peers is applied.
    for (const std::string& peer : PeerEndpoints()) {
      replies += (co_await ReadFromPeer(peer)) ? 1 : 0;
    }
  }
  Apply(std::exchange(held_, {}));
  LogLine(isConfirmed || !source_ ? LogLevel::Info : LogLevel::Warning,
          "document_ready")
    .Add("version", holder_.Version())
    .Add("from", isConfirmed ? "quorum" : "peers")
    .Add("peers", replies);
  isReady_ = true;
}

asio::awaitable<void> DocumentSpreadService::Impl::Run()
{
  const auto self = shared_from_this();
  co_await BecomeReady();
  while (source_ && !isStopped_) {
    const auto interval =
      static_cast<uint64_t>(settings_.readInterval_.count());
    co_await Sleep(milliseconds(interval / 2 + random_.NextBelow(interval)));
    if (!isStopped_ && IsReader()) {
      co_await ReadFromControl();
    }
  }
}

DocumentSpreadService::DocumentSpreadService(DocumentSpreadSettings aSettings,
                                             InstanceId aSelf,
                                             ZoneName aZone,
                                             DocumentHolder& aHolder,
                                             Source aSource,
                                             FrameTransport& aTransport,
                                             WorkerPool& aWorkers)
  : impl_(std::make_shared<Impl>(aSettings,
                                 std::move(aSelf),
                                 std::move(aZone),
                                 aHolder,
                                 std::move(aSource),
                                 aTransport,
                                 aWorkers))
{
}

DocumentSpreadService::~DocumentSpreadService()
{
  Stop();
}

void DocumentSpreadService::OnApplied(
  std::function<void(DocumentVersion)> aListener)
{
  impl_->listener_ = std::move(aListener);
}

void DocumentSpreadService::Attach()
{
  const std::weak_ptr<Impl> weak = impl_;
  impl_->transport_.OnFrame(
    FrameKind::DocumentSpread,
    [weak](const InstanceId& aFrom, const Frame& aFrame) {
      const auto impl = weak.lock();
      auto message = DecodeDocumentSpread(aFrame.payload_);
      if (impl == nullptr || !message.ok()) {
        LogLine(LogLevel::Warning, "document_spread_refused")
          .Add("instance", aFrom);
        return;
      }
      asio::post(impl->context_, [impl, message = std::move(*message)] {
        impl->HandleSpread(message);
      });
    });
  impl_->transport_.OnCall(
    FrameKind::DocumentRead,
    [weak](const InstanceId&, Frame aFrame) -> asio::awaitable<Frame> {
      const auto impl = weak.lock();
      co_return impl == nullptr ? Frame{} : impl->MakeReadReply(aFrame);
    });
}

void DocumentSpreadService::Start(std::string aEndpoint,
                                  std::vector<std::string> aSeeds)
{
  asio::post(
    impl_->context_,
    [impl = impl_, endpoint = std::move(aEndpoint), seeds = std::move(aSeeds)] {
      impl->endpoint_ = endpoint;
      impl->seeds_ = seeds;
      asio::co_spawn(impl->context_, impl->Run(), asio::detached);
    });
}

void DocumentSpreadService::Stop()
{
  impl_->isStopped_ = true;
}

void DocumentSpreadService::SetView(std::shared_ptr<const MembershipView> aView)
{
  asio::post(impl_->context_,
             [impl = impl_, view = std::move(aView)] { impl->view_ = view; });
}

void DocumentSpreadService::OnPeerVersion(const std::string& aEndpoint,
                                          DocumentVersion aVersion)
{
  if (aVersion <= impl_->holder_.Version()) {
    return;
  }
  asio::post(impl_->context_, [impl = impl_, aEndpoint] {
    asio::co_spawn(
      impl->context_, impl->ReadFromPeerAfterJitter(aEndpoint), asio::detached);
  });
}

bool DocumentSpreadService::IsReady() const
{
  return impl_->isReady_;
}

} // namespace foxtail
