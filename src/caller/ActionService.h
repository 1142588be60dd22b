#ifndef CALLER_ACTIONSERVICE_H
#define CALLER_ACTIONSERVICE_H

#include "caller/ActionExecution.h"
#include "caller/ClaimStore.h"
#include "caller/QueryWorker.h"
#include "http/HttpTypes.h"

#include <absl/status/statusor.h>
#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <string>

namespace foxtail {

/// Answers callers' actions. With an idempotency key the action is claimed
/// durably before it is dispatched, and its answer recorded; a resend gets the
/// recorded answer and is never run again. Handle() is called on workers;
/// thread safe.
class ActionService
{
public:
  /// @param aClaims may be null: then actions with a key are refused.
  explicit ActionService(ClaimStore* aClaims)
    : claims_(aClaims)
  {
  }

  /// @param aKey of the caller, empty for none.
  boost::asio::awaitable<HttpResponse> Handle(QueryWorker& aWorker,
                                              QueryRequest aRequest,
                                              std::string aKey);

  /// @return records that are still being written.
  size_t PendingRecords() const { return pendingRecords_; }

private:
  boost::asio::awaitable<ActionResult> Run(QueryWorker& aWorker,
                                           QueryRequest aRequest,
                                           std::string aKey);
  boost::asio::awaitable<HttpResponse> HandleWithKey(QueryWorker& aWorker,
                                                     QueryRequest aRequest,
                                                     ClaimRequest aClaim);
  /// Records or releases the claim, without the caller waiting.
  void StartSettlingClaim(const boost::asio::any_io_executor& aExecutor,
                          ClaimRequest aClaim,
                          Outcome aOutcome,
                          const HttpResponse& aResponse);
  boost::asio::awaitable<void> SettleClaim(ClaimRequest aClaim,
                                           Outcome aOutcome,
                                           ActionRecord aRecord);

  ClaimStore* claims_;
  std::atomic<size_t> pendingRecords_{ 0 };
};

/// @return the caller's Idempotency-Key, empty when it gave none;
/// InvalidRequest when it has other characters or is too long.
absl::StatusOr<std::string> ReadIdempotencyKey(const HttpRequest& aRequest);

} // namespace foxtail

#endif // CALLER_ACTIONSERVICE_H
