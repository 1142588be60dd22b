#ifndef INSTANCE_FRAMECODEC_H
#define INSTANCE_FRAMECODEC_H

#include "instance/FrameTransport.h"

#include <absl/status/statusor.h>
#include <boost/asio/buffer.hpp>
#include <cstdint>
#include <string>

namespace foxtail {

/// Kinds of the keep-alive frames that connections handle themselves; both are
/// above every FrameKind.
constexpr uint8_t kPingKind = 254;
constexpr uint8_t kPongKind = 255;

/// Header of a frame, in bytes: length (4), kind (1), correlation (8), integers
/// in little-endian order. The length excludes its own four bytes.
constexpr size_t kFrameLengthBytes = 4;
constexpr size_t kFrameHeaderBytes = 13;

/// A frame as received, before its kind is mapped to a FrameKind.
struct WireFrame
{
  uint8_t kind_ = 0;
  uint64_t correlation_ = 0;
  std::string payload_;
};

/// @return whether @p aKind is a FrameKind.
bool IsFrameKind(uint8_t aKind);

/// @return header and payload of one frame.
std::string EncodeFrame(uint8_t aKind,
                        uint64_t aCorrelation,
                        std::string_view aPayload);

/// Splits a stream of bytes into frames. Memory grows with the bytes received,
/// never with the length in a header alone. Not thread safe.
class FrameParser
{
public:
  /// @param aMaxPayloadBytes largest accepted payload.
  explicit FrameParser(uint32_t aMaxPayloadBytes);

  /// @return buffer space for the next bytes of the stream.
  boost::asio::mutable_buffer Prepare();
  /// Appends the first @p aCount bytes of the prepared space to the stream.
  void Commit(size_t aCount);

  /// Extracts the next complete frame.
  ///
  /// @return true when @p aFrame was filled, false when more bytes are needed,
  /// a Protocol error when a length or kind is invalid.
  absl::StatusOr<bool> Next(WireFrame& aFrame);

private:
  uint32_t maxPayloadBytes_;
  std::string buffer_;
  size_t begin_ = 0;
  size_t end_ = 0;
};

} // namespace foxtail

#endif // INSTANCE_FRAMECODEC_H
