#include "instance/FrameCodec.h"

#include "core/Error.h"

#include <boost/endian/conversion.hpp>

namespace foxtail {

namespace {

constexpr size_t kMinReadBytes = 4096;
constexpr size_t kMaxIdleBufferBytes = size_t{ 64 } * 1024;

} // namespace

bool IsFrameKind(uint8_t aKind)
{
  return aKind < EnumTable<FrameKind>::kRows.size();
}

std::string EncodeFrame(uint8_t aKind,
                        uint64_t aCorrelation,
                        std::string_view aPayload)
{
  const auto length = static_cast<uint32_t>(
    kFrameHeaderBytes - kFrameLengthBytes + aPayload.size());
  std::string bytes(kFrameHeaderBytes, '\0');
  bytes.reserve(kFrameHeaderBytes + aPayload.size());
  auto* header = reinterpret_cast<unsigned char*>(bytes.data());
  boost::endian::store_little_u32(header, length);
  header[kFrameLengthBytes] = aKind;
  boost::endian::store_little_u64(header + kFrameLengthBytes + 1, aCorrelation);
  bytes += aPayload;
  return bytes;
}

FrameParser::FrameParser(uint32_t aMaxPayloadBytes)
  : maxPayloadBytes_(aMaxPayloadBytes)
{
}

boost::asio::mutable_buffer FrameParser::Prepare()
{
  if (begin_ > 0) {
    buffer_.erase(0, begin_);
    end_ -= begin_;
    begin_ = 0;
  }
  if (end_ == 0 && buffer_.capacity() > kMaxIdleBufferBytes) {
    buffer_ = std::string();
  }
  // Doubling the buffer keeps the cost of copying linear in the frame's size.
  buffer_.resize(end_ + std::max(kMinReadBytes, end_));
  return { buffer_.data() + end_, buffer_.size() - end_ };
}

void FrameParser::Commit(size_t aCount)
{
  end_ += aCount;
}

absl::StatusOr<bool> FrameParser::Next(WireFrame& aFrame)
{
  constexpr size_t kOverhead = kFrameHeaderBytes - kFrameLengthBytes;
  if (end_ - begin_ < kFrameLengthBytes) {
    return false;
  }
  const auto* header =
    reinterpret_cast<const unsigned char*>(buffer_.data() + begin_);
  const size_t length = boost::endian::load_little_u32(header);
  if (length < kOverhead || length - kOverhead > maxPayloadBytes_) {
    return MakeError(ErrorKind::Protocol,
                     "the header of a frame gives a length of " +
                       std::to_string(length) +
                       " bytes, outside the limits; raise max_frame_bytes on "
                       "both ends if the sender is valid");
  }
  if (end_ - begin_ < kFrameLengthBytes + length) {
    return false;
  }
  aFrame.kind_ = header[kFrameLengthBytes];
  if (!IsFrameKind(aFrame.kind_) && aFrame.kind_ < kPingKind) {
    return MakeError(ErrorKind::Protocol,
                     "unknown frame kind " + std::to_string(aFrame.kind_) +
                       "; run the same release on all instances");
  }
  aFrame.correlation_ =
    boost::endian::load_little_u64(header + kFrameLengthBytes + 1);
  aFrame.payload_.assign(
    buffer_, begin_ + kFrameHeaderBytes, length - kOverhead);
  begin_ += kFrameLengthBytes + length;
  return true;
}

} // namespace foxtail
