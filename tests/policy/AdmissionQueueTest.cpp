#include "policy/AdmissionQueue.h"
#include "core/LatencyHistogram.h"

#include <deque>
#include <doctest/doctest.h>
#include <map>
#include <string>

using namespace foxtail;

namespace {

constexpr TimePoint kStart{};
const ServiceName kDesk("desk");
const ServiceName kOrders("orders");
const ServiceName kPress("press");

AdmissionQueue MakeQueue(AdmissionSettings aSettings, uint32_t aRate = 0)
{
  AdmissionQueue queue(aSettings);
  queue.Configure(
    { { TeamName("shop"), 1, aRate }, { TeamName("print"), 3, 0 } },
    { { kDesk, TeamName("shop"), 1000 },
      { kOrders, TeamName("shop"), 1000 },
      { kPress, TeamName("print"), 1000 } });
  return queue;
}

AdmissionRequest Request(uint64_t aId,
                         TimePoint aNow,
                         milliseconds aDeadline = seconds(10))
{
  return { aId, aNow + aDeadline, milliseconds(10) };
}

} // namespace

TEST_CASE("admission: verdict on arrival")
{
  struct Row
  {
    std::string name_;
    uint32_t running_;
    uint32_t waiting_;
    milliseconds deadline_;
    ServiceName service_;
    AdmissionVerdict verdict_;
  };
  const milliseconds longDeadline(10000);
  const Row rows[] = {
    { "below the limit", 1, 0, longDeadline, kDesk, AdmissionVerdict::Start },
    { "at the limit", 2, 0, longDeadline, kDesk, AdmissionVerdict::Queue },
    { "queue full",
      2,
      4,
      longDeadline,
      kDesk,
      AdmissionVerdict::RefuseQueueFull },
    { "deadline passed",
      0,
      0,
      milliseconds(0),
      kDesk,
      AdmissionVerdict::RefuseDeadline },
    { "wait would exceed the deadline",
      2,
      3,
      milliseconds(50),
      kDesk,
      AdmissionVerdict::RefuseDeadline },
    { "unknown service",
      0,
      0,
      longDeadline,
      ServiceName("other"),
      AdmissionVerdict::RefuseUnknown },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    AdmissionSettings settings;
    settings.concurrency_ = 2;
    settings.maxQueued_ = 4;
    AdmissionQueue queue = MakeQueue(settings);
    // One finished request sets the mean run time to 40 ms.
    queue.Offer(kDesk, Request(0, kStart), kStart);
    queue.Finish(kDesk, milliseconds(40));
    for (uint32_t i = 0; i < row.running_ + row.waiting_; ++i) {
      queue.Offer(kDesk, Request(i + 1, kStart), kStart);
    }
    const auto request = Request(99, kStart, row.deadline_);
    CHECK(queue.Offer(row.service_, request, kStart) == row.verdict_);
  }
}

TEST_CASE(
  "admission: a waiting request is started, or refused before its deadline")
{
  AdmissionSettings settings;
  settings.concurrency_ = 1;
  settings.window_ = seconds(1);
  AdmissionQueue queue = MakeQueue(settings);
  std::vector<AdmissionEvent> events;
  queue.Offer(kDesk, Request(1, kStart), kStart);
  queue.Offer(kDesk, Request(2, kStart), kStart);
  queue.Offer(kDesk, Request(3, kStart, milliseconds(50)), kStart);
  queue.Offer(kDesk, Request(4, kStart), kStart);
  queue.Cancel(kDesk, 4);
  queue.Poll(kStart + milliseconds(39), events);
  CHECK(events.empty());
  // The third request runs 10 ms and has a deadline of 50 ms.
  queue.Poll(kStart + milliseconds(41), events);
  REQUIRE(events.size() == 1);
  CHECK(events[0].id_ == 3);
  CHECK(events[0].verdict_ == AdmissionVerdict::RefuseDeadline);
  queue.Finish(kDesk, milliseconds(41));
  queue.Poll(kStart + milliseconds(42), events);
  REQUIRE(events.size() == 1);
  CHECK(events[0].id_ == 2);
  CHECK(events[0].verdict_ == AdmissionVerdict::Start);
  CHECK(queue.Queued() == 0);
  queue.Finish(kDesk, milliseconds(1));
  CHECK(queue.Running() == 0);
}

TEST_CASE("admission: a team over its requests/s is refused, others are not")
{
  AdmissionQueue queue = MakeQueue({}, 100);
  const auto accepted = [&](const ServiceName& aService, TimePoint aNow) {
    int count = 0;
    for (int i = 0; i < 200; ++i) {
      const auto verdict = queue.Offer(aService, Request(1, aNow), aNow);
      if (verdict == AdmissionVerdict::Start) {
        queue.Finish(aService, milliseconds(1));
        ++count;
      }
    }
    return count;
  };
  CHECK(accepted(kDesk, kStart) == 50);
  CHECK(accepted(kOrders, kStart) == 0);
  CHECK(accepted(kPress, kStart) == 200);
  CHECK(accepted(kDesk, kStart + milliseconds(100)) == 10);
}

TEST_CASE("admission: waiting requests of a removed service are refused")
{
  AdmissionSettings settings;
  settings.concurrency_ = 1;
  AdmissionQueue queue = MakeQueue(settings);
  queue.Offer(kDesk, Request(1, kStart), kStart);
  queue.Offer(kDesk, Request(2, kStart), kStart);
  queue.Configure({ { TeamName("print"), 3, 0 } },
                  { { kPress, TeamName("print"), 1000 } });
  std::vector<AdmissionEvent> events;
  queue.Poll(kStart, events);
  REQUIRE(events.size() == 1);
  CHECK(events[0].verdict_ == AdmissionVerdict::RefuseUnknown);
  CHECK(queue.Running() == 1);
  queue.Finish(kDesk, milliseconds(1));
  CHECK(queue.Running() == 0);
}

TEST_CASE("admission: one service at its limit does not delay another")
{
  AdmissionQueue queue = MakeQueue({});
  queue.SetConcurrency(kDesk, 1);
  CHECK(queue.Offer(kDesk, Request(1, kStart), kStart) ==
        AdmissionVerdict::Start);
  CHECK(queue.Offer(kDesk, Request(2, kStart), kStart) ==
        AdmissionVerdict::Queue);
  CHECK(queue.Offer(kOrders, Request(3, kStart), kStart) ==
        AdmissionVerdict::Start);
  CHECK(queue.IsOverloaded(kDesk));
  CHECK_FALSE(queue.IsOverloaded(kOrders));
}

namespace {

/// Offers requests of 10 ms to a queue that runs ten at once, and counts the
/// served ones.
class SharedInstance
{
public:
  SharedInstance()
    : queue_(MakeQueue(MakeSettings()))
  {
  }

  /// Runs for @p aMilliseconds, offering each service the given requests per
  /// ms.
  std::map<ServiceName, int> Run(int aMilliseconds,
                                 const std::map<ServiceName, int>& aOffered)
  {
    served_.clear();
    for (const int end = now_ + aMilliseconds; now_ < end; ++now_) {
      Finish();
      Poll();
      for (const auto& [service, count] : aOffered) {
        for (int i = 0; i < count; ++i) {
          Offer(service);
        }
      }
    }
    return served_;
  }

private:
  static AdmissionSettings MakeSettings()
  {
    AdmissionSettings settings;
    settings.concurrency_ = 10;
    return settings;
  }

  TimePoint Time() const { return kStart + milliseconds(now_); }

  void Finish()
  {
    while (!running_.empty() && running_.begin()->first <= now_) {
      queue_.Finish(running_.begin()->second, milliseconds(10));
      ++served_[running_.begin()->second];
      running_.erase(running_.begin());
    }
  }

  void Poll()
  {
    std::vector<AdmissionEvent> events;
    queue_.Poll(Time(), events);
    for (const AdmissionEvent& event : events) {
      if (event.verdict_ == AdmissionVerdict::Start) {
        running_.emplace(now_ + 10, services_[event.id_]);
      }
    }
  }

  void Offer(const ServiceName& aService)
  {
    services_.push_back(aService);
    const auto request = Request(services_.size() - 1, Time());
    if (queue_.Offer(aService, request, Time()) == AdmissionVerdict::Start) {
      running_.emplace(now_ + 10, aService);
    }
  }

  AdmissionQueue queue_;
  int now_ = 0;
  std::multimap<int, ServiceName> running_;
  std::vector<ServiceName> services_;
  std::map<ServiceName, int> served_;
};

} // namespace

TEST_CASE("admission: an overloaded instance divides its capacity by weight")
{
  // Desk and orders have weight 1 together, press has 3. Orders offers ten
  // times as many requests as the others.
  SharedInstance instance;
  auto served =
    instance.Run(5000, { { kDesk, 2 }, { kPress, 2 }, { kOrders, 20 } });
  const double all = served[kDesk] + served[kOrders] + served[kPress];
  CHECK(served[kPress] / all == doctest::Approx(0.75).epsilon(0.05));
  CHECK(served[kDesk] / all == doctest::Approx(0.125).epsilon(0.1));
  CHECK(served[kOrders] / all == doctest::Approx(0.125).epsilon(0.1));
}

TEST_CASE("admission: an idle team accrues no credit")
{
  SharedInstance instance;
  instance.Run(2000, { { kDesk, 2 } });
  auto served = instance.Run(500, { { kDesk, 2 }, { kPress, 2 } });
  const double all = served[kDesk] + served[kPress];
  CHECK(served[kDesk] / all == doctest::Approx(0.25).epsilon(0.1));
}

namespace {

struct OverloadResult
{
  double goodput_ = 0;
  double refusalP99Ms_ = 0;
  /// Median wait of the requests served under overload.
  double waitP50Ms_ = 0;
  /// p99 of the wait, from 2 s after the end of the overload.
  double waitAfterP99Ms_ = 0;
};

constexpr int kOverloadMs = 10000;
constexpr int kEndMs = 15000;
constexpr int kRunTimeMs = 20;
constexpr int kDeadlineMs = 300;
constexpr int kConcurrency = 10;

/// Offers twice the capacity of 500 requests/s, then 400 requests/s.
bool IsOffered(int aMs)
{
  return aMs < kOverloadMs || aMs % 5 < 2;
}

OverloadResult RunQueue()
{
  AdmissionQueue queue = MakeQueue({});
  queue.SetConcurrency(kDesk, kConcurrency);
  LatencyHistogram refusals;
  LatencyHistogram overloadedWaits;
  LatencyHistogram waits;
  std::deque<std::pair<int, int>> running;
  std::vector<AdmissionEvent> events;
  int good = 0;
  for (int ms = 0; ms < kEndMs; ++ms) {
    const TimePoint now = kStart + milliseconds(ms);
    while (!running.empty() && running.front().first <= ms) {
      const bool isGood = ms <= running.front().second;
      good += isGood && ms < kOverloadMs ? 1 : 0;
      queue.Finish(kDesk, milliseconds(kRunTimeMs));
      running.pop_front();
    }
    queue.Poll(now, events);
    for (const AdmissionEvent& event : events) {
      if (event.verdict_ != AdmissionVerdict::Start) {
        refusals.Add(event.waited_);
        continue;
      }
      const auto arrived = static_cast<int>(event.id_);
      running.emplace_back(ms + kRunTimeMs, arrived + kDeadlineMs);
      if (ms < kOverloadMs) {
        overloadedWaits.Add(event.waited_);
      } else if (ms > kOverloadMs + 2000) {
        waits.Add(event.waited_);
      }
    }
    if (!IsOffered(ms)) {
      continue;
    }
    const AdmissionRequest request{ static_cast<uint64_t>(ms),
                                    now + milliseconds(kDeadlineMs),
                                    milliseconds(kRunTimeMs) };
    const auto verdict = queue.Offer(kDesk, request, now);
    if (verdict == AdmissionVerdict::Start) {
      running.emplace_back(ms + kRunTimeMs, ms + kDeadlineMs);
    } else if (verdict != AdmissionVerdict::Queue) {
      refusals.Add(Duration::zero());
    }
  }
  const double capacity = 1.0 * kOverloadMs * kConcurrency / kRunTimeMs;
  return { good / capacity,
           ToMilliseconds(refusals.Quantile(0.99)),
           ToMilliseconds(overloadedWaits.Quantile(0.5)),
           ToMilliseconds(waits.Quantile(0.99)) };
}

/// Comparison: an unbounded first-in, first-out queue.
OverloadResult RunUnboundedFifo()
{
  std::deque<int> waiting;
  std::deque<std::pair<int, int>> running;
  LatencyHistogram waits;
  int good = 0;
  for (int ms = 0; ms < kEndMs; ++ms) {
    while (!running.empty() && running.front().first <= ms) {
      const bool isGood = ms <= running.front().second;
      good += isGood && ms < kOverloadMs ? 1 : 0;
      running.pop_front();
    }
    if (IsOffered(ms)) {
      waiting.push_back(ms);
    }
    while (running.size() < kConcurrency && !waiting.empty()) {
      if (ms > kOverloadMs + 2000) {
        waits.Add(milliseconds(ms - waiting.front()));
      }
      running.emplace_back(ms + kRunTimeMs, waiting.front() + kDeadlineMs);
      waiting.pop_front();
    }
  }
  const double capacity = 1.0 * kOverloadMs * kConcurrency / kRunTimeMs;
  return { good / capacity, 0, 0, ToMilliseconds(waits.Quantile(0.99)) };
}

} // namespace

TEST_CASE("admission: overload of twice the capacity, and recovery")
{
  const OverloadResult queue = RunQueue();
  const OverloadResult unbounded = RunUnboundedFifo();
  MESSAGE("goodput relative to capacity: "
          << queue.goodput_ << ", unbounded queue " << unbounded.goodput_);
  MESSAGE("refusal p99 ms: " << queue.refusalP99Ms_);
  MESSAGE("wait p99 ms, 2 s after the overload: " << queue.waitAfterP99Ms_
                                                  << ", unbounded queue "
                                                  << unbounded.waitAfterP99Ms_);
  MESSAGE("wait p50 ms of the served requests: " << queue.waitP50Ms_);
  CHECK(queue.goodput_ > 0.9);
  CHECK(queue.waitP50Ms_ < 15);
  CHECK(queue.refusalP99Ms_ <= 50);
  CHECK(queue.waitAfterP99Ms_ <= 20);
  CHECK(unbounded.goodput_ < 0.2);
}
