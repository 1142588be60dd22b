#ifndef CALLER_ADMISSIONCONTROLLER_H
#define CALLER_ADMISSIONCONTROLLER_H

#include "policy/AdmissionQueue.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace foxtail {

/// Admission control of one worker: starts, queues or refuses each request
/// before any work is done for it, as AdmissionQueue decides. Called from one
/// worker.
class AdmissionController
{
public:
  /// @return the number of further requests that the service's backend servers
  /// can accept; nothing when the service is no longer configured.
  using FreeSlotsFunction =
    std::function<std::optional<uint32_t>(const ServiceName& aService)>;

  AdmissionController(AdmissionSettings aSettings,
                      boost::asio::io_context& aContext,
                      FreeSlotsFunction aFreeSlots);

  void Configure(const std::vector<AdmissionTeam>& aTeams,
                 const std::vector<AdmissionService>& aServices);

  /// Waits until the request is started or refused. When the verdict is Start,
  /// OnRequestDone() must be called at the end of the request.
  ///
  /// @param aTypicalDuration expected duration of the request, zero when
  /// unknown.
  boost::asio::awaitable<AdmissionVerdict> Admit(ServiceName aService,
                                                 TimePoint aDeadline,
                                                 Duration aTypicalDuration);

  /// Removes a started request from the running ones and starts queued requests
  /// in its place.
  void OnRequestDone(const ServiceName& aService, Duration aDuration);

  bool IsOverloaded(const ServiceName& aService) const
  {
    return queue_.IsOverloaded(aService);
  }

private:
  struct Waiter
  {
    boost::asio::steady_timer& timer_;
    ServiceName service_;
    std::optional<AdmissionVerdict> verdict_;
  };

  void UpdateConcurrency(const ServiceName& aService);
  void Poll();
  void ArmTimer();

  AdmissionQueue queue_;
  boost::asio::io_context& context_;
  FreeSlotsFunction freeSlots_;
  boost::asio::steady_timer pollTimer_;
  bool isPolling_ = false;
  uint64_t nextId_ = 0;
  std::map<uint64_t, Waiter*> waiters_;
  std::map<ServiceName, uint32_t> running_;
  std::vector<AdmissionEvent> events_;
};

} // namespace foxtail

#endif // CALLER_ADMISSIONCONTROLLER_H
