#ifndef STANDIN_SERVERSTATS_H
#define STANDIN_SERVERSTATS_H

#include "core/EnumTable.h"
#include "core/Time.h"

#include <array>
#include <boost/json.hpp>
#include <cstdint>
#include <map>
#include <string>

namespace foxtail {

/// Reasons of docs/BACKEND.md for which a request is refused unrun.
enum class RefusalReason
{
  Overloaded,
  Draining,
  Deadline,
  Version,
  Shard,
  Cancelled,
};

template<>
struct EnumTable<RefusalReason>
{
  static constexpr std::array<EnumName<RefusalReason>, 6> kRows{ {
    { RefusalReason::Overloaded, "overloaded" },
    { RefusalReason::Draining, "draining" },
    { RefusalReason::Deadline, "deadline" },
    { RefusalReason::Version, "version" },
    { RefusalReason::Shard, "shard" },
    { RefusalReason::Cancelled, "cancelled" },
  } };
};

/// Counts of one stand-in server since the last reset.
struct ServerStats
{
  /// Requests for a shard that arrived whole.
  uint64_t received_ = 0;
  /// Requests that began in a slot.
  uint64_t run_ = 0;
  /// Requests that ended in a slot.
  uint64_t completed_ = 0;
  /// Requests cancelled, queued or running.
  uint64_t cancelled_ = 0;
  /// Running requests stopped at their deadline.
  uint64_t stopped_ = 0;
  std::array<uint64_t, EnumTable<RefusalReason>::kRows.size()> refused_{};
  /// Requests that broke the contract, such as two at once on a connection.
  uint64_t contractFaults_ = 0;

  uint64_t connectionsOpened_ = 0;
  uint64_t connectionsPeak_ = 0;
  uint64_t overLimit_ = 0;
  /// Connections whose first request came before the connection was set up.
  uint64_t requestPathConnects_ = 0;

  /// Requests that arrived after the server announced that it leaves, or
  /// ceased to announce itself.
  uint64_t workAfterLeaving_ = 0;
  uint64_t workAfterLeaving2s_ = 0;
  /// The longest time after leaving at which a request arrived.
  Duration lastWorkAfterLeaving_{};

  Duration busy_{};
  /// How often the action of each idempotency key was run.
  std::map<std::string, uint32_t> runsByKey_;
  /// How often each request token began in a slot, when that is recorded.
  std::map<std::string, uint32_t> runsByToken_;

  boost::json::object ToJson() const;
};

} // namespace foxtail

#endif // STANDIN_SERVERSTATS_H
