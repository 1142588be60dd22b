#ifndef CORE_COMPRESSION_H
#define CORE_COMPRESSION_H

#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace foxtail {

/// @return @p aText compressed, in zlib's format.
std::string Compress(std::string_view aText);

/// @param aMaxBytes the result's size at most, so that a short text cannot fill
/// the memory.
/// @return Protocol when @p aBytes are not what Compress() makes, or when the
/// result would be larger.
absl::StatusOr<std::string> Decompress(std::string_view aBytes,
                                       size_t aMaxBytes);

} // namespace foxtail

#endif // CORE_COMPRESSION_H
