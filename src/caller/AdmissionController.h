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

/// Lets requests in front of everything that they cost wait, start or be
/// refused, as AdmissionQueue decides. Called from one worker.
class AdmissionController
{
public:
  /// @return how many more requests of the service its backend servers take
  /// now; nothing when it is not configured any more.
  using FreeSlotsFunction =
    std::function<std::optional<uint32_t>(const ServiceName& aService)>;

  AdmissionController(AdmissionSettings aSettings,
                      boost::asio::io_context& aContext,
                      FreeSlotsFunction aFreeSlots);

  void Configure(const std::vector<AdmissionTeam>& aTeams,
                 const std::vector<AdmissionService>& aServices);

  /// Waits until the request may start or is refused. After Start, call
  /// OnRequestDone().
  boost::asio::awaitable<AdmissionVerdict> Admit(ServiceName aService,
                                                 TimePoint aDeadline,
                                                 Duration aTypicalDuration);

  /// Counts a started request as over and starts those that wait for it.
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
