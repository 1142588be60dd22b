#include "policy/ExtraAttemptBudget.h"

#include "core/RandomSource.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace foxtail;

namespace {

constexpr ExtraAttemptBudgetSettings kSettings{ 0.2, milliseconds(10000), 52 };

struct Event
{
  TimePoint time_;
  bool isExtra_ = false;
};

/// @return how many of the sorted times lie in the window that ends at @p aEnd.
double CountIn(const std::vector<TimePoint>& aTimes, TimePoint aEnd)
{
  const auto end = std::upper_bound(aTimes.begin(), aTimes.end(), aEnd);
  const auto begin =
    std::upper_bound(aTimes.begin(), aTimes.end(), aEnd - kSettings.window_);
  return static_cast<double>(end - begin);
}

/// @return the greatest excess over the budget in any window: extra attempts -
/// ratio x requests - slack. The requests are those of the window, of the one
/// before it or of the one half a window before it, whichever has most.
double WorstExcess(const std::vector<Event>& aEvents)
{
  std::vector<TimePoint> requests;
  std::vector<TimePoint> extras;
  for (const Event& event : aEvents) {
    (event.isExtra_ ? extras : requests).push_back(event.time_);
  }
  double worst = -1e9;
  for (const TimePoint end : extras) {
    const double counted =
      std::max({ CountIn(requests, end),
                 CountIn(requests, end - kSettings.window_ / 2),
                 CountIn(requests, end - kSettings.window_) });
    worst = std::max(worst,
                     CountIn(extras, end) - kSettings.ratio_ * counted -
                       kSettings.slack_);
  }
  return worst;
}

} // namespace

TEST_CASE("budget: all instances together stay within it in every window")
{
  CHECK(rc::check("for any distribution of requests over instances", [] {
    const auto instances = *rc::gen::inRange<uint32_t>(1, 10);
    std::vector<ExtraAttemptBudget> budgets(
      instances, ExtraAttemptBudget(kSettings, TimePoint{}));
    for (ExtraAttemptBudget& budget : budgets) {
      budget.SetInstances(instances);
    }
    RandomSource random(*rc::gen::arbitrary<uint64_t>());
    TimePoint now{ seconds(100) };
    std::vector<Event> events;
    // Periods of low and high load with uneven shares; each instance takes as
    // many extra attempts as its budget allows.
    for (int period = 0; period < 12; ++period) {
      const auto gap = microseconds(500 + random.NextBelow(40000));
      const size_t busiest = random.NextBelow(instances);
      for (int i = 0; i < 300; ++i) {
        now += gap;
        const size_t instance =
          random.Chance(0.5) ? busiest : random.NextBelow(instances);
        budgets[instance].OnRequest(now);
        events.push_back({ now, false });
        while (budgets[instance].TryTake(0, now)) {
          events.push_back({ now, true });
        }
      }
    }
    RC_ASSERT(WorstExcess(events) <= 0);
  }));
}

TEST_CASE("budget: optional attempts leave the reserve to necessary ones")
{
  ExtraAttemptBudget budget({ 0.2, milliseconds(10000), 10 }, TimePoint{});
  const TimePoint now{ seconds(50) };
  int optional = 0;
  while (budget.TryTake(0.5, now)) {
    ++optional;
  }
  int necessary = 0;
  while (budget.TryTake(0, now)) {
    ++necessary;
  }
  CHECK(optional == 5);
  CHECK(necessary == 5);
  CHECK(budget.UsedFraction(now) == doctest::Approx(1));
}

TEST_CASE(
  "budget: used attempts are available again after one window, not earlier")
{
  ExtraAttemptBudget budget({ 0, milliseconds(10000), 4 }, TimePoint{});
  const TimePoint now{ seconds(50) };
  while (budget.TryTake(0, now)) {
  }
  CHECK_FALSE(budget.TryTake(0, now + milliseconds(9900)));
  CHECK(budget.TryTake(0, now + milliseconds(11000)));
}

TEST_CASE("budget: instances that restart in turn stay within it together")
{
  // Review case 5: servers reject all requests while the instances are
  // restarted one after the other, and each new process spends what it may.
  constexpr uint32_t kInstances = 9;
  TimePoint now{ seconds(100) };
  std::vector<ExtraAttemptBudget> budgets(
    kInstances, ExtraAttemptBudget(kSettings, TimePoint{}));
  std::vector<Event> events;
  for (int step = 0; step < 1500; ++step) {
    now += milliseconds(20);
    const auto instance = static_cast<size_t>(step) % kInstances;
    const bool isRestart = step % 55 == 0;
    if (isRestart) {
      budgets[(static_cast<size_t>(step) / 55) % kInstances] =
        ExtraAttemptBudget(kSettings, now);
    }
    ExtraAttemptBudget& budget = budgets[instance];
    budget.SetInstances(kInstances);
    budget.OnRequest(now);
    events.push_back({ now, false });
    while (budget.TryTake(0, now)) {
      events.push_back({ now, true });
    }
  }
  CHECK(WorstExcess(events) <= 0);
}

TEST_CASE("budget: a new process has its slack after one window")
{
  const TimePoint start{ seconds(50) };
  ExtraAttemptBudget budget({ 0, milliseconds(10000), 4 }, start);
  CHECK_FALSE(budget.TryTake(0, start + milliseconds(9900)));
  CHECK(budget.TryTake(0, start + milliseconds(10000)));
}
