#include "FakeBackend.h"

#include "backend/BackendFleet.h"

#include <boost/asio/post.hpp>
#include <doctest/doctest.h>
#include <future>

using namespace foxtail;

namespace {

using Ended = std::unique_ptr<Attempt>;

// Hands the ended attempt to the test.
class Collector final : public AttemptListener
{
public:
  void OnAttemptEnd(Ended aAttempt) override
  {
    promise_.set_value(std::move(aAttempt));
  }

  std::promise<Ended> promise_;
};

PolicySettings SharedAtOnce()
{
  PolicySettings policy;
  policy.connectionShare_.growDelay_ = milliseconds(0);
  policy.connectionShare_.reservePercent_ = 0;
  policy.connectionShare_.lostInstanceHold_ = milliseconds(600);
  return policy;
}

struct Fixture
{
  explicit Fixture(BackendSettings aSettings = {})
    : workers_(2)
    , fleet_(InstanceId("entry-1"),
             aSettings,
             SharedAtOnce(),
             workers_,
             metrics_)
  {
    fleet_.Start(Now());
    workers_.Start();
  }

  ~Fixture() { workers_.Stop(); }

  void Announce(const std::vector<Announcement>& aAnnouncements)
  {
    std::vector<Replica> replicas;
    for (const Announcement& announcement : aAnnouncements) {
      replicas.push_back({ announcement, Now(), Now() });
    }
    fleet_.Update(std::make_shared<const RoutingTable>(std::move(replicas)),
                  Now());
  }

  // Sends an attempt from worker 0.
  std::future<Ended> Send(uint64_t aId,
                          milliseconds aTimeLeft = milliseconds(5000))
  {
    auto collector = std::make_shared<Collector>();
    auto text = std::make_shared<RequestContent>();
    text->requestId_ = "r-" + std::to_string(aId);
    text->body_ = std::to_string(aId);
    auto attempt = std::make_unique<Attempt>();
    attempt->id_ = AttemptId(aId);
    attempt->replica_ = fleet_.View().Load()->replicas_.front();
    attempt->content_ = std::move(text);
    attempt->deadline_ = Now() + aTimeLeft;
    attempt->listener_ = collector;
    auto future = collector->promise_.get_future();
    boost::asio::post(workers_.Context(0),
                      [this, attempt = std::move(attempt)]() mutable {
                        std::vector<Ended> batch;
                        batch.push_back(std::move(attempt));
                        fleet_.Dispatch(0, std::move(batch));
                      });
    return future;
  }

  void Cancel(uint64_t aId)
  {
    boost::asio::post(workers_.Context(0), [this, aId] {
      fleet_.Cancel(0,
                    fleet_.View().Load()->replicas_.front()->server_,
                    AttemptId(aId),
                    FailureKind::HedgeLost);
    });
  }

  const BackendSignals& Signals() const
  {
    return fleet_.View().Load()->replicas_.front()->server_->Signals();
  }

  Metrics metrics_;
  WorkerPool workers_;
  BackendFleet fleet_;
};

Ended Get(std::future<Ended> aFuture)
{
  REQUIRE(aFuture.wait_for(seconds(10)) == std::future_status::ready);
  return aFuture.get();
}

FakeReply Whole(const ReplyParts& aParts)
{
  return { aParts.Text(), {}, false, false };
}

} // namespace

TEST_CASE("a reply is used only if it is complete and matches its attempt")
{
  struct Row
  {
    const char* name_;
    std::function<FakeReply(ReplyParts)> reply_;
    AttemptOutcome outcome_;
    AttemptFault fault_;
    bool isConnectionKept_;
  };
  const auto with = [](auto aChange) {
    return [aChange](ReplyParts aParts) {
      aChange(aParts);
      return Whole(aParts);
    };
  };
  const auto closing = [](size_t aBytesLess) {
    return [aBytesLess](const ReplyParts& aParts) {
      std::string text = aParts.Text();
      text.resize(text.size() - aBytesLess);
      return FakeReply{ text, {}, true, false };
    };
  };
  using Parts = ReplyParts;
  const Row rows[] = {
    { "whole", Whole, AttemptOutcome::Replied, AttemptFault::None, true },
    { "chunked",
      [](const Parts& aParts) {
        return FakeReply{ "HTTP/1.1 200 OK\r\nFoxtail-Attempt: " +
                            aParts.attempt_ +
                            "\r\nFoxtail-Version: " + aParts.version_ +
                            "\r\nFoxtail-Shard: " + aParts.shard_ +
                            "\r\nTransfer-Encoding: chunked\r\n\r\n"
                            "1\r\n{\r\n1\r\n}\r\n0\r\n\r\n",
                          {},
                          false,
                          false };
      },
      AttemptOutcome::Replied,
      AttemptFault::None,
      true },
    { "body cut short",
      closing(1),
      AttemptOutcome::Failed,
      AttemptFault::CutShort,
      false },
    { "header cut short",
      closing(20),
      AttemptOutcome::Failed,
      AttemptFault::CutShort,
      false },
    { "closed without a byte",
      [](const Parts&) {
        return FakeReply{ "", {}, true, false };
      },
      AttemptOutcome::Failed,
      AttemptFault::ConnectionClosed,
      false },
    { "length not stated, so that a cut cannot be told",
      [](const Parts& aParts) {
        std::string text = aParts.Text();
        text.erase(text.find("Content-Length"), 19);
        return FakeReply{ text, {}, true, false };
      },
      AttemptOutcome::Failed,
      AttemptFault::Malformed,
      false },
    { "another attempt",
      with([](Parts& aParts) { aParts.attempt_ = "4711"; }),
      AttemptOutcome::Failed,
      AttemptFault::WrongAttempt,
      false },
    { "no attempt",
      with([](Parts& aParts) { aParts.attempt_ = ""; }),
      AttemptOutcome::Failed,
      AttemptFault::WrongAttempt,
      false },
    { "two attempts",
      with([](Parts& aParts) {
        aParts.extra_ = "Foxtail-Attempt: " + aParts.attempt_ + "\r\n";
        aParts.attempt_ = "4711";
      }),
      AttemptOutcome::Failed,
      AttemptFault::WrongAttempt,
      false },
    { "another version",
      with([](Parts& aParts) { aParts.version_ = "2"; }),
      AttemptOutcome::Failed,
      AttemptFault::WrongVersion,
      false },
    { "another shard",
      with([](Parts& aParts) { aParts.shard_ = "1/2"; }),
      AttemptOutcome::Failed,
      AttemptFault::WrongShard,
      false },
    { "another shard count",
      with([](Parts& aParts) { aParts.shard_ = "0/2"; }),
      AttemptOutcome::Failed,
      AttemptFault::WrongShard,
      false },
    { "body no JSON",
      with([](Parts& aParts) { aParts.body_ = "{\"a\":"; }),
      AttemptOutcome::Failed,
      AttemptFault::BadBody,
      false },
    { "body that would break out of the answer",
      with([](Parts& aParts) { aParts.body_ = "1},{\"shard\":9"; }),
      AttemptOutcome::Failed,
      AttemptFault::BadBody,
      false },
    { "body empty",
      with([](Parts& aParts) { aParts.body_ = ""; }),
      AttemptOutcome::Failed,
      AttemptFault::BadBody,
      false },
    { "body too large",
      with([](Parts& aParts) { aParts.body_ = std::string(5000, '1'); }),
      AttemptOutcome::Failed,
      AttemptFault::TooLarge,
      false },
    { "header too large",
      with([](Parts& aParts) {
        aParts.extra_ = "X: " + std::string(9000, 'x') + "\r\n";
      }),
      AttemptOutcome::Failed,
      AttemptFault::TooLarge,
      false },
    { "no HTTP",
      [](const Parts&) {
        return FakeReply{ "hello\r\n\r\n", {}, false, false };
      },
      AttemptOutcome::Failed,
      AttemptFault::Malformed,
      false },
    { "bytes after the reply",
      [](const Parts& aParts) {
        return FakeReply{ aParts.Text() + "HTTP/1.1 200", {}, false, false };
      },
      AttemptOutcome::Replied,
      AttemptFault::None,
      false },
    { "refused unrun",
      with([](Parts& aParts) {
        aParts.status_ = "503 Busy";
        aParts.extra_ =
          "Foxtail-Outcome: not_run\r\nFoxtail-Reason: overloaded\r\n";
      }),
      AttemptOutcome::Refused,
      AttemptFault::Overloaded,
      true },
    { "refusal of another attempt proves nothing",
      with([](Parts& aParts) {
        aParts.status_ = "503 Busy";
        aParts.attempt_ = "4711";
        aParts.extra_ =
          "Foxtail-Outcome: not_run\r\nFoxtail-Reason: overloaded\r\n";
      }),
      AttemptOutcome::Failed,
      AttemptFault::WrongAttempt,
      false },
    { "error without a proof",
      with([](Parts& aParts) { aParts.status_ = "503 Busy"; }),
      AttemptOutcome::Failed,
      AttemptFault::BadStatus,
      true },
    { "status that HTTP does not define",
      with([](Parts& aParts) { aParts.status_ = "000 "; }),
      AttemptOutcome::Failed,
      AttemptFault::Malformed,
      false },
    { "refusal with a status that HTTP does not define",
      with([](Parts& aParts) {
        aParts.status_ = "600 Busy";
        aParts.extra_ =
          "Foxtail-Outcome: not_run\r\nFoxtail-Reason: overloaded\r\n";
      }),
      AttemptOutcome::Failed,
      AttemptFault::Malformed,
      false },
    { "whole after an informational reply",
      [](const Parts& aParts) {
        return FakeReply{
          "HTTP/1.1 103 Early Hints\r\n\r\n" + aParts.Text(), {}, false, false
        };
      },
      AttemptOutcome::Replied,
      AttemptFault::None,
      true },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    FakeBackend backend([&](const HttpRequest& aRequest) {
      return row.reply_(ReplyParts(aRequest));
    });
    BackendSettings settings;
    settings.maxReplyBytes_ = 4096;
    Fixture fixture(settings);
    Announcement announcement = AnnouncementOf("p", backend.Address());
    announcement.connections_ = 1;
    fixture.Announce({ announcement });
    REQUIRE(WaitFor([&] { return backend.Connections() == 1; }));
    const Ended ended = Get(fixture.Send(1));
    CHECK(NameOf(ended->outcome_) == NameOf(row.outcome_));
    CHECK(NameOf(ended->fault_) == NameOf(row.fault_));
    CHECK(ended->reply_.empty() == (row.outcome_ != AttemptOutcome::Replied));
    Get(fixture.Send(2));
    CHECK((backend.Connections() == 1) == row.isConnectionKept_);
    CHECK(fixture.Signals().InFlight() == 0);
  }
}

// A server in trouble sent bytes without end, and its caller kept them all. The
// instance ran out of memory, and the requests of other callers ended with it.
TEST_CASE("bytes without end from a server are cut short")
{
  const std::string filler(4096, 'a');
  struct Row
  {
    const char* name_;
    std::string begin_;
    std::string endless_;
  };
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  const Row rows[] = {
    { "bytes of no protocol", "", filler },
    { "a status line", "HTTP/1.1 200 ", filler },
    { "one header line", ok + "X-Filler: ", filler },
    { "header lines", ok, "X-Filler: a\r\n" },
    { "a body that ends with the connection", ok + "\r\n", filler },
    { "a body of a stated length",
      ok + "Content-Length: 1000000000000\r\n\r\n",
      filler },
    { "a chunked body", chunked, "1000\r\n" + filler + "\r\n" },
    { "one chunk", chunked + "E8D4A51000\r\n", filler },
    { "a chunk header", chunked + "4;extension=", filler },
    { "a trailer", chunked + "0\r\nX-Filler: ", filler },
    { "trailer lines", chunked + "0\r\n", "X-Filler: a\r\n" },
    { "informational replies", "", "HTTP/1.1 103 Early Hints\r\n\r\n" },
  };
  // Buffers of the sockets on both sides, beside the limit on the reply.
  constexpr size_t kSocketBytes = 12 * 1024 * 1024;
  const size_t maxBytes = BackendSettings{}.maxReplyBytes_ + kSocketBytes;
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    FakeBackend backend([&](const HttpRequest&) {
      FakeReply reply{ row.begin_, {}, false, false };
      reply.endlessBytes_ = row.endless_;
      return reply;
    });
    Fixture fixture;
    fixture.Announce({ AnnouncementOf("p", backend.Address()) });
    const TimePoint start = Now();
    const Ended ended = Get(fixture.Send(1, milliseconds(1500)));
    CHECK(ended->outcome_ == AttemptOutcome::Failed);
    CHECK(Now() - start < seconds(1));
    CHECK(backend.EndlessBytesSent() < maxBytes);
  }
}

TEST_CASE("incomplete replies together stay within their memory")
{
  // Each is within the limit on a reply, and none ends.
  FakeBackend backend([&](const HttpRequest&) {
    FakeReply reply{
      "HTTP/1.1 200 OK\r\nContent-Length: 6000000\r\n\r\n", {}, false, false
    };
    reply.bytes_ += std::string(3000000, 'a');
    return reply;
  });
  BackendSettings settings;
  settings.maxReplyBytes_ = 7000000;
  // Of the two workers, one has the connections.
  settings.replyMemory_.sharedBytes_ = 14000000;
  Fixture fixture(settings);
  Announcement announcement = AnnouncementOf("p", backend.Address());
  announcement.slots_ = 4;
  fixture.Announce({ announcement });
  REQUIRE(WaitFor([&] { return backend.Connections() >= 4; }));
  std::vector<std::future<Ended>> sent;
  for (uint64_t id = 1; id <= 4; ++id) {
    sent.push_back(fixture.Send(id, milliseconds(1500)));
  }
  const auto ended = [&] {
    return std::count_if(
      sent.begin(), sent.end(), [](const std::future<Ended>& aFuture) {
        return aFuture.wait_for(seconds(0)) == std::future_status::ready;
      });
  };
  // Two of 3 MB fit, and wait for the rest.
  CHECK(WaitFor([&] { return ended() == 2; }));
  std::this_thread::sleep_for(milliseconds(100));
  CHECK(ended() == 2);
  for (uint64_t id = 1; id <= sent.size(); ++id) {
    fixture.Cancel(id);
  }
  size_t tooLarge = 0;
  for (auto& future : sent) {
    tooLarge +=
      Get(std::move(future))->fault_ == AttemptFault::TooLarge ? 1 : 0;
  }
  CHECK(tooLarge == 2);
}

// A server that stopped in the middle of its reply's head, and closed, made its
// caller receive an empty success.
TEST_CASE("a reply that is cut at any byte is not used")
{
  std::atomic<size_t> bytes{ 0 };
  std::atomic<size_t> wholeBytes{ SIZE_MAX };
  FakeBackend backend([&](const HttpRequest& aRequest) {
    const std::string whole = ReplyParts(aRequest).Text();
    wholeBytes = whole.size();
    return FakeReply{ whole.substr(0, bytes), {}, true, false };
  });
  Fixture fixture;
  fixture.Announce({ AnnouncementOf("p", backend.Address()) });
  REQUIRE(WaitFor([&] { return backend.Connections() > 0; }));
  for (; bytes < wholeBytes; ++bytes) {
    CAPTURE(bytes.load());
    // Ids of equal length, so that each reply has the same size.
    const Ended ended = Get(fixture.Send(1000 + bytes));
    CHECK(ended->outcome_ == AttemptOutcome::Failed);
    CHECK(ended->reply_.empty());
  }
  CHECK(backend.Requests() >= wholeBytes);
}

TEST_CASE("an attempt that cannot be sent ends as not sent")
{
  std::string address;
  {
    const FakeBackend gone([](const HttpRequest&) { return FakeReply{}; });
    address = gone.Address();
  }
  Fixture fixture;
  fixture.Announce({ AnnouncementOf("p", address) });
  const Ended ended = Get(fixture.Send(1));
  CHECK(ended->outcome_ == AttemptOutcome::NotSent);
  CHECK(ended->fault_ == AttemptFault::ConnectFailed);
}

TEST_CASE("a late reply after a cancel is never matched to the next attempt")
{
  // The first request is answered late; others at once, with their own body.
  FakeBackend backend([](const HttpRequest& aRequest) {
    ReplyParts parts(aRequest);
    parts.body_ = aRequest.body();
    const milliseconds delay(parts.attempt_ == "1" ? 150 : 0);
    return FakeReply{ parts.Text(), delay, false, false };
  });
  Fixture fixture;
  Announcement announcement = AnnouncementOf("p", backend.Address());
  announcement.connections_ = 1;
  fixture.Announce({ announcement });
  auto first = fixture.Send(1);
  REQUIRE(WaitFor([&] { return backend.Requests() == 1; }));
  fixture.Cancel(1);
  const Ended cancelled = Get(std::move(first));
  CHECK(cancelled->outcome_ == AttemptOutcome::Failed);
  CHECK(cancelled->fault_ == AttemptFault::Cancelled);
  const Ended second = Get(fixture.Send(2));
  CHECK(second->outcome_ == AttemptOutcome::Replied);
  CHECK(second->reply_ == "2");
  // The late reply was read to its end and the connection was reused.
  CHECK(backend.Connections() == 1);
}

TEST_CASE("a connection is closed if the late reply does not arrive in time")
{
  FakeBackend backend([](const HttpRequest& aRequest) {
    const ReplyParts parts(aRequest);
    return FakeReply{ parts.Text(), {}, false, parts.attempt_ == "1" };
  });
  BackendSettings settings;
  settings.drainTimeout_ = milliseconds(50);
  Fixture fixture(settings);
  Announcement announcement = AnnouncementOf("p", backend.Address());
  announcement.connections_ = 1;
  fixture.Announce({ announcement });
  auto first = fixture.Send(1);
  REQUIRE(WaitFor([&] { return backend.Requests() == 1; }));
  fixture.Cancel(1);
  Get(std::move(first));
  CHECK(Get(fixture.Send(2))->outcome_ == AttemptOutcome::Replied);
  CHECK(backend.Connections() == 2);
}

TEST_CASE("a cancel request is sent on an idle connection")
{
  FakeBackend backend([](const HttpRequest& aRequest) {
    const ReplyParts parts(aRequest);
    return FakeReply{ parts.Text(), {}, false, parts.attempt_ == "1" };
  });
  Fixture fixture;
  fixture.Announce({ AnnouncementOf("p", backend.Address()) });
  REQUIRE(WaitFor([&] { return backend.Connections() == 8; }));
  auto first = fixture.Send(1);
  REQUIRE(WaitFor([&] { return backend.Requests() == 1; }));
  fixture.Cancel(1);
  Get(std::move(first));
  CHECK(WaitFor([&] { return backend.Cancels() == 1; }));
}

TEST_CASE("an attempt cancelled in the queue ends as not sent")
{
  FakeBackend backend([](const HttpRequest&) {
    return FakeReply{ "", {}, false, true };
  });
  Fixture fixture;
  Announcement announcement = AnnouncementOf("p", backend.Address());
  announcement.connections_ = 1;
  fixture.Announce({ announcement });
  auto first = fixture.Send(1);
  REQUIRE(WaitFor([&] { return backend.Requests() == 1; }));
  auto second = fixture.Send(2);
  fixture.Cancel(2);
  CHECK(Get(std::move(second))->outcome_ == AttemptOutcome::NotSent);
  CHECK(backend.Requests() == 1);
}

TEST_CASE("connections open before requests and stay within the share")
{
  struct Row
  {
    const char* name_;
    uint32_t limit_;
    size_t instances_;
    size_t most_;
  };
  const Row rows[] = {
    { "alone", 6, 1, 6 },
    { "one of three", 6, 3, 2 },
    { "limit of one", 1, 1, 1 },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    FakeBackend backend([](const HttpRequest& aRequest) {
      return FakeReply{
        ReplyParts(aRequest).Text(), milliseconds(5), false, false
      };
    });
    Fixture fixture;
    std::vector<InstanceId> instances;
    for (size_t i = 1; i <= row.instances_; ++i) {
      instances.emplace_back("entry-" + std::to_string(i));
    }
    fixture.fleet_.SetInstances(instances);
    Announcement announcement = AnnouncementOf("p", backend.Address());
    announcement.connections_ = row.limit_;
    fixture.Announce({ announcement });
    // Opened before any request.
    CHECK(WaitFor([&] { return backend.Connections() == row.most_; }));
    std::vector<std::future<Ended>> attempts;
    for (uint64_t id = 1; id <= 40; ++id) {
      attempts.push_back(fixture.Send(id));
    }
    for (auto& attempt : attempts) {
      CHECK(Get(std::move(attempt))->outcome_ == AttemptOutcome::Replied);
    }
    CHECK(backend.MostOpen() <= row.most_);
  }
}

TEST_CASE("reconnects pause when the server closes excess connections")
{
  FakeBackend backend([](const HttpRequest& aRequest) {
    return FakeReply{ ReplyParts(aRequest).Text(), {}, false, false };
  });
  backend.SetLimit(2);
  BackendSettings settings;
  settings.reconnectPause_ = milliseconds(50);
  Fixture fixture(settings);
  Announcement announcement = AnnouncementOf("p", backend.Address());
  announcement.connections_ = 8;
  fixture.Announce({ announcement });
  std::this_thread::sleep_for(seconds(1));
  // The pauses of 50 ms double, so five of them fit into the time; without
  // them each tick of 20 ms opens all that is missing.
  constexpr size_t kPauses = 5;
  CHECK(backend.Connections() <= 8 + 2 * kPauses);
  CHECK(Get(fixture.Send(1))->outcome_ == AttemptOutcome::Replied);
}

TEST_CASE("the share shrinks at once when instances are added")
{
  FakeBackend backend(
    [](const HttpRequest& aRequest) { return Whole(ReplyParts(aRequest)); });
  Fixture fixture;
  Announcement announcement = AnnouncementOf("p", backend.Address());
  announcement.connections_ = 6;
  fixture.Announce({ announcement });
  REQUIRE(WaitFor([&] { return fixture.Signals().FreeConnections() == 6; }));
  fixture.fleet_.SetInstances(
    { InstanceId("entry-1"), InstanceId("entry-2"), InstanceId("entry-3") });
  CHECK(WaitFor([&] { return fixture.Signals().FreeConnections() == 2; }));
}

TEST_CASE("the share of a lost instance stays unused until the hold ends")
{
  FakeBackend backend(
    [](const HttpRequest& aRequest) { return Whole(ReplyParts(aRequest)); });
  Fixture fixture;
  Announcement announcement = AnnouncementOf("p", backend.Address());
  announcement.connections_ = 6;
  fixture.fleet_.SetInstances(
    { InstanceId("entry-1"), InstanceId("entry-2"), InstanceId("entry-3") });
  fixture.Announce({ announcement });
  REQUIRE(WaitFor([&] { return fixture.Signals().FreeConnections() == 2; }));
  const TimePoint lostAt = Now();
  fixture.fleet_.SetInstances({ InstanceId("entry-1") });
  CHECK(WaitFor([&] { return fixture.Signals().FreeConnections() == 6; }));
  CHECK(Now() - lostAt >= milliseconds(600));
}

TEST_CASE("the draining state on a reply is recorded")
{
  FakeBackend backend([](const HttpRequest& aRequest) {
    ReplyParts parts(aRequest);
    parts.extra_ = "Foxtail-Load: in_flight=1 state=draining\r\n";
    return Whole(parts);
  });
  Fixture fixture;
  fixture.Announce({ AnnouncementOf("p", backend.Address()) });
  CHECK_FALSE(
    fixture.Signals().MakeDrainEvidence(Incarnation(1)).markedAt_.has_value());
  Get(fixture.Send(1));
  CHECK(
    fixture.Signals().MakeDrainEvidence(Incarnation(1)).markedAt_.has_value());
}

TEST_CASE("a server that left finishes its outstanding attempts")
{
  FakeBackend backend([](const HttpRequest& aRequest) {
    return FakeReply{
      ReplyParts(aRequest).Text(), milliseconds(100), false, false
    };
  });
  Fixture fixture;
  fixture.Announce({ AnnouncementOf("p", backend.Address()) });
  const auto replica = fixture.fleet_.View().Load()->replicas_.front();
  auto first = fixture.Send(1);
  REQUIRE(WaitFor([&] { return backend.Requests() == 1; }));
  fixture.Announce({});
  CHECK(Get(std::move(first))->outcome_ == AttemptOutcome::Replied);
  CHECK(fixture.fleet_.View().Load()->replicas_.empty());
}
