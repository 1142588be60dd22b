#include "instance/DocumentMessages.h"

#include "instance/WireCodec.h"
#include "instance/document_generated.h"

namespace foxtail {

std::string EncodeDocumentRead(DocumentVersion aKnown)
{
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::CreateDocumentRead(builder, aKnown.Value()));
  return FinishedBytes(builder);
}

absl::StatusOr<DocumentVersion> DecodeDocumentRead(std::string_view aPayload)
{
  const auto root = VerifyAndGetRoot<wire::DocumentRead>(aPayload);
  if (!root.ok()) {
    return root.status();
  }
  return DocumentVersion((*root)->known_version());
}

std::string EncodeDocumentReadReply(const VersionedText& aDocument)
{
  flatbuffers::FlatBufferBuilder builder;
  const auto text = builder.CreateString(aDocument.text_);
  builder.Finish(
    wire::CreateDocumentReadReply(builder, aDocument.version_.Value(), text));
  return FinishedBytes(builder);
}

absl::StatusOr<VersionedText> DecodeDocumentReadReply(std::string_view aPayload)
{
  const auto root = VerifyAndGetRoot<wire::DocumentReadReply>(aPayload);
  if (!root.ok()) {
    return root.status();
  }
  return VersionedText{ DocumentVersion((*root)->version()),
                        ToText((*root)->text()) };
}

std::string EncodeDocumentSpread(const DocumentSpreadMessage& aMessage)
{
  flatbuffers::FlatBufferBuilder builder;
  const auto text = builder.CreateString(aMessage.document_.text_);
  const auto endpoint = builder.CreateString(aMessage.endpoint_);
  const auto origin = builder.CreateString(aMessage.origin_.Value());
  builder.Finish(wire::CreateDocumentSpread(builder,
                                            aMessage.document_.version_.Value(),
                                            text,
                                            endpoint,
                                            origin,
                                            aMessage.isOwnZoneOnly_));
  return FinishedBytes(builder);
}

absl::StatusOr<DocumentSpreadMessage> DecodeDocumentSpread(
  std::string_view aPayload)
{
  const auto root = VerifyAndGetRoot<wire::DocumentSpread>(aPayload);
  if (!root.ok()) {
    return root.status();
  }
  DocumentSpreadMessage message;
  message.document_ = { DocumentVersion((*root)->version()),
                        ToText((*root)->text()) };
  message.endpoint_ = ToText((*root)->endpoint());
  message.origin_ = InstanceId(ToText((*root)->origin()));
  message.isOwnZoneOnly_ = (*root)->is_own_zone_only();
  return message;
}

} // namespace foxtail
