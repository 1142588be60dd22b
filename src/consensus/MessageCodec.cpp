#include "consensus/MessageCodec.h"

#include "consensus/WireTypes.h"
#include "core/Error.h"

namespace foxtail {
namespace {

struct WireBody
{
  wire::Body kind_ = wire::Body::NONE;
  flatbuffers::Offset<void> offset_;
};

/// Visitor that encodes a message body as a FlatBuffers table.
struct BodyWriter
{
  flatbuffers::FlatBufferBuilder& builder_;

  WireBody operator()(const VoteRequest& aBody) const
  {
    return { wire::Body::VoteRequest,
             wire::CreateVoteRequest(builder_,
                                     aBody.isPreVote_,
                                     aBody.isTransfer_,
                                     aBody.lastIndex_,
                                     aBody.lastTerm_)
               .Union() };
  }

  WireBody operator()(const VoteReply& aBody) const
  {
    return { wire::Body::VoteReply,
             wire::CreateVoteReply(builder_, aBody.isPreVote_, aBody.isGranted_)
               .Union() };
  }

  WireBody operator()(const AppendRequest& aBody) const
  {
    std::vector<flatbuffers::Offset<wire::Entry>> entries;
    entries.reserve(aBody.entries_.size());
    for (const LogEntry& entry : aBody.entries_) {
      entries.push_back(ToWire(builder_, entry));
    }
    const auto list = builder_.CreateVector(entries);
    return { wire::Body::AppendRequest,
             wire::CreateAppendRequest(builder_,
                                       aBody.prevIndex_,
                                       aBody.prevTerm_,
                                       aBody.commitIndex_,
                                       aBody.round_,
                                       list)
               .Union() };
  }

  WireBody operator()(const AppendReply& aBody) const
  {
    return { wire::Body::AppendReply,
             wire::CreateAppendReply(builder_,
                                     aBody.isAccepted_,
                                     aBody.index_,
                                     aBody.rejectedPrevIndex_,
                                     aBody.round_)
               .Union() };
  }

  WireBody operator()(const SnapshotRequest& aBody) const
  {
    const auto meta = ToWire(builder_, aBody.meta_);
    const auto data = builder_.CreateVector(
      reinterpret_cast<const uint8_t*>(aBody.data_.data()), aBody.data_.size());
    return {
      wire::Body::SnapshotRequest,
      wire::CreateSnapshotRequest(
        builder_, meta, aBody.offset_, aBody.totalBytes_, aBody.round_, data)
        .Union()
    };
  }

  WireBody operator()(const SnapshotReply& aBody) const
  {
    return { wire::Body::SnapshotReply,
             wire::CreateSnapshotReply(
               builder_, aBody.index_, aBody.nextOffset_, aBody.round_)
               .Union() };
  }

  WireBody operator()(const TransferRequest&) const
  {
    return { wire::Body::TransferRequest,
             wire::CreateTransferRequest(builder_).Union() };
  }
};

AppendRequest FromWire(const wire::AppendRequest& aBody)
{
  AppendRequest body{
    aBody.prev_index(), aBody.prev_term(), aBody.commit(), aBody.round(), {}
  };
  if (aBody.entries() != nullptr) {
    body.entries_.reserve(aBody.entries()->size());
    for (const wire::Entry* entry : *aBody.entries()) {
      body.entries_.push_back(foxtail::FromWire(*entry));
    }
  }
  return body;
}

SnapshotRequest FromWire(const wire::SnapshotRequest& aBody)
{
  SnapshotRequest body{ foxtail::FromWire(*aBody.meta()),
                        aBody.offset(),
                        aBody.total_bytes(),
                        aBody.round(),
                        {} };
  if (aBody.data() != nullptr) {
    body.data_.assign(reinterpret_cast<const char*>(aBody.data()->data()),
                      aBody.data()->size());
  }
  return body;
}

std::optional<MessageBody> BodyOf(const wire::Message& aMessage)
{
  switch (aMessage.body_type()) {
    case wire::Body::VoteRequest: {
      const auto& body = *aMessage.body_as_VoteRequest();
      return VoteRequest{ body.is_pre_vote(),
                          body.is_transfer(),
                          body.last_index(),
                          body.last_term() };
    }
    case wire::Body::VoteReply: {
      const auto& body = *aMessage.body_as_VoteReply();
      return VoteReply{ body.is_pre_vote(), body.is_granted() };
    }
    case wire::Body::AppendRequest:
      return FromWire(*aMessage.body_as_AppendRequest());
    case wire::Body::AppendReply: {
      const auto& body = *aMessage.body_as_AppendReply();
      return AppendReply{
        body.is_accepted(), body.index(), body.rejected_prev(), body.round()
      };
    }
    case wire::Body::SnapshotRequest:
      return FromWire(*aMessage.body_as_SnapshotRequest());
    case wire::Body::SnapshotReply: {
      const auto& body = *aMessage.body_as_SnapshotReply();
      return SnapshotReply{ body.index(), body.next_offset(), body.round() };
    }
    case wire::Body::TransferRequest:
      return TransferRequest{};
    case wire::Body::NONE:
      break;
  }
  return std::nullopt;
}

} // namespace

std::string EncodeMessage(const ConsensusMessage& aMessage)
{
  flatbuffers::FlatBufferBuilder builder;
  const auto from = ToWire(builder, aMessage.from_);
  const auto to = ToWire(builder, aMessage.to_);
  const WireBody body = std::visit(BodyWriter{ builder }, aMessage.body_);
  builder.Finish(wire::CreateMessage(builder,
                                     aMessage.group_,
                                     from,
                                     to,
                                     aMessage.term_,
                                     body.kind_,
                                     body.offset_));
  return { reinterpret_cast<const char*>(builder.GetBufferPointer()),
           builder.GetSize() };
}

absl::StatusOr<ConsensusMessage> DecodeMessage(std::string_view aText)
{
  const auto* data = reinterpret_cast<const uint8_t*>(aText.data());
  flatbuffers::Verifier verifier(data, aText.size());
  if (!wire::VerifyMessageBuffer(verifier)) {
    return MakeError(ErrorKind::Protocol,
                     "malformed consensus message; run the same release on "
                     "all control instances");
  }
  const wire::Message& message = *wire::GetMessage(data);
  std::optional<MessageBody> body = BodyOf(message);
  if (!body.has_value()) {
    return MakeError(ErrorKind::Protocol,
                     "consensus message with an unknown body type; run the "
                     "same release on all control instances");
  }
  return ConsensusMessage{ message.group(),
                           FromWire(*message.from()),
                           FromWire(*message.to()),
                           message.term(),
                           std::move(*body) };
}

} // namespace foxtail
