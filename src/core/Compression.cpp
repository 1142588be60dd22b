#include "core/Compression.h"

#include "core/Error.h"

#include <stdexcept>
#include <zlib.h>

namespace foxtail {
namespace {

/// The fastest level: control instances compress while callers wait for their
/// change, and the text of a document has many repeats at any level.
constexpr int kLevel = Z_BEST_SPEED;

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
                             kLevel);
  if (code != Z_OK) {
    // The buffer is as large as zlib asks for, so only memory can be missing.
    throw std::bad_alloc();
  }
  result.resize(size);
  return result;
}

absl::StatusOr<std::string> Decompress(std::string_view aBytes,
                                       size_t aMaxBytes)
{
  constexpr size_t kFirstGuess = 4;
  std::string result(std::min(aMaxBytes, kFirstGuess * aBytes.size() + 64),
                     '\0');
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
                       "compressed bytes cannot be read, or hold more than " +
                         std::to_string(aMaxBytes) + " bytes");
    }
    result.resize(std::min(aMaxBytes, 2 * result.size()));
  }
}

} // namespace foxtail
