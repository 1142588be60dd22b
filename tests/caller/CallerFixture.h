#ifndef TESTS_CALLER_CALLERFIXTURE_H
#define TESTS_CALLER_CALLERFIXTURE_H

#include "../backend/FakeBackend.h"

#include "backend/BackendFleet.h"
#include "caller/CallerService.h"
#include "http/HttpClient.h"
#include "http/HttpServer.h"

#include <boost/json.hpp>
#include <doctest/doctest.h>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace foxtail {

/// Callers' port of an entry instance, with a routing table that the test sets.
class CallerFixture
{
public:
  /// @param aServices services of the document, as JSON.
  explicit CallerFixture(const std::string& aServices,
                         ClaimStore* aClaims = nullptr)
    : workers_(2)
    , document_(MakeDocument(aServices))
    , fleet_(InstanceId("entry-1"),
             {},
             FullConnectionShares(),
             workers_,
             metrics_)
    , service_(workers_, fleet_, document_, aClaims, metrics_)
    , server_({}, workers_)
  {
    fleet_.Start(Now());
    REQUIRE(server_
              .Start([this](HttpRequest aRequest) {
                return service_.Handle(std::move(aRequest));
              })
              .ok());
    workers_.Start();
  }

  ~CallerFixture() { workers_.Stop(); }

  void Announce(const std::vector<Announcement>& aAnnouncements)
  {
    std::vector<Replica> replicas;
    for (const Announcement& announcement : aAnnouncements) {
      replicas.push_back({ announcement, Now() - seconds(60), Now() });
      replicas.back().firstAnnouncementAt_ = Now() - seconds(60);
      replicas.back().lastAnnouncementAt_ = Now();
    }
    fleet_.Update(std::make_shared<const RoutingTable>(std::move(replicas)),
                  Now());
  }

  using Headers = std::vector<std::pair<std::string, std::string>>;

  HttpResponse Post(const std::string& aPath,
                    const std::string& aBody = "{}",
                    const Headers& aHeaders = {})
  {
    HttpRequest request =
      MakeRequest(boost::beast::http::verb::post, aPath, aBody);
    for (const auto& [name, value] : aHeaders) {
      request.set(name, value);
    }
    const TcpEndpoint endpoint(boost::asio::ip::make_address("127.0.0.1"),
                               server_.Port());
    auto response =
      BlockingExchange(endpoint, std::move(request), milliseconds(10000));
    REQUIRE_MESSAGE(response.ok(), response.status().message());
    return *response;
  }

  static std::string OutcomeOf(const HttpResponse& aResponse)
  {
    return std::string(HeaderOf(aResponse, "Foxtail-Outcome"));
  }

  Metrics metrics_;
  WorkerPool workers_;
  RcuCell<Document> document_;
  BackendFleet fleet_;
  CallerService service_;
  HttpServer server_;

private:
  static std::shared_ptr<const Document> MakeDocument(
    const std::string& aServices)
  {
    auto document = ParseDocument(R"({"teams":[{"name":"agro"}],"services":)" +
                                  aServices + "}");
    REQUIRE_MESSAGE(document.ok(), document.status().message());
    return std::make_shared<const Document>(std::move(*document));
  }

  static PolicySettings FullConnectionShares()
  {
    PolicySettings policy;
    policy.connectionShare_.growDelay_ = milliseconds(0);
    policy.connectionShare_.reservePercent_ = 0;
    return policy;
  }
};

/// @return an announcement of shard @p aShard of @p aShards.
inline Announcement ShardAnnouncement(const std::string& aServer,
                                      const FakeBackend& aBackend,
                                      uint32_t aShard,
                                      uint32_t aShards,
                                      uint64_t aVersion = 1)
{
  Announcement announcement = AnnouncementOf(aServer, aBackend.Address());
  announcement.shard_ = ShardId(aShard);
  announcement.shardCount_ = aShards;
  announcement.version_ = IndexVersion(aVersion);
  return announcement;
}

/// Replies with the body, version and shard of the request.
inline FakeReply Echo(const HttpRequest& aRequest)
{
  ReplyParts parts(aRequest);
  parts.body_ = R"({"version":")" + parts.version_ + R"(","shard":")" +
                parts.shard_ + R"(","token":)" + aRequest.body() + "}";
  return { parts.Text(), {}, false, false };
}

} // namespace foxtail

#endif // TESTS_CALLER_CALLERFIXTURE_H
