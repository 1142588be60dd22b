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

/// Handles callers' actions. An action with an idempotency key is claimed
/// durably before it is dispatched, and its response is recorded; a resend with
/// the same key gets the recorded response and is never run again. Handle() is
/// called on workers; thread safe.
class ActionService
{
public:
  /// @param aClaims may be null; actions with an idempotency key are then
  /// refused.
  explicit ActionService(ClaimStore* aClaims)
    : claims_(aClaims)
  {
  }

  /// @param aKey idempotency key of the caller, empty for none.
  boost::asio::awaitable<HttpResponse> Handle(QueryWorker& aWorker,
                                              QueryRequest aRequest,
                                              std::string aKey);

  /// @return the number of outcomes that are still being recorded.
  size_t PendingRecords() const { return pendingRecords_; }

private:
  boost::asio::awaitable<ActionResult> Run(QueryWorker& aWorker,
                                           QueryRequest aRequest,
                                           std::string aKey);
  boost::asio::awaitable<HttpResponse> HandleWithKey(QueryWorker& aWorker,
                                                     QueryRequest aRequest,
                                                     ClaimRequest aClaim);
  /// Starts to record the outcome or to release the claim; the caller's
  /// response does not wait for it.
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

/// @return the value of the Idempotency-Key header, empty when the request has
/// none; InvalidRequest when its value is empty, too long or contains invalid
/// characters.
absl::StatusOr<std::string> ReadIdempotencyKey(const HttpRequest& aRequest);

} // namespace foxtail

#endif // CALLER_ACTIONSERVICE_H
