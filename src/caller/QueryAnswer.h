#ifndef CALLER_QUERYANSWER_H
#define CALLER_QUERYANSWER_H

#include "caller/Coverage.h"
#include "core/Error.h"
#include "core/Ids.h"
#include "core/Time.h"
#include "http/HttpTypes.h"
#include "policy/Outcome.h"
#include "policy/RoutingTable.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace foxtail {

/// Index version of a catalogue from which its results come.
struct CatalogueSnapshot
{
  CatalogueName catalogue_;
  LayoutKey layout_;
};

/// Result of one shard, as the backend server returned it.
struct ShardResult
{
  /// Index into QueryAnswer::snapshot_.
  uint32_t catalogue_ = 0;
  ShardId shard_;
  std::string body_;
};

/// Merged answer to one query.
struct QueryAnswer
{
  RequestId request_;
  Outcome outcome_ = Outcome::NotRun;
  std::vector<CatalogueSnapshot> snapshot_;
  Coverage coverage_;
  std::vector<ShardResult> results_;
  /// Duration of the slowest exchange with a shard that returned a reply.
  Duration slowestShard_{};
};

/// @return the response to a query: 200 when at least one shard replied, 503
/// when the query was not run on any shard, 504 when no shard replied but some
/// may have run it.
HttpResponse ToResponse(const QueryAnswer& aAnswer);

/// @param aRequest empty when the request has no id yet.
/// @return an error response with its outcome and error kind.
HttpResponse FailureResponse(HttpStatus aStatus,
                             const RequestId& aRequest,
                             Outcome aOutcome,
                             ErrorKind aKind,
                             std::string_view aMessage);

} // namespace foxtail

#endif // CALLER_QUERYANSWER_H
