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

/// The index version that one catalogue was answered from.
struct CatalogueSnapshot
{
  CatalogueName catalogue_;
  LayoutKey layout_;
};

/// One shard's result, as the backend server sent it.
struct ShardResult
{
  /// Index into QueryAnswer::snapshot_.
  uint32_t catalogue_ = 0;
  ShardId shard_;
  std::string body_;
};

/// The merged answer to one query.
struct QueryAnswer
{
  RequestId request_;
  Outcome outcome_ = Outcome::NotRun;
  std::vector<CatalogueSnapshot> snapshot_;
  Coverage coverage_;
  std::vector<ShardResult> results_;
  /// Time of the slowest shard exchange that the answer waited for.
  Duration slowestShard_{};
};

/// @return the response of a query: 200 with what was answered; 503 when
/// nothing was run, 504 when nothing was answered but some of it may have run.
HttpResponse ToResponse(const QueryAnswer& aAnswer);

/// @return a failure with its typed outcome.
/// @param aRequest may be empty when the request has no id yet.
HttpResponse FailureResponse(HttpStatus aStatus,
                             const RequestId& aRequest,
                             Outcome aOutcome,
                             ErrorKind aKind,
                             std::string_view aMessage);

} // namespace foxtail

#endif // CALLER_QUERYANSWER_H
