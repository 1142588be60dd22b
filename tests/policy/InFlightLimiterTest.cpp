#include "policy/InFlightLimiter.h"
#include "core/RandomSource.h"

#include <deque>
#include <doctest/doctest.h>
#include <vector>

using namespace foxtail;

namespace {

constexpr TimePoint kStart{};

} // namespace

TEST_CASE("limiter: grows while the limit is reached, shrinks on sheds, stays "
          "in bounds")
{
  InFlightLimiter limiter({}, 3, 1);
  CHECK(limiter.Limit() == 6);
  TimePoint now = kStart + seconds(1);
  for (int i = 0; i < 200; ++i) {
    limiter.OnReply(milliseconds(5), 1, now);
  }
  CHECK(limiter.Limit() == 6);
  for (int i = 0; i < 1000; ++i) {
    limiter.OnReply(milliseconds(5), limiter.Limit(), now);
  }
  CHECK(limiter.Limit() == 9);
  limiter.OnShed(9, now);
  limiter.OnShed(9, now + milliseconds(1));
  CHECK(limiter.Limit() == 5);
  for (int i = 0; i < 50; ++i) {
    now += milliseconds(100);
    limiter.OnShed(9, now);
  }
  CHECK(limiter.Limit() == 1);
}

TEST_CASE("limiter: a slow server reduces the limit, a straggler does not")
{
  InFlightLimiter limiter({}, 3, 1);
  TimePoint now = kStart + seconds(1);
  for (int i = 0; i < 1000; ++i) {
    now += milliseconds(1);
    const bool isStraggler = i % 100 == 0;
    limiter.OnReply(milliseconds(isStraggler ? 100 : 5), 1, now);
  }
  CHECK(limiter.Limit() == 6);
  for (int i = 0; i < 40; ++i) {
    now += milliseconds(25);
    limiter.OnReply(milliseconds(50), 6, now);
  }
  CHECK(limiter.Limit() < 3);
}

TEST_CASE("limiter: instances together stay near the slots")
{
  struct Row
  {
    uint32_t slots_;
    uint32_t instances_;
    uint32_t largest_;
  };
  const Row rows[] = { { 3, 1, 9 }, { 3, 2, 4 }, { 3, 9, 3 }, { 6, 3, 6 } };
  for (const Row& row : rows) {
    CAPTURE(row.instances_);
    InFlightLimiter limiter({}, row.slots_, row.instances_);
    for (int i = 0; i < 2000; ++i) {
      limiter.OnReply(milliseconds(5), limiter.Limit(), kStart);
    }
    CHECK(limiter.Limit() == row.largest_);
  }
}

TEST_CASE("limiter: the initial limit shrinks with the number of instances, "
          "and is at least 1")
{
  CHECK(InFlightLimiter({}, 6, 2).Limit() == 6);
  CHECK(InFlightLimiter({}, 3, 9).Limit() == 1);
  CHECK(InFlightLimiter({}, 1, 0).Limit() == 2);
  InFlightLimiter limiter({}, 3, 9);
  limiter.Configure(6, 1);
  CHECK(limiter.Limit() == 6);
}

TEST_CASE("limiter: instances share one server without communication")
{
  // One server with 3 slots and a queue of 6 sheds all further requests. Every
  // instance always has requests to send. Time advances in steps of 1 ms, and a
  // request runs 5 ms.
  constexpr size_t kInstances = 4;
  struct Request
  {
    size_t instance_;
    int sentAt_;
    uint32_t inFlight_;
  };
  std::vector<InFlightLimiter> limiters(kInstances,
                                        InFlightLimiter({}, 3, kInstances));
  std::vector<uint32_t> inFlight(kInstances);
  std::vector<uint32_t> done(kInstances);
  std::deque<Request> queue;
  std::vector<std::pair<int, Request>> running;
  int sheds = 0;
  int served = 0;
  constexpr int kSteps = 20000;
  for (int step = 0; step < kSteps; ++step) {
    const TimePoint now = kStart + seconds(1) + milliseconds(step);
    std::erase_if(running, [&](const auto& aRow) {
      if (aRow.first > step) {
        return false;
      }
      const Request& request = aRow.second;
      limiters[request.instance_].OnReply(
        milliseconds(step - request.sentAt_), request.inFlight_, now);
      --inFlight[request.instance_];
      ++done[request.instance_];
      ++served;
      return true;
    });
    for (size_t i = 0; i < kInstances; ++i) {
      const size_t instance = (i + static_cast<size_t>(step)) % kInstances;
      if (inFlight[instance] >= limiters[instance].Limit()) {
        continue;
      }
      if (queue.size() >= 6) {
        ++sheds;
        limiters[instance].OnShed(inFlight[instance], now);
        continue;
      }
      queue.push_back({ instance, step, ++inFlight[instance] });
    }
    while (running.size() < 3 && !queue.empty()) {
      running.emplace_back(step + 5, queue.front());
      queue.pop_front();
    }
  }
  const double capacity = kSteps / 5.0 * 3;
  MESSAGE("goodput relative to capacity "
          << served / capacity << ", sheds per request "
          << static_cast<double>(sheds) / served);
  CHECK(served > 0.95 * capacity);
  CHECK(sheds < 0.1 * served);
  for (const uint32_t count : done) {
    CHECK(count > served / kInstances / 2);
  }
}
