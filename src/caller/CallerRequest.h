#ifndef CALLER_CALLERREQUEST_H
#define CALLER_CALLERREQUEST_H

#include "caller/QueryExecution.h"
#include "http/HttpTypes.h"

#include <absl/status/statusor.h>
#include <optional>
#include <string_view>

namespace foxtail {

/// Kind of request that a path on the callers' port stands for.
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

/// @return the target of /v1/query/{service} or /v1/action/{service}; nothing
/// for other paths.
std::optional<CallerTarget> ParseCallerTarget(std::string_view aPath);

/// @return the request id that the caller set in Foxtail-Request, empty when it
/// set none; InvalidRequest when the id is too long or contains invalid
/// characters.
absl::StatusOr<RequestId> ReadRequestId(const HttpRequest& aRequest);

/// Reads the deadline and patience headers, checks the deadline against the
/// service's limit and checks that the body is JSON.
///
/// @param aQuery must have its document, service and start time set.
/// @return InvalidRequest with the name of the header and its limit.
absl::Status ReadQueryOptions(const HttpRequest& aRequest,
                              QueryRequest& aQuery);

} // namespace foxtail

#endif // CALLER_CALLERREQUEST_H
