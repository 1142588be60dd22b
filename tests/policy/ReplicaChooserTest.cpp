#include "policy/ReplicaChooser.h"
#include "policy/Ramp.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace foxtail;

namespace {

constexpr TimePoint kStart{};

std::vector<ReplicaView> Three()
{
  std::vector<ReplicaView> views(3);
  for (uint32_t i = 0; i < views.size(); ++i) {
    views[i].replica_ = i;
    views[i].slots_ = 3;
    views[i].inFlightLimit_ = 6;
  }
  return views;
}

/// @return how often each replica is chosen in 10,000 choices.
std::vector<int> Count(const std::vector<ReplicaView>& aViews,
                       ReplicaReason* aReason = nullptr)
{
  constexpr int kChoices = 10000;
  RandomSource random(7);
  std::vector<int> counts(aViews.size());
  for (int i = 0; i < kChoices; ++i) {
    const auto choice = ChooseReplica({}, aViews, true, random, kStart);
    if (choice.isChosen_) {
      ++counts[choice.replica_];
    }
    if (aReason != nullptr) {
      *aReason = choice.reason_;
    }
  }
  return counts;
}

} // namespace

TEST_CASE("replica: which ones are chosen, with the reason")
{
  using Change = void (*)(std::vector<ReplicaView>&);
  struct Row
  {
    std::string name_;
    Change change_;
    /// Whether each replica is chosen at all.
    std::array<bool, 3> used_;
    ReplicaReason reason_;
  };
  const Row rows[] = {
    { "all equal", [](auto&) {}, { true, true, true }, ReplicaReason::Nearest },
    { "one in another zone",
      [](auto& aViews) { aViews[0].distance_ = ZoneDistance::Near; },
      { false, true, true },
      ReplicaReason::Nearest },
    { "none left in the nearest zone",
      [](auto& aViews) {
        aViews[0].isTried_ = true;
        aViews[1].distance_ = ZoneDistance::Near;
        aViews[2].distance_ = ZoneDistance::Far;
      },
      { false, true, false },
      ReplicaReason::FarFallback },
    { "one draining",
      [](auto& aViews) { aViews[1].isDraining_ = true; },
      { true, false, true },
      ReplicaReason::Nearest },
    { "one ejected",
      [](auto& aViews) { aViews[1].isEjected_ = true; },
      { true, false, true },
      ReplicaReason::Nearest },
    { "one already tried",
      [](auto& aViews) { aViews[2].isTried_ = true; },
      { true, true, false },
      ReplicaReason::Nearest },
    { "one due for a probe",
      [](auto& aViews) { aViews[2].isProbeDue_ = true; },
      { false, false, true },
      ReplicaReason::Probe },
    { "only an ejected one left",
      [](auto& aViews) {
        aViews[0].isTried_ = true;
        aViews[1].isDraining_ = true;
        aViews[2].isEjected_ = true;
      },
      { false, false, true },
      ReplicaReason::LastResort },
    { "only one at its limit left",
      [](auto& aViews) {
        aViews[0].isDraining_ = true;
        aViews[1].isTried_ = true;
        aViews[2].inFlight_ = 6;
      },
      { false, false, false },
      ReplicaReason::AllAtLimit },
    { "all draining",
      [](auto& aViews) {
        for (auto& view : aViews) {
          view.isDraining_ = true;
        }
      },
      { false, false, false },
      ReplicaReason::AllDraining },
    { "one slow",
      [](auto& aViews) {
        for (auto& view : aViews) {
          view.latency_ = milliseconds(5);
          view.latencyAt_ = kStart;
        }
        aViews[0].latency_ = milliseconds(100);
      },
      { false, true, true },
      ReplicaReason::Nearest },
    { "one slow, without recent samples",
      [](auto& aViews) {
        for (auto& view : aViews) {
          view.latency_ = milliseconds(5);
          view.latencyAt_ = kStart;
        }
        aViews[0].latency_ = milliseconds(100);
        aViews[0].latencyAt_ = kStart - seconds(60);
      },
      { true, true, true },
      ReplicaReason::Nearest },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    std::vector<ReplicaView> views = Three();
    row.change_(views);
    ReplicaReason reason{};
    const auto counts = Count(views, &reason);
    for (size_t i = 0; i < counts.size(); ++i) {
      CAPTURE(i);
      CHECK((counts[i] > 0) == row.used_[i]);
    }
    CHECK(reason == row.reason_);
  }
}

TEST_CASE("replica: zone distances, and actions are not used as probes")
{
  const std::vector<Region> regions{
    { "north", { ZoneName("hanoi") } },
    { "south", { ZoneName("mekong"), ZoneName("saigon") } },
  };
  const ZoneMap map(ZoneName("mekong"), regions);
  CHECK(map.DistanceTo(ZoneName("mekong")) == ZoneDistance::Same);
  CHECK(map.DistanceTo(ZoneName("saigon")) == ZoneDistance::Near);
  CHECK(map.DistanceTo(ZoneName("hanoi")) == ZoneDistance::Far);
  CHECK(map.DistanceTo(ZoneName("other")) == ZoneDistance::Far);
  CHECK(ZoneMap(ZoneName("a"), {}).DistanceTo(ZoneName("b")) ==
        ZoneDistance::Near);

  std::vector<ReplicaView> views = Three();
  views[0].isProbeDue_ = true;
  RandomSource random(1);
  for (int i = 0; i < 100; ++i) {
    const auto choice = ChooseReplica({}, views, false, random, kStart);
    CHECK(choice.replica_ != 0);
  }
}

TEST_CASE(
  "replica: a cold server's fraction of the choices grows with its ramp weight")
{
  const RampSettings ramp;
  CHECK(RampWeight(ramp, kStart, kStart) == doctest::Approx(0.1));
  CHECK(RampWeight(ramp, kStart, kStart + seconds(5)) == 1);
  std::vector<ReplicaView> views = Three();
  views[0].rampWeight_ = RampWeight(ramp, kStart, kStart);
  const int cold = Count(views)[0];
  views[0].rampWeight_ = RampWeight(ramp, kStart, kStart + seconds(4));
  const int warmer = Count(views)[0];
  CHECK(cold > 200);
  CHECK(cold < 1500);
  CHECK(warmer > 2 * cold);
}

TEST_CASE("replica: a loaded zone spills over a fraction of the requests")
{
  std::vector<ReplicaView> views = Three();
  for (auto& view : views) {
    view.inFlightLimit_ = 100;
  }
  views[2].distance_ = ZoneDistance::Near;
  const auto spilled = [&](uint32_t aInFlight) {
    views[0].inFlight_ = aInFlight;
    views[1].inFlight_ = aInFlight;
    return Count(views)[2];
  };
  CHECK(spilled(4) == 0);
  const int some = spilled(6);
  const int more = spilled(8);
  CHECK(some > 1000);
  CHECK(some < 5000);
  CHECK(more > some);
  // No spill-over if the next zone is equally loaded.
  views[2].inFlight_ = 8;
  CHECK(spilled(8) == 0);
}

TEST_CASE(
  "replica: a load report contradicted by the latency does not starve a server")
{
  // Three servers of equal speed under a steady load; the first one always
  // reports a long queue. Each server finishes its attempts at an equal rate.
  std::vector<ReplicaView> views = Three();
  for (auto& view : views) {
    view.latency_ = milliseconds(5);
    view.latencyAt_ = kStart;
    view.inFlightLimit_ = 100;
  }
  RandomSource random(3);
  std::array<int, 3> chosen{};
  constexpr int kSteps = 30000;
  for (int step = 0; step < kSteps; ++step) {
    const TimePoint now = kStart + step * milliseconds(1);
    for (auto& view : views) {
      view.latencyAt_ = now;
      const double finishRate = view.inFlight_ / 5.0;
      if (view.inFlight_ > 0 && random.Chance(std::min(1.0, finishRate))) {
        --view.inFlight_;
      }
    }
    // Offered load: 1.2 attempts per ms over nine slots of 5 ms each.
    for (int i = 0; i < (step % 5 == 0 ? 2 : 1); ++i) {
      const auto choice = ChooseReplica({}, views, true, random, now);
      ++chosen[choice.replica_];
      ++views[choice.replica_].inFlight_;
    }
    views[0].othersLoad_ = 100;
    views[0].reportedAt_ = now;
  }
  const double fair = (chosen[0] + chosen[1] + chosen[2]) / 3.0;
  MESSAGE("requests of the server with the false load report, relative to a "
          "fair share: "
          << chosen[0] / fair);
  CHECK(chosen[0] > 0.5 * fair);
}

TEST_CASE("replica: duration of a choice, benchmark")
{
  const std::vector<ReplicaView> views = Three();
  RandomSource random(1);
  constexpr int kChoices = 87 * 2000;
  uint32_t sum = 0;
  const TimePoint begin = Now();
  for (int i = 0; i < kChoices; ++i) {
    sum += ChooseReplica({}, views, true, random, kStart).replica_;
  }
  const auto cost =
    duration_cast<nanoseconds>(Now() - begin).count() / kChoices;
  MESSAGE("ns per choice among three replicas: " << cost);
  CHECK(sum > 0);
}
