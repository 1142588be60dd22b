#include "core/Compression.h"

#include "core/Error.h"

#include <stdexcept>
#include <zlib.h>

namespace foxtail {
namespace {

/// The fastest level, because control instances compress while callers wait for
/// their change. Documents are repetitive and compress well at any level.
constexpr int kCompressionLevel = Z_BEST_SPEED;

const Bytef* ToBytes(std::string_view aText)
{
  return reinterpret_cast<const Bytef*>(aText.data());
}

} // namespace

std::string Compress(std::string_view aText)
{
  uLongf size = compressBound(aText.size());
  std::string result(size, '\0');
  const int code = compress2(reinterpret_cast<Bytef*>(result.data()),
                             &size,
                             ToBytes(aText),
                             aText.size(),
                             kCompressionLevel);
  if (code != Z_OK) {
    // The buffer has the size that zlib requires, so the only possible failure
    // is an allocation inside zlib.
    throw std::bad_alloc();
  }
  result.resize(size);
  return result;
}

absl::StatusOr<std::string> Decompress(std::string_view aBytes,
                                       size_t aMaxBytes)
{
  constexpr size_t kInitialExpansion = 4;
  std::string result(
    std::min(aMaxBytes, kInitialExpansion * aBytes.size() + 64), '\0');
  while (true) {
    uLongf size = result.size();
    const int code = uncompress(reinterpret_cast<Bytef*>(result.data()),
                                &size,
                                ToBytes(aBytes),
                                aBytes.size());
    if (code == Z_OK) {
      result.resize(size);
      return result;
    }
    if (code != Z_BUF_ERROR || result.size() >= aMaxBytes) {
      return MakeError(ErrorKind::Protocol,
                       "compressed data is invalid or expands to more than " +
                         std::to_string(aMaxBytes) + " bytes");
    }
    result.resize(std::min(aMaxBytes, 2 * result.size()));
  }
}

} // namespace foxtail
