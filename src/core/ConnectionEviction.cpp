#include "core/ConnectionEviction.h"

#include <algorithm>
#include <tuple>

namespace foxtail {
namespace {

constexpr milliseconds kProgressInterval{ 500 };

int64_t IntervalAt(TimePoint aNow)
{
  return aNow.time_since_epoch() / kProgressInterval;
}

} // namespace

void RecentProgress::Add(size_t aBytes, TimePoint aNow)
{
  const int64_t interval = IntervalAt(aNow);
  if (interval != interval_) {
    previous_ = interval == interval_ + 1 ? current_ : 0;
    current_ = 0;
    interval_ = interval;
  }
  current_ += aBytes;
}

size_t RecentProgress::Bytes(TimePoint aNow) const
{
  const int64_t interval = IntervalAt(aNow);
  if (interval == interval_) {
    return current_ + previous_;
  }
  return interval == interval_ + 1 ? current_ : 0;
}

std::vector<size_t> ConnectionEviction::Choose(
  std::vector<ConnectionProgress> aConnections,
  size_t aBytes,
  TimePoint aNow)
{
  std::erase_if(aConnections, [&](const ConnectionProgress& aConnection) {
    const bool isUseless = aBytes > 0 && aConnection.heldBytes_ == 0;
    return aConnection.isServed_ || isUseless ||
           aNow - aConnection.waitingSince_ < kMinWait;
  });
  std::sort(
    aConnections.begin(),
    aConnections.end(),
    [](const ConnectionProgress& aLeft, const ConnectionProgress& aRight) {
      return std::make_tuple(
               aLeft.recentBytes_, aRight.heldBytes_, aLeft.waitingSince_) <
             std::make_tuple(
               aRight.recentBytes_, aLeft.heldBytes_, aRight.waitingSince_);
    });
  std::vector<size_t> chosen;
  size_t freed = 0;
  for (const ConnectionProgress& connection : aConnections) {
    if (!chosen.empty() && freed >= aBytes) {
      break;
    }
    chosen.push_back(connection.index_);
    freed += connection.heldBytes_;
  }
  return chosen;
}

} // namespace foxtail
