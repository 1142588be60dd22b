#ifndef CALLER_CALLERREQUEST_H
#define CALLER_CALLERREQUEST_H

#include "caller/QueryExecution.h"
#include "http/HttpTypes.h"

#include <absl/status/statusor.h>
#include <optional>
#include <string_view>

namespace foxtail {

/// What a path of the callers' port names.
enum class CallerRoute
{
  Query,
  Action,
};

struct CallerTarget
{
  CallerRoute route_ = CallerRoute::Query;
  std::string service_;
};

/// @return the target of /v1/query/{service} and /v1/action/{service}, or
/// nothing.
std::optional<CallerTarget> ParseCallerTarget(std::string_view aPath);

/// @return the caller's own request id from Foxtail-Request, empty when it gave
/// none; InvalidRequest when it has other characters or is too long.
absl::StatusOr<RequestId> ReadRequestId(const HttpRequest& aRequest);

/// Reads deadline and patience within the bounds of the service, and checks
/// the body.
///
/// @param aQuery has its document, service and start already.
/// @return InvalidRequest, naming the header and the bound.
absl::Status ReadQueryOptions(const HttpRequest& aRequest,
                              QueryRequest& aQuery);

} // namespace foxtail

#endif // CALLER_CALLERREQUEST_H
