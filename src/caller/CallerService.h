#ifndef CALLER_CALLERSERVICE_H
#define CALLER_CALLERSERVICE_H

#include "backend/BackendFleet.h"
#include "caller/ActionService.h"
#include "caller/CallerMetrics.h"
#include "caller/CallerRequest.h"
#include "caller/ClaimStore.h"
#include "caller/QueryWorker.h"
#include "core/WorkerPool.h"
#include "http/HttpTypes.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>
#include <vector>

namespace foxtail {

/// Handles callers' queries and actions. Handle() is called on workers of the
/// pool, each request on one worker; the other functions are called from one
/// thread.
class CallerService
{
public:
  /// @param aClaims may be null; actions with an idempotency key are then
  /// refused.
  CallerService(WorkerPool& aWorkers,
                BackendFleet& aFleet,
                const RcuCell<Document>& aDocument,
                ClaimStore* aClaims,
                Metrics& aMetrics);
  ~CallerService();
  CallerService(const CallerService&) = delete;
  CallerService& operator=(const CallerService&) = delete;

  /// Handles one HTTP request on the callers' port.
  boost::asio::awaitable<HttpResponse> Handle(HttpRequest aRequest);

  /// @return the number of action outcomes that are still being recorded.
  size_t PendingRecords() const { return actions_.PendingRecords(); }

private:
  QueryWorker& WorkerOf(const boost::asio::any_io_executor& aExecutor);
  RequestId MakeRequestId(QueryWorker& aWorker) const;
  /// Passes a request through admission control, runs it if it is admitted, and
  /// updates the metrics.
  boost::asio::awaitable<HttpResponse> AdmitAndRun(QueryWorker& aWorker,
                                                   QueryRequest aQuery,
                                                   std::string aKey);
  boost::asio::awaitable<HttpResponse> RunQuery(QueryWorker& aWorker,
                                                QueryRequest aQuery);

  WorkerPool& workers_;
  CallerMetrics metrics_;
  ActionService actions_;
  std::vector<std::unique_ptr<QueryWorker>> queryWorkers_;
  std::string requestIdPrefix_;
};

} // namespace foxtail

#endif // CALLER_CALLERSERVICE_H
