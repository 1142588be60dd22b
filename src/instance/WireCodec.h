#ifndef INSTANCE_WIRECODEC_H
#define INSTANCE_WIRECODEC_H

#include "core/Error.h"
#include "core/Ids.h"

#include <absl/status/statusor.h>
#include <flatbuffers/flatbuffers.h>
#include <optional>
#include <string>
#include <string_view>

namespace foxtail {

/// @return a copy of the bytes of a finished FlatBuffer.
inline std::string FinishedBytes(const flatbuffers::FlatBufferBuilder& aBuilder)
{
  return { reinterpret_cast<const char*>(aBuilder.GetBufferPointer()),
           aBuilder.GetSize() };
}

/// Appends @p aBytes to a FlatBuffer as a vector.
inline flatbuffers::Offset<flatbuffers::Vector<uint8_t>> CreateByteVector(
  flatbuffers::FlatBufferBuilder& aBuilder,
  std::string_view aBytes)
{
  return aBuilder.CreateVector(reinterpret_cast<const uint8_t*>(aBytes.data()),
                               aBytes.size());
}

/// @return the bytes that CreateByteVector() wrote, valid while the FlatBuffer
/// exists.
inline std::string_view ToStringView(const flatbuffers::Vector<uint8_t>& aBytes)
{
  return { reinterpret_cast<const char*>(aBytes.data()), aBytes.size() };
}

/// @return the field of a message or snapshot that holds a document's version.
/// It is absent when there is no document, as 0 is a version too.
inline flatbuffers::Optional<uint64_t> ToWireVersion(
  std::optional<DocumentVersion> aVersion)
{
  return aVersion ? flatbuffers::Optional<uint64_t>(aVersion->Value())
                  : flatbuffers::nullopt;
}

inline std::optional<DocumentVersion> FromWireVersion(
  flatbuffers::Optional<uint64_t> aVersion)
{
  return aVersion ? std::optional(DocumentVersion(*aVersion)) : std::nullopt;
}

inline std::string ToText(const flatbuffers::String* aText)
{
  return aText == nullptr ? std::string() : aText->str();
}

/// Verifies a payload, so that its fields can be read safely.
///
/// @tparam T type of the root table.
/// @return the root table, valid while @p aPayload exists, or a Protocol error.
template<typename T>
absl::StatusOr<const T*> VerifyAndGetRoot(std::string_view aPayload)
{
  const auto* bytes = reinterpret_cast<const uint8_t*>(aPayload.data());
  flatbuffers::Verifier verifier(bytes, aPayload.size());
  if (!verifier.VerifyBuffer<T>(nullptr)) {
    return MakeError(ErrorKind::Protocol,
                     "malformed frame payload; run the same release on all "
                     "instances");
  }
  return flatbuffers::GetRoot<T>(bytes);
}

} // namespace foxtail

#endif // INSTANCE_WIRECODEC_H
