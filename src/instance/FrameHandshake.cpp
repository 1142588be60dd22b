#include "instance/FrameHandshake.h"

#include "core/Error.h"

#include <cstring>
#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace foxtail {

namespace {

constexpr std::string_view kMagic = "FXT1";

void AppendHello(std::string& aText, const HandshakeHello& aHello)
{
  aText.append(reinterpret_cast<const char*>(aHello.nonce_.data()),
               aHello.nonce_.size());
  const std::string& name = aHello.instance_.Value();
  aText.push_back(static_cast<char>(name.size()));
  aText += name;
}

} // namespace

absl::StatusOr<HandshakeNonce> MakeNonce()
{
  HandshakeNonce nonce{};
  if (RAND_bytes(nonce.data(), static_cast<int>(nonce.size())) != 1) {
    return MakeError(ErrorKind::Internal,
                     "no random bytes available; check the system's entropy "
                     "source");
  }
  return nonce;
}

std::string EncodeHello(const HandshakeHello& aHello)
{
  std::string text(kMagic);
  AppendHello(text, aHello);
  return text;
}

absl::StatusOr<size_t> DecodeHelloStart(std::string_view aBytes,
                                        HandshakeNonce& aNonce)
{
  if (aBytes.size() != kHelloFixedBytes || !aBytes.starts_with(kMagic)) {
    return MakeError(ErrorKind::Protocol,
                     "the peer does not use the frame protocol; check that the "
                     "address belongs to an instance");
  }
  std::memcpy(aNonce.data(), aBytes.data() + kMagic.size(), aNonce.size());
  const auto length = static_cast<unsigned char>(aBytes.back());
  if (length == 0) {
    return MakeError(
      ErrorKind::Protocol,
      "the peer sent an empty instance name; set \"instance\" in its "
      "settings");
  }
  return size_t{ length };
}

HandshakeProof MakeProof(const std::string& aKey,
                         HandshakeRole aRole,
                         const HandshakeHello& aDialer,
                         const HandshakeHello& aAcceptor)
{
  std::string text(NameOf(aRole));
  text.push_back('\0');
  AppendHello(text, aDialer);
  AppendHello(text, aAcceptor);
  HandshakeProof proof{};
  unsigned int length = proof.size();
  HMAC(EVP_sha256(),
       aKey.data(),
       static_cast<int>(aKey.size()),
       reinterpret_cast<const unsigned char*>(text.data()),
       text.size(),
       proof.data(),
       &length);
  return proof;
}

bool IsSameProof(const HandshakeProof& aLeft, const HandshakeProof& aRight)
{
  return CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

} // namespace foxtail
