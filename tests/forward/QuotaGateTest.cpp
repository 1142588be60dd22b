#include "../Support.h"
#include "ForwardFixture.h"

#include <doctest/doctest.h>
#include <future>
#include <thread>

using namespace foxtail;

namespace {

/// Source of a set number of permits, which answers waits when told to.
class FakePermits final : public PermitSource
{
public:
  PermitDecision Take(const std::string&, TimePoint aNow) override
  {
    if (permits_ > 0) {
      --permits_;
      return Permit{ aNow + seconds(1), sendBy_ };
    }
    return refusal_ ? PermitDecision(*refusal_) : PermitMissing{};
  }
  std::shared_ptr<void> Wait(const std::string&,
                             DocumentVersion,
                             TimePoint aUntil,
                             Callback aCallback) override
  {
    auto wait = std::make_shared<Callback>(std::move(aCallback));
    waits_.push_back(wait);
    until_ = aUntil;
    return wait;
  }
  void Return(const std::string& aName, Permit, TimePoint) override
  {
    CHECK(aName == "team-1");
    ++returned_;
  }
  void Answer(const PermitOutcome& aOutcome)
  {
    for (const auto& entry : std::exchange(waits_, {})) {
      if (const auto wait = entry.lock()) {
        (*wait)(aOutcome, Now());
      }
    }
  }

  int permits_ = 0;
  TimePoint sendBy_ = TimePoint::max();
  std::optional<PermitRefused> refusal_;
  std::vector<std::weak_ptr<Callback>> waits_;
  TimePoint until_{};
  int returned_ = 0;
};

RouteDocument DocumentWithQuota()
{
  RouteDocument document =
    SingleRoutes({ "proofs" }, RouteEffect::Idempotent, 3);
  Team team;
  team.name_ = "team-1";
  team.keys_ = { "key-1" };
  team.requestsPerSecond_ = 5;
  Team unlimited;
  unlimited.name_ = "team-2";
  document.teams_ = { team, unlimited };
  return document;
}

/// A request of a team, begun on the gateway's thread.
struct TeamRequest
{
  TeamRequest(ForwardFixture& aFixture, const char* aTeam)
    : fixture_(aFixture)
    , future_(promise_->get_future())
  {
    ForwardRequest request;
    request.id_ = RequestId("request-1");
    request.host_ = "shop.example";
    request.method_ = "GET";
    request.target_ = "/proofs/1";
    request.team_ = aTeam;
    // As after the check of the key.
    request.hasTeamHeaders_ = true;
    request.startedAt_ = Now();
    request.callerStartedAt_ = request.startedAt_;
    request.deadline_ = request.startedAt_ + seconds(2);
    fixture_.RunOnGatewayThread([&] {
      pending_ = fixture_.GetGateway().Begin(
        request,
        [promise = promise_](ForwardAnswer aAnswer) {
          promise->set_value(std::move(aAnswer));
        },
        Now());
    });
  }
  ~TeamRequest()
  {
    fixture_.RunOnGatewayThread([&] { pending_.reset(); });
  }

  ForwardFixture& fixture_;
  std::shared_ptr<std::promise<ForwardAnswer>> promise_ =
    std::make_shared<std::promise<ForwardAnswer>>();
  std::future<ForwardAnswer> future_;
  std::shared_ptr<PendingRequest> pending_;
};

struct QuotaFixture
{
  explicit QuotaFixture(const char* aReply)
    : server_([aReply](const std::string&, size_t) {
      return ScriptedReply{ aReply == nullptr ? SignedReply("own") : aReply };
    })
  {
    forward_.SetRoutes(DocumentWithQuota());
    forward_.Announce("i-1", "proofs", server_.Address());
    forward_.RunOnGatewayThread(
      [&] { forward_.GetGateway().Quota().SetSource(&permits_); });
  }

  FakePermits permits_;
  ScriptedServer server_;
  ForwardFixture forward_;
};

} // namespace

TEST_CASE(
  "quota: a request over the quota does not run and says when to return")
{
  QuotaFixture fixture(nullptr);
  fixture.permits_.refusal_ = PermitRefused{ Now() + seconds(20) };
  TeamRequest refused(fixture.forward_, "team-1");
  const ForwardAnswer answer = refused.future_.get();
  CHECK(answer.status_ == 429);
  CHECK(answer.source_ == AnswerSource::NotRun);
  const std::string name = "Retry-After: ";
  const size_t at = answer.headers_.find(name);
  REQUIRE(at != std::string::npos);
  const double retryAfter = std::stod(answer.headers_.substr(at + name.size()));
  CHECK(retryAfter > 15);
  CHECK(retryAfter <= 20);
  CHECK(fixture.server_.Requests().empty());
  SUBCASE("teams without a quota need no permit")
  {
    TeamRequest other(fixture.forward_, "team-2");
    CHECK(other.future_.get().status_ == 200);
    TeamRequest none(fixture.forward_, "");
    CHECK(none.future_.get().status_ == 200);
  }
}

TEST_CASE("quota: a request waits for a permit of a control instance")
{
  QuotaFixture fixture(nullptr);
  const TimePoint start = Now();
  TeamRequest request(fixture.forward_, "team-1");
  REQUIRE(request.pending_ != nullptr);
  CHECK(fixture.server_.Requests().empty());
  // A quarter of the objective of 200 ms.
  CHECK(fixture.permits_.until_ >= start + milliseconds(50));
  CHECK(fixture.permits_.until_ < start + milliseconds(200));
  const auto answer = [&](const PermitOutcome& aOutcome) {
    fixture.forward_.RunOnGatewayThread(
      [&] { fixture.permits_.Answer(aOutcome); });
  };
  SUBCASE("granted")
  {
    answer(Permit{ Now() + seconds(1) });
    CHECK(request.future_.get().status_ == 200);
    CHECK(fixture.permits_.returned_ == 0);
  }
  SUBCASE("no control instance answers")
  {
    answer(PermitUnavailable{});
    const ForwardAnswer refused = request.future_.get();
    CHECK(refused.status_ == 503);
    CHECK(refused.source_ == AnswerSource::NotRun);
    CHECK(refused.headers_.find("Retry-After") != std::string::npos);
  }
  SUBCASE("the caller leaves")
  {
    fixture.forward_.RunOnGatewayThread(
      [&] { request.pending_->OnCallerDisconnected(Now()); });
    CHECK(fixture.permits_.waits_[0].expired());
    answer(Permit{ Now() + seconds(1) });
    CHECK(fixture.server_.Requests().empty());
  }
}

TEST_CASE("quota: attempts of one request share its permit")
{
  // Without a reply to the first attempts the others are retries.
  QuotaFixture fixture("HTTP/1.1 200 OK\r\n");
  fixture.permits_.permits_ = 1;
  TeamRequest request(fixture.forward_, "team-1");
  CHECK(request.future_.get().source_ != AnswerSource::NotRun);
  CHECK(fixture.permits_.permits_ == 0);
  CHECK(fixture.permits_.returned_ == 0);
}

TEST_CASE("quota: a request is not sent after its permit has expired")
{
  QuotaFixture fixture(nullptr);
  fixture.permits_.permits_ = 1;
  fixture.permits_.sendBy_ = Now();
  TeamRequest request(fixture.forward_, "team-1");
  const ForwardAnswer answer = request.future_.get();
  CHECK(answer.status_ == 503);
  CHECK(answer.source_ == AnswerSource::NotRun);
  CHECK(fixture.server_.Requests().empty());
}

TEST_CASE("quota: a request that no server ran returns its permit")
{
  const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\n" +
                              HeaderNames{}.notRun_ +
                              ": 1\r\nContent-Length: 0\r\n\r\n";
  QuotaFixture fixture(refusal.c_str());
  fixture.permits_.permits_ = 1;
  TeamRequest request(fixture.forward_, "team-1");
  CHECK(request.future_.get().source_ == AnswerSource::NotRun);
  CHECK(fixture.permits_.returned_ == 1);
}

// The gate begins a request a second time after the wait, when its key has been
// removed.
TEST_CASE("quota: a request whose key was checked is served after its wait")
{
  QuotaFixture fixture(nullptr);
  auto response = std::async(std::launch::async, [&] {
    HttpRequest request =
      MakeRequest(boost::beast::http::verb::get, "/proofs/1");
    request.set(boost::beast::http::field::authorization, "Bearer key-1");
    return fixture.forward_.Send(std::move(request));
  });
  const auto isWaiting = [&] {
    bool waits = false;
    fixture.forward_.RunOnGatewayThread(
      [&] { waits = !fixture.permits_.waits_.empty(); });
    return waits;
  };
  REQUIRE(WaitUntil(isWaiting));
  fixture.forward_.RunOnGatewayThread(
    [&] { fixture.permits_.Answer(Permit{ Now() + seconds(1) }); });
  CHECK(response.get().result_int() == 200);
  const auto requests = fixture.server_.Requests();
  REQUIRE(requests.size() == 1);
  CHECK(requests[0].find("Foxtail-Team: team-1\r\n") != std::string::npos);
  CHECK(requests[0].find("key-1") == std::string::npos);
}
