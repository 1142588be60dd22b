#include "control/ControlDocumentReader.h"

#include "http/HttpClient.h"
#include "instance/WireCodec.h"
#include "instance/document_generated.h"

namespace foxtail {
namespace {

std::string EncodeRead(DocumentVersion aKnownVersion,
                       const std::string& aEndpoint)
{
  flatbuffers::FlatBufferBuilder builder;
  const auto endpoint = builder.CreateString(aEndpoint);
  builder.Finish(
    wire::CreateDocumentRead(builder, aKnownVersion.Value(), endpoint));
  return FinishedBytes(builder);
}

void MergeReply(DocumentReadResult& aResult,
                const wire::DocumentReadReply& aReply)
{
  ++aResult.replyCount_;
  aResult.isConfirmed_ |= aReply.is_confirmed();
  if (aReply.version() > aResult.document_.version_.Value()) {
    aResult.document_ = { DocumentVersion(aReply.version()),
                          ToText(aReply.text()) };
  }
}

} // namespace

ControlDocumentReader::ControlDocumentReader(
  const std::vector<ControlPeer>& aPeers,
  std::string aOwnEndpoint,
  FrameTransport& aFrames)
  : ownEndpoint_(std::move(aOwnEndpoint))
  , frames_(aFrames)
{
  for (const ControlPeer& peer : aPeers) {
    if (const auto endpoint = ParseEndpoint(peer.endpoint_); endpoint.ok()) {
      endpoints_.push_back(*endpoint);
    }
  }
}

boost::asio::awaitable<absl::StatusOr<DocumentReadResult>>
ControlDocumentReader::Read(DocumentVersion aKnownVersion,
                            milliseconds aTimeout)
{
  DocumentReadResult result;
  for (const FrameTransport::Endpoint& endpoint : endpoints_) {
    Frame request;
    request.kind_ = FrameKind::DocumentRead;
    request.payload_ = EncodeRead(aKnownVersion, ownEndpoint_);
    auto call = frames_.Call(endpoint, std::move(request), aTimeout);
    const auto frame = co_await std::move(call);
    if (!frame.ok()) {
      continue;
    }
    const auto root =
      VerifyAndGetRoot<wire::DocumentReadReply>(frame->payload_);
    if (root.ok()) {
      MergeReply(result, **root);
    }
    if (result.isConfirmed_) {
      break;
    }
  }
  if (result.replyCount_ == 0) {
    co_return MakeError(
      ErrorKind::Unavailable,
      "no control instance replied; the current document stays "
      "in force");
  }
  co_return result;
}

} // namespace foxtail
