#include "policy/LinkBacklog.h"

#include <algorithm>

namespace foxtail {
namespace {

/// Payload of a segment on Ethernet, and the bytes that Ethernet, IP and TCP
/// headers add to it.
constexpr size_t kSegmentBytes = 1448;
constexpr size_t kSegmentOverheadBytes = 66;
constexpr double kBitsPerByte = 8;
constexpr double kBitsPerMegabit = 1e6;

} // namespace

LinkBacklog::LinkBacklog(LinkSettings aSettings)
  : settings_(aSettings)
{
}

void LinkBacklog::OnWrite(size_t aBytes, TimePoint aNow)
{
  freeAt_ = std::max(freeAt_, aNow) + TransmissionTime(aBytes);
}

Duration LinkBacklog::DelayOf(size_t aBytes, TimePoint aNow) const
{
  return std::max(freeAt_ - aNow, Duration::zero()) + TransmissionTime(aBytes);
}

Duration LinkBacklog::TransmissionTime(size_t aBytes) const
{
  if (settings_.megabitsPerSecond_ <= 0) {
    return Duration::zero();
  }
  const size_t segments = (aBytes + kSegmentBytes - 1) / kSegmentBytes;
  const double bits =
    kBitsPerByte *
    static_cast<double>(aBytes + segments * kSegmentOverheadBytes);
  return duration_cast<Duration>(std::chrono::duration<double>(
    bits / (settings_.megabitsPerSecond_ * kBitsPerMegabit)));
}

} // namespace foxtail
