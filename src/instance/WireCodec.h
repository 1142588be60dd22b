#ifndef INSTANCE_WIRECODEC_H
#define INSTANCE_WIRECODEC_H

#include "core/Error.h"

#include <absl/status/statusor.h>
#include <flatbuffers/flatbuffers.h>
#include <string>
#include <string_view>

namespace foxtail {

/// @return the bytes of a finished FlatBuffer.
inline std::string FinishedBytes(const flatbuffers::FlatBufferBuilder& aBuilder)
{
  return { reinterpret_cast<const char*>(aBuilder.GetBufferPointer()),
           aBuilder.GetSize() };
}

/// @return @p aBytes as a vector of a FlatBuffer.
inline flatbuffers::Offset<flatbuffers::Vector<uint8_t>> CreateByteVector(
  flatbuffers::FlatBufferBuilder& aBuilder,
  std::string_view aBytes)
{
  return aBuilder.CreateVector(reinterpret_cast<const uint8_t*>(aBytes.data()),
                               aBytes.size());
}

/// @return the bytes that CreateByteVector() wrote, valid as long as their
/// FlatBuffer.
inline std::string_view ToStringView(const flatbuffers::Vector<uint8_t>& aBytes)
{
  return { reinterpret_cast<const char*>(aBytes.data()), aBytes.size() };
}

inline std::string ToText(const flatbuffers::String* aText)
{
  return aText == nullptr ? std::string() : aText->str();
}

/// Verifies a payload before any of its fields is read.
///
/// @tparam T root table.
/// @return the root, valid as long as @p aPayload, or a Protocol error.
template<typename T>
absl::StatusOr<const T*> VerifyAndGetRoot(std::string_view aPayload)
{
  const auto* bytes = reinterpret_cast<const uint8_t*>(aPayload.data());
  flatbuffers::Verifier verifier(bytes, aPayload.size());
  if (!verifier.VerifyBuffer<T>(nullptr)) {
    return MakeError(ErrorKind::Protocol,
                     "a frame's payload is malformed; run one release on all "
                     "instances");
  }
  return flatbuffers::GetRoot<T>(bytes);
}

} // namespace foxtail

#endif // INSTANCE_WIRECODEC_H
