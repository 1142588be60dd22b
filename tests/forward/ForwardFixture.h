#ifndef TESTS_FORWARD_FORWARDFIXTURE_H
#define TESTS_FORWARD_FORWARDFIXTURE_H

#include "ScriptedServer.h"
#include "core/Metrics.h"
#include "forward/CallerPort.h"
#include "http/HttpClient.h"

#include <boost/asio/post.hpp>
#include <future>

namespace foxtail {

/// A gateway with its caller port, running on its own thread.
class ForwardFixture
{
public:
  explicit ForwardFixture(ForwardSettings aSettings = StartedSettings())
    : pool_(1)
    , gateway_(WithBudgetSlack(std::move(aSettings)),
               HeaderNames{},
               pool_.Context(0),
               metrics_,
               1)
    , callers_({}, gateway_, pool_.Context(0), metrics_)
  {
    gateway_.Start(Now());
    gateway_.SetInstances(1, Now());
    callers_.Start().IgnoreError();
    pool_.Start();
  }
  ~ForwardFixture() { pool_.Stop(); }

  /// @return settings of an instance whose startup is over.
  static ForwardSettings StartedSettings()
  {
    ForwardSettings settings;
    settings.startupHold_.maxStartupTime_ = milliseconds(0);
    return settings;
  }

  /// Runs @p aWork on the gateway's thread and waits for it.
  void RunOnGatewayThread(const std::function<void()>& aWork)
  {
    std::promise<void> done;
    boost::asio::post(pool_.Context(0), [&] {
      aWork();
      done.set_value();
    });
    done.get_future().wait();
  }

  void SetRoutes(RouteDocument aDocument)
  {
    RunOnGatewayThread([&] {
      gateway_.SetRoutes(
        std::make_shared<const RouteTable>(std::move(aDocument)), Now());
    });
  }

  void Announce(const char* aId,
                const char* aService,
                const std::string& aAddress,
                ServerPhase aPhase = ServerPhase::Ready,
                const char* aZone = "")
  {
    ServerAnnouncement announcement;
    announcement.id_ = BackendId(aId);
    announcement.service_ = ServiceName(aService);
    announcement.address_ = aAddress;
    announcement.zone_ = ZoneName(aZone);
    announcement.slots_ = 3;
    announcement.phase_ = aPhase;
    announcement.zone_ = ZoneName(aZone);
    announcement.startedAtMs_ = 1;
    announcement.sequence_ = ++sequence_;
    RunOnGatewayThread([&] {
      directory_.Apply(announcement, Now());
      gateway_.SetServers(directory_, Now());
    });
  }

  void SetEvacuatedZones(std::set<ZoneName> aZones)
  {
    RunOnGatewayThread([&] { gateway_.SetEvacuatedZones(aZones, Now()); });
  }

  TcpEndpoint Endpoint() const
  {
    return { boost::asio::ip::make_address("127.0.0.1"), callers_.Port() };
  }

  HttpResponse Get(const std::string& aTarget,
                   milliseconds aTimeLeft = seconds(2),
                   const std::string& aId = "request-1")
  {
    HttpRequest request = MakeRequest(boost::beast::http::verb::get, aTarget);
    return Send(std::move(request), aTimeLeft, aId);
  }

  HttpResponse Send(HttpRequest aRequest,
                    milliseconds aTimeLeft = seconds(2),
                    const std::string& aId = "request-1")
  {
    const HeaderNames headers;
    aRequest.set(boost::beast::http::field::host, "shop.example");
    aRequest.set(headers.requestId_, aId);
    aRequest.set(headers.timeLeftMs_, std::to_string(aTimeLeft.count()));
    auto response =
      BlockingExchange(Endpoint(), std::move(aRequest), seconds(5));
    return response.ok() ? *response : HttpResponse{};
  }

  std::string MetricsText() const { return metrics_.ToText(); }
  Gateway& GetGateway() { return gateway_; }
  CallerPort& Callers() { return callers_; }

private:
  static ForwardSettings WithBudgetSlack(ForwardSettings aSettings)
  {
    if (aSettings.extraBudget_.slack_ == ExtraAttemptBudgetSettings{}.slack_) {
      aSettings.extraBudget_.slack_ = 100;
    }
    return aSettings;
  }

  Metrics metrics_;
  WorkerPool pool_;
  ServerDirectory directory_;
  uint64_t sequence_ = 0;
  Gateway gateway_;
  CallerPort callers_;
};

/// @return a raw successful reply with the default header names.
inline std::string SignedReply(const std::string& aBody,
                               const std::string& aSignature = "sig-1",
                               const std::string& aId = "request-1")
{
  const HeaderNames headers;
  return "HTTP/1.1 200 OK\r\n" + headers.requestId_ + ": " + aId + "\r\n" +
         headers.signature_ + ": " + aSignature +
         "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         aBody;
}

/// @return a document with one route per service, with the path prefix
/// /SERVICE/.
inline RouteDocument SingleRoutes(const std::vector<std::string>& aServices,
                                  RouteEffect aEffect,
                                  uint32_t aMaxAttempts = 2)
{
  RouteDocument document;
  document.version_ = DocumentVersion(1);
  for (const std::string& service : aServices) {
    Route route;
    route.name_ = service;
    route.host_ = "shop.example";
    route.pathPrefix_ = "/" + service + "/";
    route.effect_ = aEffect;
    route.timeout_ = seconds(2);
    route.objective_ = milliseconds(200);
    route.maxAttempts_ = aMaxAttempts;
    route.target_ = SingleTarget{ ServiceName(service) };
    document.routes_.push_back(route);
    document.services_.push_back({ ServiceName(service), 30 });
  }
  return document;
}

} // namespace foxtail

#endif // TESTS_FORWARD_FORWARDFIXTURE_H
