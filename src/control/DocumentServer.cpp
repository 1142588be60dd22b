#include "control/DocumentServer.h"

#include "core/Log.h"
#include "http/HttpClient.h"
#include "instance/WireCodec.h"
#include "instance/document_generated.h"

#include <algorithm>

namespace foxtail {
namespace {

/// Time for a quorum to confirm a read; after it the reply has this instance's
/// own version.
constexpr milliseconds kConfirmTimeout{ 500 };
/// Entry instances that the leader sends a new version to.
constexpr size_t kMaxNotifiedInstances = 16;
/// Entry instances whose endpoints are kept as readers.
constexpr size_t kMaxReaders = 64;

struct CurrentDocument
{
  DocumentVersion version_;
  std::shared_ptr<const std::string> text_;
};

CurrentDocument CurrentOf(const ControlState& aState)
{
  return { aState.Documents().BaseVersion(), aState.Documents().Text() };
}

std::string EncodeReply(const CurrentDocument& aCurrent,
                        uint64_t aKnown,
                        bool aIsConfirmed)
{
  flatbuffers::FlatBufferBuilder builder;
  const bool isNewer = aCurrent.version_.Value() > aKnown;
  const auto text = builder.CreateString(isNewer ? *aCurrent.text_ : "");
  builder.Finish(wire::CreateDocumentReadReply(
    builder, aCurrent.version_.Value(), text, aIsConfirmed));
  return FinishedBytes(builder);
}

} // namespace

DocumentServer::DocumentServer(ReplicatedControl& aControl,
                               FrameTransport& aFrames,
                               const std::vector<std::string>& aTargets,
                               Metrics& aMetrics)
  : control_(aControl)
  , frames_(aFrames)
  , random_(RandomSource::SystemSeed())
  , reads_(aMetrics.Counter("foxtail_control_document_reads_total",
                            "Reads of the document by instances"))
  , notified_(aMetrics.Counter("foxtail_control_document_told_total",
                               "New versions sent to entry instances"))
{
  for (const std::string& target : aTargets) {
    if (const auto endpoint = ParseEndpoint(target); endpoint.ok()) {
      configuredTargets_.push_back(*endpoint);
    }
  }
  aFrames.OnCall(FrameKind::DocumentRead,
                 [this](const InstanceId& aFrom, Frame aFrame) {
                   return HandleRead(aFrom, std::move(aFrame));
                 });
  aControl.OnDocument([this](DocumentVersion aVersion,
                             const std::shared_ptr<const std::string>& aText,
                             bool aIsLeader) {
    if (aIsLeader) {
      NotifyTargets(aVersion, *aText);
    }
  });
}

boost::asio::awaitable<Frame> DocumentServer::HandleRead(InstanceId aFrom,
                                                         Frame aFrame)
{
  reads_.Increment();
  uint64_t known = 0;
  const auto root = VerifyAndGetRoot<wire::DocumentRead>(aFrame.payload_);
  if (root.ok()) {
    known = (*root)->known_version();
    AddReader(aFrom, ToText((*root)->endpoint()));
  }
  // The reply has a version even without confirmation, so that an instance that
  // is cut off from the leader may use it. The state of a process that has only
  // read its disk is no such version.
  auto reading = control_.Read(CurrentOf, kConfirmTimeout);
  const auto confirmed = co_await std::move(reading);
  CurrentDocument current{ {}, std::make_shared<const std::string>() };
  if (confirmed.ok()) {
    current = *confirmed;
  } else if (control_.HasCaughtUp()) {
    auto inspection =
      control_.Inspect([](const ConsensusNode&, const ControlState& aState) {
        return CurrentOf(aState);
      });
    current = co_await std::move(inspection);
  }
  Frame reply;
  reply.kind_ = FrameKind::DocumentReadReply;
  reply.correlation_ = aFrame.correlation_;
  reply.payload_ = EncodeReply(current, known, confirmed.ok());
  co_return reply;
}

void DocumentServer::AddReader(const InstanceId& aFrom,
                               const std::string& aEndpoint)
{
  const auto endpoint = ParseEndpoint(aEndpoint);
  if (!endpoint.ok()) {
    return;
  }
  const std::lock_guard lock(mutex_);
  if (readers_.size() >= kMaxReaders && !readers_.contains(aFrom)) {
    readers_.erase(readers_.begin());
  }
  readers_[aFrom] = *endpoint;
}

std::vector<FrameTransport::Endpoint> DocumentServer::PickTargets()
{
  const std::lock_guard lock(mutex_);
  std::vector<FrameTransport::Endpoint> all = configuredTargets_;
  for (const auto& [instance, endpoint] : readers_) {
    if (std::find(all.begin(), all.end(), endpoint) == all.end()) {
      all.push_back(endpoint);
    }
  }
  // Partial Fisher-Yates shuffle: a random choice of the targets.
  for (size_t i = 0; i < all.size() && i < kMaxNotifiedInstances; ++i) {
    std::swap(all[i], all[i + random_.NextBelow(all.size() - i)]);
  }
  all.resize(std::min(all.size(), kMaxNotifiedInstances));
  return all;
}

void DocumentServer::NotifyTargets(DocumentVersion aVersion,
                                   const std::string& aText)
{
  const auto targets = PickTargets();
  const std::string payload = EncodeDocumentSpread({ { aVersion, aText }, {} });
  for (const FrameTransport::Endpoint& target : targets) {
    frames_.Send(target, { FrameKind::DocumentSpread, 0, payload });
    notified_.Increment();
  }
  LogLine(LogLevel::Info, "document_told")
    .Add("version", aVersion)
    .Add("instances", targets.size());
}

} // namespace foxtail
