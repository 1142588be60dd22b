#ifndef INSTANCE_DOCUMENTMESSAGES_H
#define INSTANCE_DOCUMENTMESSAGES_H

#include "core/Ids.h"

#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace foxtail {

/// An accepted document: its version and its whole text.
struct VersionedText
{
  /// 0 when there is no document.
  DocumentVersion version_;
  /// Empty when only the version is sent.
  std::string text_;
};

/// A document that goes down a dissemination tree.
struct DocumentSpreadMessage
{
  VersionedText document_;
  /// Frame endpoint of the sender, such as 127.0.0.1:7101.
  std::string endpoint_;
  /// Root of the dissemination tree; empty when the receiver is to become it.
  InstanceId origin_ = InstanceId();
  /// The receiver forwards it in its own zone only.
  bool isOwnZoneOnly_ = false;
};

/// Payload of a DocumentRead frame.
///
/// @param aKnown the newest version that the requesting instance holds.
std::string EncodeDocumentRead(DocumentVersion aKnown);
/// @return the version that the requesting instance holds, or a Protocol error
/// when the payload is malformed.
absl::StatusOr<DocumentVersion> DecodeDocumentRead(std::string_view aPayload);

/// Payload of a DocumentReadReply frame: the version of the replying instance,
/// and its text when the version is above the one that the requesting instance
/// holds.
std::string EncodeDocumentReadReply(const VersionedText& aDocument);
/// @return the document, or a Protocol error when the payload is malformed.
absl::StatusOr<VersionedText> DecodeDocumentReadReply(
  std::string_view aPayload);

/// Payload of a DocumentSpread frame.
std::string EncodeDocumentSpread(const DocumentSpreadMessage& aMessage);
/// @return the message, or a Protocol error when the payload is malformed.
absl::StatusOr<DocumentSpreadMessage> DecodeDocumentSpread(
  std::string_view aPayload);

} // namespace foxtail

#endif // INSTANCE_DOCUMENTMESSAGES_H
