#ifndef STATUS_STATUSSERVICE_H
#define STATUS_STATUSSERVICE_H

#include "core/Metrics.h"
#include "http/HttpTypes.h"
#include "status/AnnouncementReceiver.h"

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/json.hpp>
#include <functional>

namespace foxtail {

/// Serves the platform's port: health, readiness, metrics, status and the
/// announcements of backend servers. Handle() is called on the receiver's
/// thread; SetDraining() is thread safe.
class StatusService
{
public:
  /// @return an empty text when the instance is ready, else the reason.
  using Readiness = std::function<std::string()>;
  using Status = std::function<boost::json::value()>;

  /// @param aReceiver null in instances that receive no announcements.
  StatusService(Metrics& aMetrics,
                AnnouncementReceiver* aReceiver,
                Readiness aReadiness,
                Status aStatus);

  /// Makes /readyz fail from now on.
  void SetDraining() { isDraining_ = true; }

  boost::asio::awaitable<HttpResponse> Handle(HttpRequest aRequest);

private:
  HttpResponse Ready() const;
  HttpResponse MetricsText();
  HttpResponse Announce(const HttpRequest& aRequest);

  Metrics& metrics_;
  AnnouncementReceiver* receiver_;
  Readiness readiness_;
  Status status_;
  prometheus::Gauge& droppedLogLines_;
  std::atomic<bool> isDraining_{ false };
};

} // namespace foxtail

#endif // STATUS_STATUSSERVICE_H
