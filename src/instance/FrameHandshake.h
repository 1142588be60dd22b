#ifndef INSTANCE_FRAMEHANDSHAKE_H
#define INSTANCE_FRAMEHANDSHAKE_H

#include "core/EnumTable.h"
#include "core/Ids.h"

#include <absl/status/statusor.h>
#include <array>
#include <cstdint>
#include <string>

namespace foxtail {

/// Role of a process in one connection.
enum class HandshakeRole
{
  /// Opened the connection.
  Dialer,
  /// Accepted the connection.
  Acceptor,
};

template<>
struct EnumTable<HandshakeRole>
{
  static constexpr std::array<EnumName<HandshakeRole>, 2> kRows{ {
    { HandshakeRole::Dialer, "dialer" },
    { HandshakeRole::Acceptor, "acceptor" },
  } };
};

constexpr size_t kNonceBytes = 32;
constexpr size_t kProofBytes = 32;
constexpr size_t kMaxInstanceNameBytes = 255;
/// Bytes of a hello before the name: magic (4), nonce and length of the name
/// (1).
constexpr size_t kHelloFixedBytes = 4 + kNonceBytes + 1;

using HandshakeNonce = std::array<unsigned char, kNonceBytes>;
using HandshakeProof = std::array<unsigned char, kProofBytes>;

/// First message that each end sends.
struct HandshakeHello
{
  HandshakeNonce nonce_{};
  InstanceId instance_;
};

/// @return a fresh random nonce from OpenSSL's generator, or an Internal error.
absl::StatusOr<HandshakeNonce> MakeNonce();

std::string EncodeHello(const HandshakeHello& aHello);

/// Decodes the part of a hello that has a fixed length.
///
/// @param aBytes the first kHelloFixedBytes bytes of the hello.
/// @return the length in bytes of the name that follows, or a Protocol error.
absl::StatusOr<size_t> DecodeHelloStart(std::string_view aBytes,
                                        HandshakeNonce& aNonce);

/// Computes HMAC-SHA256 over the role, both nonces and both names. A proof is
/// thus valid for one end of one connection only, and cannot be replayed or
/// reflected.
///
/// @param aRole role of the end that sends the proof.
HandshakeProof MakeProof(const std::string& aKey,
                         HandshakeRole aRole,
                         const HandshakeHello& aDialer,
                         const HandshakeHello& aAcceptor);

/// Compares in constant time, so that timing reveals nothing of the proof.
bool IsSameProof(const HandshakeProof& aLeft, const HandshakeProof& aRight);

} // namespace foxtail

#endif // INSTANCE_FRAMEHANDSHAKE_H
