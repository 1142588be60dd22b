#ifndef CORE_COMPRESSION_H
#define CORE_COMPRESSION_H

#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace foxtail {

/// @return @p aText compressed in the zlib format.
std::string Compress(std::string_view aText);

/// @param aMaxBytes limit on the decompressed size, so that a small input
/// cannot exhaust memory.
/// @return the decompressed text; a Protocol error when @p aBytes is not valid
/// zlib data or the result would exceed @p aMaxBytes.
absl::StatusOr<std::string> Decompress(std::string_view aBytes,
                                       size_t aMaxBytes);

} // namespace foxtail

#endif // CORE_COMPRESSION_H
