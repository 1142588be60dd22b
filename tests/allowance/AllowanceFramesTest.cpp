#include "allowance/AllowanceClient.h"
#include "allowance/AllowanceServer.h"
#include "core/Metrics.h"

#include <boost/asio/post.hpp>
#include <doctest/doctest.h>
#include <future>
#include <rapidcheck.h>
#include <thread>

using namespace foxtail;

namespace {

FrameTransportSettings FrameSettings(const char* aName)
{
  FrameTransportSettings settings;
  settings.instance_ = InstanceId(aName);
  settings.deploymentKey_ = "key of the tests";
  settings.connectTimeout_ = milliseconds(300);
  return settings;
}

AllowanceSettings SlowMachineSettings()
{
  AllowanceSettings settings;
  // The tests run beside others, which delay replies by more than 30 ms.
  settings.window_ = seconds(60);
  settings.callTimeout_ = milliseconds(500);
  return settings;
}

template<typename Function>
auto RunOn(WorkerPool& aPool, Function aFunction)
{
  std::promise<decltype(aFunction())> promise;
  boost::asio::post(aPool.Context(0), [&] { promise.set_value(aFunction()); });
  return promise.get_future().get();
}

struct Control
{
  explicit Control(const char* aName)
    : pool_(1)
    , frames_(FrameSettings(aName), pool_)
    , server_(SlowMachineSettings(), frames_, pool_.Context(0), metrics_)
  {
    frames_.Start().IgnoreError();
    pool_.Start();
  }
  ~Control()
  {
    frames_.Stop();
    pool_.Stop();
  }
  std::string Endpoint() const
  {
    return "127.0.0.1:" + std::to_string(frames_.Port());
  }
  void Follow(const Control& aOther)
  {
    RunOn(pool_, [&] {
      auto& ledger = server_.Ledger();
      ledger.SetMembers(2, true, Now());
      ledger.SetLimits(DocumentVersion(1), { { "team", 0.01, 0 } }, Now());
      ledger.OnMajorityContact(Now());
      server_.SetPeers({ aOther.Endpoint() });
      return 0;
    });
  }

  Metrics metrics_;
  WorkerPool pool_;
  FrameTransport frames_;
  AllowanceServer server_;
};

struct Entry
{
  explicit Entry(std::vector<AllowanceControl> aControls)
    : pool_(1)
    , frames_(FrameSettings("entry-1"), pool_)
    , client_(SlowMachineSettings(),
              frames_,
              pool_.Context(0),
              metrics_,
              [aControls](TimePoint) { return aControls; })
  {
    frames_.Start().IgnoreError();
    pool_.Start();
  }
  ~Entry()
  {
    frames_.Stop();
    pool_.Stop();
  }
  /// @return the outcome of a request that waits for up to two seconds.
  PermitOutcome Acquire()
  {
    auto outcome = std::make_shared<std::promise<PermitOutcome>>();
    auto future = outcome->get_future();
    const auto wait = RunOn(pool_, [&]() -> std::shared_ptr<void> {
      const auto decision = client_.Take("team", Now());
      if (const auto* permit = std::get_if<Permit>(&decision)) {
        outcome->set_value(*permit);
      } else if (const auto* refused = std::get_if<PermitRefused>(&decision)) {
        outcome->set_value(*refused);
      } else {
        return client_.Wait("team",
                            DocumentVersion(1),
                            Now() + seconds(2),
                            [outcome](PermitOutcome aOutcome, TimePoint) {
                              outcome->set_value(std::move(aOutcome));
                            });
      }
      return nullptr;
    });
    return future.get();
  }

  Metrics metrics_;
  WorkerPool pool_;
  FrameTransport frames_;
  AllowanceClient client_;
};

} // namespace

TEST_CASE("allowance: instances share permits over frames")
{
  Control one("control-1");
  Control two("control-2");
  one.Follow(two);
  two.Follow(one);
  // A port on which nobody listens, nearer than the others.
  Entry entry({ { "127.0.0.1:1", 0 }, { one.Endpoint(), 1 } });
  // Each control instance begins with a quarter of the slack / 2 = 2.5, so the
  // fifth is in two halves.
  for (int i = 0; i < 5; ++i) {
    CAPTURE(i);
    CHECK(std::holds_alternative<Permit>(entry.Acquire()));
  }
  const auto refused = entry.Acquire();
  REQUIRE(std::holds_alternative<PermitRefused>(refused));
  CHECK(std::get<PermitRefused>(refused).until_ > Now() + seconds(10));
  CHECK(std::holds_alternative<PermitRefused>(entry.Acquire()));
  SUBCASE("a returned permit serves the next request")
  {
    RunOn(entry.pool_, [&] {
      entry.client_.Return("team", { Now() + seconds(1) }, Now());
      return 0;
    });
    CHECK(std::holds_alternative<Permit>(entry.Acquire()));
  }
}

TEST_CASE("allowance: without a control instance requests do not wait forever")
{
  Entry entry({ { "127.0.0.1:1", 0 } });
  CHECK(std::holds_alternative<PermitUnavailable>(entry.Acquire()));
}

TEST_CASE("allowance: messages survive encoding and invalid bytes are rejected")
{
  AllowanceRequest request;
  request.asks_ = { { "a", 2.5, 1, 0.5 } };
  request.version_ = DocumentVersion(7);
  request.isControl_ = true;
  request.wait_ = microseconds(900);
  const std::string bytes = EncodeAllowanceRequest(request);
  const auto decoded = DecodeAllowanceRequest(bytes);
  REQUIRE(decoded.ok());
  CHECK(decoded->asks_[0].name_ == "a");
  CHECK(decoded->asks_[0].amount_ == 2.5);
  CHECK(decoded->asks_[0].demand_ == 1);
  CHECK(decoded->asks_[0].least_ == 0.5);
  CHECK(decoded->version_ == DocumentVersion(7));
  CHECK(decoded->isControl_);
  CHECK(decoded->wait_ == microseconds(900));
  const AllowanceReply reply{
    { { "a", 1, AllowanceOutcome::Refused, milliseconds(5), 3 } }, true
  };
  const auto decodedReply = DecodeAllowanceReply(EncodeAllowanceReply(reply));
  REQUIRE(decodedReply.ok());
  CHECK(decodedReply->grants_[0].outcome_ == AllowanceOutcome::Refused);
  CHECK(decodedReply->grants_[0].expectedIn_ == milliseconds(5));
  CHECK(decodedReply->grants_[0].lendable_ == 3);
  CHECK(decodedReply->gives_);
  request.asks_[0].amount_ = -1;
  CHECK_FALSE(DecodeAllowanceRequest(EncodeAllowanceRequest(request)).ok());
  CHECK(rc::check("corrupted bytes never crash the decoder", [&] {
    std::string corrupted = bytes;
    corrupted[*rc::gen::inRange<size_t>(0, bytes.size())] =
      *rc::gen::arbitrary<char>();
    corrupted.resize(*rc::gen::inRange<size_t>(0, bytes.size() + 1));
    (void)DecodeAllowanceRequest(corrupted);
    (void)DecodeAllowanceReply(corrupted);
  }));
}
