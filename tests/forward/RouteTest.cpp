#include "forward/ForwardSettings.h"
#include "forward/RouteTable.h"

#include "forward/RequestHandler.h"
#include "forward/ServerConnection.h"
#include "forward/ServerConnectionPool.h"

#include <doctest/doctest.h>

using namespace foxtail;

namespace {

Route RouteAt(const char* aName, const char* aHost, const char* aPrefix)
{
  Route route;
  route.name_ = aName;
  route.host_ = aHost;
  route.pathPrefix_ = aPrefix;
  route.effect_ = RouteEffect::Idempotent;
  route.timeout_ = seconds(1);
  route.target_ = SingleTarget{ ServiceName("proofs") };
  return route;
}

RouteDocument DocumentOf(std::vector<Route> aRoutes)
{
  RouteDocument document;
  document.version_ = DocumentVersion(3);
  document.routes_ = std::move(aRoutes);
  document.services_ = { { ServiceName("proofs"), 30 },
                         { ServiceName("notes"), 30 } };
  return document;
}

} // namespace

TEST_CASE("enum tables are complete and in order")
{
  CHECK(IsEnumTableOrdered<RouteEffect>());
  CHECK(IsEnumTableOrdered<ExchangeOutcome>());
  CHECK(IsEnumTableOrdered<ExchangeFault>());
  CHECK(IsEnumTableOrdered<AnswerSource>());
  CHECK(IsEnumTableOrdered<ZoneDistance>());
}

TEST_CASE("a route is selected by host and longest path prefix")
{
  const RouteTable table(DocumentOf({ RouteAt("root", "a.example", "/"),
                                      RouteAt("shop", "a.example", "/shop/"),
                                      RouteAt("deep", "a.example", "/shop/x/"),
                                      RouteAt("other", "b.example", "/x/") }));
  struct Row
  {
    const char* host_;
    const char* path_;
    const char* route_;
  };
  const Row rows[] = {
    { "a.example", "/", "root" },
    { "a.example", "/shop", "root" },
    { "a.example", "/shop/", "shop" },
    { "a.example", "/shop/1", "shop" },
    { "a.example", "/shop/x", "shop" },
    { "a.example", "/shop/x/1/2", "deep" },
    { "A.EXAMPLE:8080", "/shop/x/1", "deep" },
    { "b.example", "/x/1", "other" },
    { "b.example", "/y/1", "" },
    { "b.example", "/x", "" },
    { "c.example", "/x/1", "" },
    { "", "", "" },
    { "b.example", "x/", "" },
  };
  for (const Row& row : rows) {
    CAPTURE(row.host_);
    CAPTURE(row.path_);
    const Route* route = table.Find(row.host_, row.path_);
    CHECK((route == nullptr ? "" : route->name_) == row.route_);
  }
}

TEST_CASE("validation of an invalid document reports the fault")
{
  struct Row
  {
    const char* name_;
    void (*modify_)(RouteDocument&);
    const char* fault_;
  };
  const Row rows[] = {
    { "valid", [](RouteDocument&) {}, "" },
    { "an unknown service",
      [](RouteDocument& aDocument) {
        aDocument.routes_[0].target_ = SingleTarget{ ServiceName("nobody") };
      },
      "refers to the service nobody" },
    { "two routes with the same host and prefix",
      [](RouteDocument& aDocument) {
        aDocument.routes_.push_back(aDocument.routes_[0]);
      },
      "same host and path prefix" },
    { "weights that add up to 0",
      [](RouteDocument& aDocument) {
        aDocument.routes_[0].target_ =
          SplitTarget{ { { ServiceName("proofs"), 0 },
                         { ServiceName("notes"), 0 } } };
      },
      "add up to 0" },
    { "a negative weight",
      [](RouteDocument& aDocument) {
        aDocument.routes_[0].target_ =
          SplitTarget{ { { ServiceName("proofs"), 2 },
                         { ServiceName("notes"), -1 } } };
      },
      "negative" },
    { "a timeout of 0",
      [](RouteDocument& aDocument) {
        aDocument.routes_[0].timeout_ = milliseconds(0);
      },
      "time limit is 0" },
    { "a prefix without its trailing slash",
      [](RouteDocument& aDocument) {
        aDocument.routes_[0].pathPrefix_ = "/shop";
      },
      "begin and end with a slash" },
    { "a duplicate shard",
      [](RouteDocument& aDocument) {
        aDocument.routes_[0].target_ = GatherTarget{
          { ServiceName("proofs"), ServiceName("proofs") }, 3, 1
        };
      },
      "shard twice" },
    { "a duplicate service",
      [](RouteDocument& aDocument) {
        aDocument.services_.push_back(aDocument.services_[0]);
      },
      "is listed twice" },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    RouteDocument document =
      DocumentOf({ RouteAt("shop", "a.example", "/shop/") });
    row.modify_(document);
    const auto status = document.Validate();
    CHECK(status.ok() == (std::string(row.fault_).empty()));
    CHECK(std::string(status.message()).find(row.fault_) != std::string::npos);
  }
}

TEST_CASE("ParseServerLoad accepts well-formed load headers only")
{
  const auto load = ParseServerLoad("3,2,8");
  REQUIRE(load.has_value());
  CHECK(load->running_ == 3);
  CHECK(load->waiting_ == 2);
  CHECK(load->slots_ == 8);
  CHECK(load->slowness_ == doctest::Approx(1));
  CHECK(ParseServerLoad("3, 2, 8, 250")->slowness_ == doctest::Approx(2.5));
  for (const char* text : { "", "3", "3,2", "a,b,c", "3,2,", "-1,2,3" }) {
    CAPTURE(text);
    CHECK_FALSE(ParseServerLoad(text).has_value());
  }
}

TEST_CASE("an instance among 300 may hedge a shard twice in a window")
{
  // A service of 960 requests in 10 s, of which an instance sends three.
  const ForwardSettings settings;
  ExtraAttemptBudget budget({ 0.2, seconds(10), 628 }, TimePoint{});
  budget.SetInstances(294);
  const TimePoint start{ seconds(100) };
  int hedges = 0;
  for (int i = 0; i < 3; ++i) {
    const TimePoint now = start + seconds(3 * i);
    budget.OnRequest(now);
    hedges +=
      budget.TryTake(settings.optionalReserve_ + settings.hedgeReserve_, now)
        ? 1
        : 0;
  }
  CHECK(hedges == 2);
}
