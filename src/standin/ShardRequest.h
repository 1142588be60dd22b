#ifndef STANDIN_SHARDREQUEST_H
#define STANDIN_SHARDREQUEST_H

#include "core/Time.h"
#include "http/HttpTypes.h"

#include <cstdint>
#include <optional>
#include <string>

namespace foxtail {

/// The part of a layout that a server holds.
struct ShardPlace
{
  uint64_t version_ = 0;
  uint32_t shard_ = 0;
  uint32_t shards_ = 1;

  friend bool operator==(const ShardPlace&, const ShardPlace&) = default;
};

/// A request of docs/BACKEND.md, as it was received.
struct ShardRequest
{
  /// Kept as text: it is only echoed.
  std::string attempt_;
  ShardPlace place_;
  std::optional<TimePoint> deadline_;
  std::string idempotencyKey_;
  std::string body_;

  /// @return nothing when a header that the contract wants is missing or wrong.
  static std::optional<ShardRequest> Parse(HttpRequest aRequest,
                                           TimePoint aNow);
};

} // namespace foxtail

#endif // STANDIN_SHARDREQUEST_H
