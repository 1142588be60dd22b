#include "forward/RequestFingerprint.h"

#include <string_view>
#include <xxhash.h>

namespace foxtail {

RequestFingerprint FingerprintOf(const ForwardRequest& aRequest)
{
  uint64_t hash = 0;
  // Each part's hash is the seed of the next one's, so that bytes cannot move
  // from one part to another unnoticed.
  for (const std::string_view part : { std::string_view(aRequest.method_),
                                       std::string_view(aRequest.host_),
                                       std::string_view(aRequest.target_),
                                       std::string_view(aRequest.credentials_),
                                       std::string_view(aRequest.body_) }) {
    hash = XXH3_64bits_withSeed(part.data(), part.size(), hash);
  }
  return RequestFingerprint(hash);
}

} // namespace foxtail
