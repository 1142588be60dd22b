#ifndef TESTS_OPERATOR_FAKEADMIN_H
#define TESTS_OPERATOR_FAKEADMIN_H

#include "config/Document.h"
#include "http/HttpServer.h"
#include "operator/AdminClient.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace foxtail {

/// What the fake does with the next change.
enum class FakeFault
{
  None,
  /// Accepts it, and answers too late.
  AcceptAndLoseAnswer,
  NotRun,
  Unknown,
  /// Names itself as no leader.
  Misdirect,
};

/// The administration API in memory, on a port of its own.
class FakeAdmin
{
public:
  explicit FakeAdmin(std::string aToken = "mai.secret")
    : token_(std::move(aToken))
    , workers_(1)
    , server_(HttpServerSettings{}, workers_)
    , document_(ToJson(Document()))
  {
    (void)server_.Start(
      [this](HttpRequest aRequest) { return Handle(std::move(aRequest)); });
    workers_.Start();
  }
  ~FakeAdmin() { workers_.Stop(); }

  TcpEndpoint Endpoint() const
  {
    return { boost::asio::ip::make_address("127.0.0.1"), server_.Port() };
  }

  void SetFault(FakeFault aFault, std::string aLeader = {})
  {
    const std::lock_guard lock(mutex_);
    fault_ = aFault;
    leader_ = std::move(aLeader);
  }

  /// Accepts a document as another operator would.
  void Accept(const boost::json::value& aDocument)
  {
    const std::lock_guard lock(mutex_);
    document_ = aDocument;
    ++version_;
  }

  uint64_t Version() const
  {
    const std::lock_guard lock(mutex_);
    return version_;
  }
  boost::json::value AcceptedDocument() const
  {
    const std::lock_guard lock(mutex_);
    return document_;
  }
  int Requests() const
  {
    const std::lock_guard lock(mutex_);
    return requests_;
  }

private:
  boost::asio::awaitable<HttpResponse> Handle(HttpRequest aRequest)
  {
    bool isLate = false;
    HttpResponse response = Answer(aRequest, isLate);
    if (isLate) {
      boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                      milliseconds(400));
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
    co_return response;
  }

  static HttpResponse Json(unsigned aStatus, const boost::json::value& aBody)
  {
    return JsonResponse(static_cast<HttpStatus>(aStatus),
                        boost::json::serialize(aBody));
  }

  HttpResponse Answer(const HttpRequest& aRequest, bool& aIsLate)
  {
    const std::lock_guard lock(mutex_);
    ++requests_;
    const std::string path(PathOf(aRequest));
    const bool isKnown =
      HeaderOf(aRequest, "Authorization") == "Bearer " + token_;
    const bool isRead = aRequest.method() == boost::beast::http::verb::get &&
                        path != "/v1/operator";
    if (!isKnown && !isRead) {
      return Json(401, { { "error", "the credentials are not known" } });
    }
    if (path == "/v1/operator") {
      return Json(200, { { "name", "mai" }, { "role", "all" } });
    }
    if (fault_ == FakeFault::Misdirect) {
      return Json(421, { { "leader", leader_ } });
    }
    if (path == "/v1/history") {
      return Json(
        200,
        { { "changes",
            boost::json::array{ { { "version", 1 },
                                  { "change_id", "c1" },
                                  { "operator", "<b>mai</b>" },
                                  { "time", "2026-12-04T05:17:27Z" },
                                  { "summary", "added services/a" } } } } });
    }
    if (path == "/v1/status") {
      return Json(200, { { "instance", "control-1" }, { "role", "leader" } });
    }
    if (path == "/v1/evacuations") {
      return Evacuations(aRequest);
    }
    if (aRequest.method() == boost::beast::http::verb::get) {
      return Json(200, { { "version", version_ }, { "document", document_ } });
    }
    const auto body = boost::json::parse(aRequest.body());
    JsonFaults faults;
    Document::Parse(body.at("document"), faults);
    boost::json::array list;
    for (const JsonFault& fault : faults.List()) {
      list.push_back(
        { { "path", fault.path_ }, { "message", fault.message_ } });
    }
    if (path == "/v1/check") {
      return Json(200, { { "faults", list } });
    }
    if (!list.empty()) {
      return Json(400, { { "error", "invalid" }, { "faults", list } });
    }
    return Change(body, aIsLate);
  }

  HttpResponse Evacuations(const HttpRequest& aRequest)
  {
    if (aRequest.method() == boost::beast::http::verb::get) {
      boost::json::array zones(evacuated_.begin(), evacuated_.end());
      return Json(
        200, { { "zones", zones }, { "revision", 1 }, { "orders", orders_ } });
    }
    if (fault_ == FakeFault::Unknown) {
      return Json(503, { { "outcome", "unknown" }, { "error", "no quorum" } });
    }
    const auto body = boost::json::parse(aRequest.body());
    const std::string zone(body.at("zone").as_string());
    if (body.at("known_orders").to_number<uint64_t>() != orders_) {
      return Json(409, { { "error", "another order was applied first" } });
    }
    ++orders_;
    if (body.at("evacuated").as_bool()) {
      evacuated_.insert(zone);
    } else {
      evacuated_.erase(zone);
    }
    return Json(200, { { "zone", zone }, { "revision", 1 } });
  }

  HttpResponse Change(const boost::json::value& aBody, bool& aIsLate)
  {
    if (fault_ == FakeFault::NotRun || fault_ == FakeFault::Unknown) {
      const char* outcome = fault_ == FakeFault::NotRun ? "not_run" : "unknown";
      return Json(503, { { "outcome", outcome }, { "error", "no quorum" } });
    }
    const std::string id(aBody.at("change_id").as_string());
    const auto first = results_.find(id);
    if (first == results_.end()) {
      const bool isCurrent =
        aBody.at("base_version").to_number<uint64_t>() == version_;
      if (isCurrent) {
        document_ = aBody.at("document");
        ++version_;
      }
      results_[id] = { isCurrent ? 200U : 409U,
                       { { "version", version_ }, { "change_id", id } } };
    }
    aIsLate = fault_ == FakeFault::AcceptAndLoseAnswer;
    return Json(results_[id].first, results_[id].second);
  }

  mutable std::mutex mutex_;
  std::string token_;
  std::string leader_;
  FakeFault fault_ = FakeFault::None;
  WorkerPool workers_;
  HttpServer server_;
  boost::json::value document_;
  uint64_t version_ = 0;
  int requests_ = 0;
  std::set<std::string> evacuated_;
  uint64_t orders_ = 0;
  std::map<std::string, std::pair<unsigned, boost::json::value>> results_;
};

} // namespace foxtail

#endif // TESTS_OPERATOR_FAKEADMIN_H
