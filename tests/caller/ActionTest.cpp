#include "CallerFixture.h"

#include <map>
#include <mutex>

using namespace foxtail;

namespace {

constexpr const char* kActionServices =
  R"([{"name":"desk","team":"agro","kind":"action","catalogues":["packets"],)"
  R"("deadline_ms":400}])";

// Stores claims in memory.
class FakeClaimStore final : public ClaimStore
{
public:
  boost::asio::awaitable<absl::StatusOr<ClaimResult>> Claim(
    ClaimRequest aRequest,
    milliseconds) override
  {
    const std::lock_guard lock(mutex_);
    if (!error_.ok()) {
      co_return error_;
    }
    const auto [row, isNew] = claims_.try_emplace(aRequest.key_);
    if (isNew) {
      row->second.bodyHash_ = aRequest.bodyHash_;
      co_return ClaimResult{ ClaimState::Granted, {} };
    }
    if (row->second.bodyHash_ != aRequest.bodyHash_) {
      co_return ClaimResult{ ClaimState::Mismatch, {} };
    }
    if (row->second.isRecorded_) {
      co_return ClaimResult{ ClaimState::Recorded, row->second.record_ };
    }
    co_return ClaimResult{ ClaimState::Unknown, {} };
  }

  boost::asio::awaitable<absl::Status> Record(ClaimRequest aRequest,
                                              ActionRecord aRecord,
                                              milliseconds) override
  {
    const std::lock_guard lock(mutex_);
    claims_[aRequest.key_].record_ = std::move(aRecord);
    claims_[aRequest.key_].isRecorded_ = true;
    co_return absl::OkStatus();
  }

  boost::asio::awaitable<absl::Status> Release(ClaimRequest aRequest,
                                               milliseconds) override
  {
    const std::lock_guard lock(mutex_);
    claims_.erase(aRequest.key_);
    co_return absl::OkStatus();
  }

  void Fail(absl::Status aError) { error_ = std::move(aError); }

private:
  struct Row
  {
    uint64_t bodyHash_ = 0;
    bool isRecorded_ = false;
    ActionRecord record_;
  };

  std::mutex mutex_;
  std::map<std::string, Row> claims_;
  absl::Status error_;
};

CallerFixture::Headers Key(const char* aKey)
{
  return { { "Idempotency-Key", aKey } };
}

void WaitUntilSettled(const CallerFixture& aFixture)
{
  REQUIRE(WaitFor([&] { return aFixture.service_.PendingRecords() == 0; }));
}

} // namespace

TEST_CASE("an action is retried only after a reply states that it was not run")
{
  struct Row
  {
    const char* name_;
    FakeBackend::Script script_;
    const char* outcome_;
    /// Total number of requests that both replicas received.
    size_t requests_;
  };
  const Row rows[] = {
    { "runs", Echo, "run", 1 },
    { "connection closed after the request was read",
      [](const HttpRequest&) {
        return FakeReply{ "", {}, true, false };
      },
      "unknown",
      1 },
    { "no reply",
      [](const HttpRequest&) {
        return FakeReply{ "", {}, false, true };
      },
      "unknown",
      1 },
    { "error without Foxtail-Not-Run",
      [](const HttpRequest& aRequest) {
        ReplyParts parts(aRequest);
        parts.status_ = "500 Oops";
        return FakeReply{ parts.Text(), {}, false, false };
      },
      "unknown",
      1 },
    { "reply to another attempt",
      [](const HttpRequest& aRequest) {
        ReplyParts parts(aRequest);
        parts.attempt_ = "4711";
        return FakeReply{ parts.Text(), {}, false, false };
      },
      "unknown",
      1 },
    { "refused as not run by both servers",
      [](const HttpRequest& aRequest) {
        return RefusedNotRun(aRequest, "overloaded");
      },
      "not_run",
      2 },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    FakeBackend first(row.script_);
    FakeBackend second(row.script_);
    CallerFixture fixture(kActionServices);
    fixture.Announce({ ShardAnnouncement("a", first, 0, 1),
                       ShardAnnouncement("b", second, 0, 1) });
    const HttpResponse response = fixture.Post("/v1/action/desk", "1");
    CHECK(CallerFixture::OutcomeOf(response) == row.outcome_);
    CHECK(first.Requests() + second.Requests() == row.requests_);
  }
}

TEST_CASE("an action is sent to another replica when the first is unreachable")
{
  std::string closedAddress;
  {
    const FakeBackend closed(Echo);
    closedAddress = closed.Address();
  }
  FakeBackend healthy(Echo);
  CallerFixture fixture(kActionServices);
  fixture.Announce({ AnnouncementOf("a", closedAddress),
                     ShardAnnouncement("b", healthy, 0, 1) });
  for (int i = 0; i < 8; ++i) {
    const HttpResponse response = fixture.Post("/v1/action/desk", "1");
    CHECK(CallerFixture::OutcomeOf(response) == "run");
  }
  CHECK(healthy.Requests() == 8);
}

TEST_CASE(
  "a resend with the same key gets the recorded response and is not run")
{
  FakeBackend backend(Echo);
  FakeClaimStore claims;
  CallerFixture fixture(kActionServices, &claims);
  fixture.Announce({ ShardAnnouncement("a", backend, 0, 1) });
  const HttpResponse first =
    fixture.Post("/v1/action/desk", R"("order")", Key("o-77"));
  CHECK(CallerFixture::OutcomeOf(first) == "run");
  WaitUntilSettled(fixture);
  const HttpResponse second =
    fixture.Post("/v1/action/desk", R"("order")", Key("o-77"));
  CHECK(CallerFixture::OutcomeOf(second) == "run");
  CHECK(second.body() == first.body());
  CHECK(backend.Requests() == 1);
  const HttpResponse other =
    fixture.Post("/v1/action/desk", R"("another")", Key("o-77"));
  CHECK(other.result_int() == 422);
  CHECK(CallerFixture::OutcomeOf(other) == "not_run");
  CHECK(backend.Requests() == 1);
}

TEST_CASE("a resend after a lost reply has an unknown outcome and is not run")
{
  FakeBackend backend([](const HttpRequest&) {
    return FakeReply{ "", {}, true, false };
  });
  FakeClaimStore claims;
  CallerFixture fixture(kActionServices, &claims);
  fixture.Announce({ ShardAnnouncement("a", backend, 0, 1) });
  for (int i = 0; i < 3; ++i) {
    const HttpResponse response =
      fixture.Post("/v1/action/desk", "1", Key("o-78"));
    CHECK(CallerFixture::OutcomeOf(response) == "unknown");
  }
  CHECK(backend.Requests() == 1);
}

TEST_CASE("the claim of an action that was not run is released")
{
  std::atomic<bool> isBusy{ true };
  FakeBackend backend([&](const HttpRequest& aRequest) {
    return isBusy ? RefusedNotRun(aRequest, "overloaded") : Echo(aRequest);
  });
  FakeClaimStore claims;
  CallerFixture fixture(kActionServices, &claims);
  fixture.Announce({ ShardAnnouncement("a", backend, 0, 1) });
  HttpResponse response = fixture.Post("/v1/action/desk", "1", Key("o-79"));
  CHECK(CallerFixture::OutcomeOf(response) == "not_run");
  WaitUntilSettled(fixture);
  isBusy = false;
  response = fixture.Post("/v1/action/desk", "1", Key("o-79"));
  CHECK(CallerFixture::OutcomeOf(response) == "run");
}

TEST_CASE("an action is not dispatched when its key cannot be claimed")
{
  struct Row
  {
    const char* name_;
    bool hasStore_;
    const char* key_;
    unsigned status_;
    const char* outcome_;
  };
  const Row rows[] = {
    // An earlier request with the key may have been run, so "not_run" would be
    // wrong.
    { "no quorum", true, "o-1", 503, "unknown" },
    { "no control instances", false, "o-1", 503, "not_run" },
    { "key with a space", true, "o 1", 400, "not_run" },
    { "empty key", true, "", 400, "not_run" },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    FakeBackend backend(Echo);
    FakeClaimStore claims;
    claims.Fail(MakeError(ErrorKind::NoQuorum, "injected error"));
    CallerFixture fixture(kActionServices, row.hasStore_ ? &claims : nullptr);
    fixture.Announce({ ShardAnnouncement("a", backend, 0, 1) });
    const HttpResponse response =
      fixture.Post("/v1/action/desk", "1", Key(row.key_));
    CHECK(response.result_int() == row.status_);
    CHECK(CallerFixture::OutcomeOf(response) == row.outcome_);
    CHECK(backend.Requests() == 0);
  }
}
