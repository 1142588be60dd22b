#include "CallerFixture.h"

#include <map>
#include <mutex>

using namespace foxtail;

namespace {

constexpr const char* kActionServices =
  R"([{"name":"desk","team":"agro","kind":"action","catalogues":["packets"],)"
  R"("deadline_ms":400}])";

// Keeps claims in memory.
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

TEST_CASE("an action makes one attempt, and another only after a proof")
{
  struct Row
  {
    const char* name_;
    FakeBackend::Script script_;
    const char* outcome_;
    /// Requests that both replicas read together.
    size_t requests_;
  };
  const Row rows[] = {
    { "runs", Echo, "run", 1 },
    { "closed after it was read",
      [](const HttpRequest&) {
        return FakeReply{ "", {}, true, false };
      },
      "unknown",
      1 },
    { "hangs",
      [](const HttpRequest&) {
        return FakeReply{ "", {}, false, true };
      },
      "unknown",
      1 },
    { "error without a proof",
      [](const HttpRequest& aRequest) {
        ReplyParts parts(aRequest);
        parts.status_ = "500 Oops";
        return FakeReply{ parts.Text(), {}, false, false };
      },
      "unknown",
      1 },
    { "reply of another attempt",
      [](const HttpRequest& aRequest) {
        ReplyParts parts(aRequest);
        parts.attempt_ = "4711";
        return FakeReply{ parts.Text(), {}, false, false };
      },
      "unknown",
      1 },
    { "refused unrun by both",
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

TEST_CASE("an action goes to another replica when the first was never reached")
{
  std::string gone;
  {
    const FakeBackend closed(Echo);
    gone = closed.Address();
  }
  FakeBackend sound(Echo);
  CallerFixture fixture(kActionServices);
  fixture.Announce(
    { AnnouncementOf("a", gone), ShardAnnouncement("b", sound, 0, 1) });
  for (int i = 0; i < 8; ++i) {
    const HttpResponse response = fixture.Post("/v1/action/desk", "1");
    CHECK(CallerFixture::OutcomeOf(response) == "run");
  }
  CHECK(sound.Requests() == 8);
}

TEST_CASE("a resend under the same key gets the first answer and runs nothing")
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

TEST_CASE("a resend after a lost reply stays unknown and runs nothing")
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

TEST_CASE("a claim of an action that was not run is given back")
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

TEST_CASE("nothing is sent when the key cannot be claimed")
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
    // An earlier send under the key may have run, so "not run" would be false.
    { "no quorum", true, "o-1", 503, "unknown" },
    { "no control instances", false, "o-1", 503, "not_run" },
    { "key with a space", true, "o 1", 400, "not_run" },
    { "empty key", true, "", 400, "not_run" },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    FakeBackend backend(Echo);
    FakeClaimStore claims;
    claims.Fail(MakeError(ErrorKind::NoQuorum, "planted"));
    CallerFixture fixture(kActionServices, row.hasStore_ ? &claims : nullptr);
    fixture.Announce({ ShardAnnouncement("a", backend, 0, 1) });
    const HttpResponse response =
      fixture.Post("/v1/action/desk", "1", Key(row.key_));
    CHECK(response.result_int() == row.status_);
    CHECK(CallerFixture::OutcomeOf(response) == row.outcome_);
    CHECK(backend.Requests() == 0);
  }
}
