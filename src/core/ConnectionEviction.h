#ifndef CORE_CONNECTIONEVICTION_H
#define CORE_CONNECTIONEVICTION_H

#include "core/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace foxtail {

/// Bytes that a connection has transferred of late, counted in intervals. Not
/// thread safe.
class RecentProgress
{
public:
  void Add(size_t aBytes, TimePoint aNow);
  /// @return bytes of the present and the previous interval.
  size_t Bytes(TimePoint aNow) const;

private:
  size_t current_ = 0;
  size_t previous_ = 0;
  int64_t interval_ = 0;
};

/// State of one connection, by which it is chosen for closing.
struct ConnectionProgress
{
  /// Index that the caller assigns.
  size_t index_ = 0;
  size_t heldBytes_ = 0;
  size_t recentBytes_ = 0;
  /// When the connection began to wait for its peer.
  TimePoint waitingSince_{};
  /// Whether a request is in progress, so that the connection waits for this
  /// process and not for its peer.
  bool isServed_ = false;
};

/// Decides which connections are closed when the budget or the descriptors are
/// short: those that wait for a peer that has transferred the least of late,
/// and among equals those that hold the most. Connections whose request is in
/// progress, and those that have waited for less than kMinWait, are kept.
class ConnectionEviction
{
public:
  /// A round trip between regions and a lost packet.
  static constexpr milliseconds kMinWait{ 300 };

  /// @param aBytes bytes to free; 0 to free the descriptor of one connection.
  /// @return the indexes of the connections to close, fewest that suffice.
  static std::vector<size_t> Choose(
    std::vector<ConnectionProgress> aConnections,
    size_t aBytes,
    TimePoint aNow);
};

} // namespace foxtail

#endif // CORE_CONNECTIONEVICTION_H
