#ifndef CALLER_QUERYWORKER_H
#define CALLER_QUERYWORKER_H

#include "backend/BackendFleet.h"
#include "caller/AdmissionController.h"
#include "caller/AttemptIdGenerator.h"
#include "caller/CallerMetrics.h"
#include "caller/ServicePolicies.h"
#include "config/Document.h"
#include "core/RandomSource.h"
#include "core/RcuCell.h"

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <map>
#include <string>

namespace foxtail {

/// State of one worker thread for callers' requests: policies, admission
/// control and random numbers. Called from that worker's thread only.
class QueryWorker
{
public:
  QueryWorker(size_t aIndex,
              size_t aWorkerCount,
              boost::asio::io_context& aContext,
              BackendFleet& aFleet,
              const RcuCell<Document>& aDocument,
              CallerMetrics& aMetrics,
              uint64_t aSeed);

  size_t Index() const { return index_; }
  BackendFleet& Fleet() { return fleet_; }
  const PolicySettings& Policy() const { return fleet_.Policy(); }
  const std::shared_ptr<const FleetView>& View() { return view_.Get(); }
  CallerMetrics& GetMetrics() { return metrics_; }
  RandomSource& Random() { return random_; }
  AttemptIdGenerator& AttemptIds() { return attemptIds_; }
  AdmissionController& Admission() { return admissionController_; }

  /// @return the document in force, after its changes have been applied to this
  /// worker.
  const std::shared_ptr<const Document>& GetDocument();

  /// @param aService a member of the document in force.
  /// @return the policy state of the service; discarded when a newer document
  /// lacks the service.
  std::shared_ptr<ServicePolicies> Service(const ServiceSettings& aService);

  /// @return a number that is unique among the requests of this worker.
  uint64_t NextRequestNumber() { return ++requestCounter_; }

private:
  void ApplyDocument(const Document& aDocument);
  /// @return the number of further requests that the service's backend servers
  /// can accept.
  uint32_t FreeSlots(const ServiceSettings& aService);

  const size_t index_;
  const size_t workerCount_;
  BackendFleet& fleet_;
  RcuReader<FleetView> view_;
  RcuReader<Document> document_;
  const Document* appliedDocument_ = nullptr;
  CallerMetrics& metrics_;
  RandomSource random_;
  AttemptIdGenerator attemptIds_;
  AdmissionController admissionController_;
  std::map<ServiceName, std::shared_ptr<ServicePolicies>> services_;
  uint64_t requestCounter_ = 0;
};

} // namespace foxtail

#endif // CALLER_QUERYWORKER_H
