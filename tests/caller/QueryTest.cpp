#include "CallerFixture.h"

#include <atomic>
#include <random>
#include <set>

using namespace foxtail;

namespace {

constexpr const char* kQueryServices =
  R"([{"name":"desk","team":"agro","catalogues":["packets"],)"
  R"("deadline_ms":400,"max_deadline_ms":5000,"soft_deadline_ms":100}])";

boost::json::object Json(const HttpResponse& aResponse)
{
  return boost::json::parse(aResponse.body()).as_object();
}

std::string MissingOf(const HttpResponse& aResponse)
{
  return boost::json::serialize(Json(aResponse).at("coverage").at("missing"));
}

uint64_t Count(const HttpResponse& aResponse, const char* aMember)
{
  return Json(aResponse).at("coverage").at(aMember).to_number<uint64_t>();
}

FakeReply Hang(const HttpRequest&)
{
  return { "", {}, false, true };
}

FakeReply CloseUnanswered(const HttpRequest&)
{
  return { "", {}, true, false };
}

FakeReply RefuseOverloaded(const HttpRequest& aRequest)
{
  return RefusedNotRun(aRequest, "overloaded");
}

} // namespace

// It refused with 404, which is final, although other instances had the
// service.
TEST_CASE("an instance without a document refuses with 503, one whose document "
          "lacks the service with 404")
{
  CallerFixture starting("[]");
  CHECK(starting.Post("/v1/query/search").result_int() == 503);
  CHECK(starting.Post("/v1/action/order").result_int() == 503);
  CallerFixture running(kQueryServices);
  CHECK(running.Post("/v1/query/other").result_int() == 404);
}

TEST_CASE("coverage names each missing shard with its reason")
{
  struct Row
  {
    const char* name_;
    FakeBackend::Script second_;
    BackendState state_;
    bool isAnnounced_;
    const char* missing_;
  };
  const Row rows[] = {
    { "not announced",
      Echo,
      BackendState::Ready,
      false,
      R"([{"catalogue":"packets","shard":1,"reason":"not_announced"}])" },
    { "announced by a draining server only",
      Echo,
      BackendState::Draining,
      true,
      R"([{"catalogue":"packets","shard":1,"reason":"draining"}])" },
    { "no reply",
      Hang,
      BackendState::Ready,
      true,
      R"([{"catalogue":"packets","shard":1,"reason":"deadline"}])" },
    { "each connection closed without a reply",
      CloseUnanswered,
      BackendState::Ready,
      true,
      R"([{"catalogue":"packets","shard":1,"reason":"failed",)"
      R"("last_fault":"connection_closed"}])" },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    FakeBackend first(Echo);
    FakeBackend second(row.second_);
    CallerFixture fixture(kQueryServices);
    std::vector<Announcement> announced{ ShardAnnouncement("a", first, 0, 2) };
    if (row.isAnnounced_) {
      announced.push_back(ShardAnnouncement("b", second, 1, 2));
      announced.back().state_ = row.state_;
    }
    fixture.Announce(announced);
    const HttpResponse response = fixture.Post("/v1/query/desk", R"("t")", {});
    CHECK(response.result_int() == 200);
    CHECK(CallerFixture::OutcomeOf(response) == "run");
    CHECK(MissingOf(response) == row.missing_);
    CHECK(Count(response, "asked") == 2);
    CHECK(Count(response, "answered") == 1);
    CHECK(Json(response).at("results").as_array().size() == 1);
  }
}

TEST_CASE("a catalogue that is not announced is reported as missing")
{
  FakeBackend backend(Echo);
  CallerFixture fixture(R"([{"name":"desk","team":"agro",)"
                        R"("catalogues":["packets","recalls"]}])");
  fixture.Announce({ ShardAnnouncement("a", backend, 0, 1) });
  const HttpResponse response = fixture.Post("/v1/query/desk");
  CHECK(Count(response, "asked") == 2);
  CHECK(MissingOf(response) == R"([{"catalogue":"recalls","shard":null,)"
                               R"("reason":"catalogue_not_announced"}])");
}

TEST_CASE("the outcome is not_run only when no attempt can have run")
{
  struct Row
  {
    const char* name_;
    FakeBackend::Script script_;
    bool isAnnounced_;
    const char* outcome_;
  };
  const Row rows[] = {
    { "not announced", Echo, false, "not_run" },
    { "every attempt refused as not run", RefuseOverloaded, true, "not_run" },
    { "connection closed after the request was read",
      CloseUnanswered,
      true,
      "unknown" },
    { "no reply by the deadline", Hang, true, "unknown" },
    { "refused without Foxtail-Not-Run",
      [](const HttpRequest& aRequest) {
        ReplyParts parts(aRequest);
        parts.status_ = "503 Busy";
        return FakeReply{ parts.Text(), {}, false, false };
      },
      true,
      "unknown" },
    { "Foxtail-Not-Run for another attempt",
      [](const HttpRequest& aRequest) {
        FakeReply reply = RefusedNotRun(aRequest, "overloaded");
        const size_t at = reply.bytes_.find("Foxtail-Attempt: ") + 17;
        reply.bytes_.insert(at, "1");
        return reply;
      },
      true,
      "unknown" },
    { "ran", Echo, true, "run" },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    FakeBackend backend(row.script_);
    CallerFixture fixture(kQueryServices);
    if (row.isAnnounced_) {
      fixture.Announce({ ShardAnnouncement("a", backend, 0, 1) });
    }
    const HttpResponse response = fixture.Post(
      "/v1/query/desk", "{}", { { "Foxtail-Deadline-Ms", "150" } });
    CHECK(CallerFixture::OutcomeOf(response) == row.outcome_);
    CHECK(Json(response).at("outcome").as_string() == row.outcome_);
    CHECK((response.result_int() == 200) == (row.outcome_[0] == 'r'));
  }
}

TEST_CASE("a failed attempt is retried on another replica")
{
  FakeBackend broken(CloseUnanswered);
  FakeBackend healthy(Echo);
  CallerFixture fixture(kQueryServices);
  fixture.Announce({ ShardAnnouncement("a", broken, 0, 1),
                     ShardAnnouncement("b", healthy, 0, 1) });
  for (int i = 0; i < 10; ++i) {
    const HttpResponse response = fixture.Post("/v1/query/desk");
    CHECK(Count(response, "answered") == 1);
  }
  CHECK(broken.Requests() > 0);
}

TEST_CASE("a slow attempt is hedged, and its late reply is ignored")
{
  FakeBackend slow([](const HttpRequest& aRequest) {
    FakeReply reply = Echo(aRequest);
    reply.delay_ = milliseconds(300);
    return reply;
  });
  FakeBackend fast(Echo);
  CallerFixture fixture(kQueryServices);
  fixture.Announce(
    { ShardAnnouncement("a", slow, 0, 1), ShardAnnouncement("b", fast, 0, 1) });
  for (int i = 0; i < 12; ++i) {
    const std::string token = std::to_string(i);
    const HttpResponse response = fixture.Post("/v1/query/desk", token);
    REQUIRE(Count(response, "answered") == 1);
    const auto result = Json(response).at("results").at(0).at("result");
    CHECK(boost::json::serialize(result.at("token")) == token);
  }
  CHECK(slow.Requests() > 0);
}

TEST_CASE(
  "a shard that does not reply makes answers partial without load shedding")
{
  FakeBackend hanging(Hang);
  std::vector<std::unique_ptr<FakeBackend>> healthy;
  CallerFixture fixture(kQueryServices);
  std::vector<Announcement> announced{ ShardAnnouncement("h", hanging, 0, 4) };
  for (uint32_t i = 1; i < 4; ++i) {
    healthy.push_back(std::make_unique<FakeBackend>(Echo));
    announced.push_back(
      ShardAnnouncement("s" + std::to_string(i), *healthy.back(), i, 4));
  }
  fixture.Announce(announced);
  // More callers than the limit of attempts in flight of the hanging server.
  constexpr int kCallers = 40;
  std::atomic<int> partial{ 0 };
  std::vector<std::thread> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&] {
      const HttpResponse response = fixture.Post("/v1/query/desk");
      partial +=
        response.result_int() == 200 && Count(response, "answered") == 3 ? 1
                                                                         : 0;
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  CHECK(partial == kCallers);
}

TEST_CASE("a prompt request gets a partial answer at its soft deadline")
{
  FakeBackend fast(Echo);
  FakeBackend hanging(Hang);
  CallerFixture fixture(kQueryServices);
  fixture.Announce({ ShardAnnouncement("a", fast, 0, 2),
                     ShardAnnouncement("b", hanging, 1, 2) });
  const HttpResponse response = fixture.Post(
    "/v1/query/desk",
    "{}",
    { { "Foxtail-Patience", "prompt" }, { "Foxtail-Deadline-Ms", "5000" } });
  CHECK(MissingOf(response) ==
        R"([{"catalogue":"packets","shard":1,"reason":"soft_deadline"}])");
}

TEST_CASE(
  "a query whose index version is removed is answered from another version")
{
  // The servers of version 1 refuse it from the second query on, as after a
  // reindex; version 2 has a different number of shards.
  std::atomic<bool> isVersionRemoved{ false };
  FakeBackend old([&](const HttpRequest& aRequest) {
    if (isVersionRemoved) {
      return RefusedNotRun(aRequest, "version");
    }
    return Echo(aRequest);
  });
  FakeBackend next(Echo);
  CallerFixture fixture(kQueryServices);
  fixture.Announce({ ShardAnnouncement("a", old, 0, 2, 1),
                     ShardAnnouncement("b", old, 1, 2, 1),
                     ShardAnnouncement("c", next, 0, 3, 2),
                     ShardAnnouncement("d", next, 1, 3, 2) });
  // Version 2 has a shard that is not announced, so version 1 is chosen.
  HttpResponse response = fixture.Post("/v1/query/desk");
  CHECK(Json(response).at("snapshot").at("packets").at("index_version") == 1);
  isVersionRemoved = true;
  response = fixture.Post("/v1/query/desk");
  CHECK(Json(response).at("snapshot").at("packets").at("index_version") == 2);
  CHECK(Count(response, "asked") == 3);
  CHECK(Count(response, "answered") == 2);
}

TEST_CASE("a replanned query drops the results of the previous version")
{
  // Shard 0 of version 1 replies before shard 1 refuses the version.
  FakeBackend answering(Echo);
  FakeBackend refusing([](const HttpRequest& aRequest) {
    FakeReply reply = RefusedNotRun(aRequest, "version");
    reply.delay_ = milliseconds(20);
    return reply;
  });
  FakeBackend next([](const HttpRequest& aRequest) {
    FakeReply reply = Echo(aRequest);
    const bool isSlow = HeaderOf(aRequest, "Foxtail-Shard") == "1/2";
    reply.delay_ = milliseconds(isSlow ? 80 : 0);
    return reply;
  });
  CallerFixture fixture(kQueryServices);
  fixture.Announce({ ShardAnnouncement("a", answering, 0, 2, 1),
                     ShardAnnouncement("b", refusing, 1, 2, 1) });
  // Version 2 is announced, but not chosen for new queries while version 1
  // covers as many shards.
  fixture.Announce({ ShardAnnouncement("a", answering, 0, 2, 1),
                     ShardAnnouncement("b", refusing, 1, 2, 1),
                     ShardAnnouncement("c", next, 0, 2, 2),
                     ShardAnnouncement("d", next, 1, 2, 2) });
  const HttpResponse response = fixture.Post("/v1/query/desk");
  CHECK(Json(response).at("snapshot").at("packets").at("index_version") == 2);
  CHECK(Count(response, "answered") == 2);
  const boost::json::object answer = Json(response);
  for (const auto& result : answer.at("results").as_array()) {
    CHECK(result.at("result").at("version").as_string() == "2");
  }
  CHECK(answering.Requests() == 1);
}

TEST_CASE(
  "an answer has results of one version while versions and shards change")
{
  // Each server holds the version of its latest announcement. It replies to
  // requests for other versions with its own version; no answer may contain
  // such a result.
  constexpr int kRounds = 60;
  std::mt19937 random(7);
  std::vector<std::unique_ptr<FakeBackend>> backends;
  std::vector<std::unique_ptr<std::atomic<int>>> held;
  for (int i = 0; i < 6; ++i) {
    held.push_back(std::make_unique<std::atomic<int>>(1));
    backends.push_back(std::make_unique<FakeBackend>(
      [&version = *held.back()](const HttpRequest& aRequest) {
        const std::string now = std::to_string(version.load());
        if (HeaderOf(aRequest, "Foxtail-Version") != now) {
          ReplyParts parts(aRequest);
          parts.version_ = now;
          parts.body_ = R"({"version":")" + now + R"("})";
          return FakeReply{ parts.Text(), {}, false, false };
        }
        FakeReply reply = Echo(aRequest);
        reply.delay_ = milliseconds(1);
        return reply;
      }));
  }
  CallerFixture fixture(kQueryServices);
  std::vector<Announcement> announced;
  for (uint32_t i = 0; i < 6; ++i) {
    announced.push_back(
      ShardAnnouncement("s" + std::to_string(i), *backends[i], i % 3, 3, 1));
  }
  fixture.Announce(announced);
  std::atomic<bool> isStopped{ false };
  std::atomic<int> mixed{ 0 };
  std::atomic<int> answers{ 0 };
  std::thread caller([&] {
    while (!isStopped) {
      const auto answer = Json(fixture.Post("/v1/query/desk"));
      std::set<std::string> versions;
      for (const auto& result : answer.at("results").as_array()) {
        versions.emplace(result.at("result").at("version").as_string());
      }
      const auto& snapshot = answer.at("snapshot").as_object();
      const std::string pinned =
        snapshot.empty()
          ? ""
          : std::to_string(
              snapshot.at("packets").at("index_version").to_number<int>());
      answers += versions.empty() ? 0 : 1;
      mixed += versions.size() > 1 ||
                   (versions.size() == 1 && *versions.begin() != pinned)
                 ? 1
                 : 0;
    }
  });
  for (int round = 0; round < kRounds; ++round) {
    const size_t index = random() % announced.size();
    const uint64_t version = 1 + random() % 3;
    Announcement& announcement = announced[index];
    announcement.version_ = IndexVersion(version);
    announcement.shardCount_ = 2 + version % 2;
    announcement.shard_ =
      ShardId(static_cast<uint32_t>(index) % announcement.shardCount_);
    ++announcement.sequence_;
    *held[index] = static_cast<int>(version);
    // The server changes its version before it announces it, so that queries
    // reach it with the previous version.
    std::this_thread::sleep_for(milliseconds(5));
    fixture.Announce(announced);
    std::this_thread::sleep_for(milliseconds(5));
  }
  isStopped = true;
  caller.join();
  CHECK(mixed == 0);
  CHECK(answers > 0);
}

TEST_CASE("a caller gets the answer to its own request despite late replies")
{
  // Some replies are sent after the deadline, so that connections carry late
  // replies.
  std::atomic<int> number{ 0 };
  FakeBackend backend([&](const HttpRequest& aRequest) {
    FakeReply reply = Echo(aRequest);
    reply.delay_ = milliseconds(number++ % 7 == 0 ? 60 : 0);
    return reply;
  });
  CallerFixture fixture(kQueryServices);
  fixture.Announce({ ShardAnnouncement("a", backend, 0, 2),
                     ShardAnnouncement("b", backend, 1, 2) });
  constexpr int kCallers = 6;
  constexpr int kQueries = 40;
  std::atomic<int> mismatched{ 0 };
  std::atomic<int> answered{ 0 };
  std::vector<std::thread> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      for (int j = 0; j < kQueries; ++j) {
        const int token = i * kQueries + j;
        const HttpResponse response =
          fixture.Post("/v1/query/desk",
                       std::to_string(token),
                       { { "Foxtail-Deadline-Ms", "30" } });
        const auto answer = Json(response);
        if (!answer.contains("results")) {
          continue;
        }
        for (const auto& result : answer.at("results").as_array()) {
          ++answered;
          const auto& got = result.at("result").at("token");
          mismatched += got.to_number<int>() == token ? 0 : 1;
        }
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  CHECK(mismatched == 0);
  CHECK(answered > 0);
}

TEST_CASE("invalid requests are refused as not run with a message on how to "
          "correct them")
{
  struct Row
  {
    const char* name_;
    const char* path_;
    const char* body_;
    CallerFixture::Headers headers_;
    unsigned status_;
    const char* remedy_;
  };
  const std::string deep = std::string(100, '[') + std::string(100, ']');
  const Row rows[] = {
    { "no such path", "/v2/query/desk", "{}", {}, 404, "use POST" },
    { "no service", "/v1/query/", "{}", {}, 404, "use POST" },
    { "unknown service", "/v1/query/x", "{}", {}, 404, "/v1/status" },
    { "action on a query service", "/v1/action/desk", "{}", {}, 404, "status" },
    { "body not JSON", "/v1/query/desk", "{", {}, 400, "JSON value" },
    { "body empty", "/v1/query/desk", "", {}, 400, "JSON value" },
    { "body too deep", "/v1/query/desk", deep.c_str(), {}, 400, "32 deep" },
    { "deadline zero",
      "/v1/query/desk",
      "{}",
      { { "Foxtail-Deadline-Ms", "0" } },
      400,
      "from 1 to 5000" },
    { "deadline above the limit",
      "/v1/query/desk",
      "{}",
      { { "Foxtail-Deadline-Ms", "5001" } },
      400,
      "from 1 to 5000" },
    { "deadline not a number",
      "/v1/query/desk",
      "{}",
      { { "Foxtail-Deadline-Ms", "1e3" } },
      400,
      "from 1 to 5000" },
    { "unknown patience",
      "/v1/query/desk",
      "{}",
      { { "Foxtail-Patience", "endless" } },
      400,
      "complete nor prompt" },
    { "request id with a quote",
      "/v1/query/desk",
      "{}",
      { { "Foxtail-Request", "a\"b" } },
      400,
      "at most 64" },
    { "request id too long",
      "/v1/query/desk",
      "{}",
      { { "Foxtail-Request", std::string(65, 'a') } },
      400,
      "at most 64" },
  };
  FakeBackend backend(Echo);
  CallerFixture fixture(kQueryServices);
  fixture.Announce({ ShardAnnouncement("a", backend, 0, 1) });
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    const HttpResponse response =
      fixture.Post(row.path_, row.body_, row.headers_);
    CHECK(response.result_int() == row.status_);
    CHECK(CallerFixture::OutcomeOf(response) == "not_run");
    CHECK(response.body().find(row.remedy_) != std::string::npos);
  }
  CHECK(backend.Requests() == 0);
  CHECK(fixture.Post("/v1/query/desk").result_int() == 200);
}
