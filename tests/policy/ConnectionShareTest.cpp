#include "policy/ConnectionShare.h"
#include "core/RandomSource.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <string>
#include <vector>

using namespace foxtail;

namespace {

constexpr TimePoint kStart{};

uint32_t SumOfShares(uint32_t aLimit, uint32_t aInstances)
{
  uint32_t sum = 0;
  for (uint32_t rank = 0; rank < aInstances; ++rank) {
    sum += ShareOf({}, { aLimit, aInstances, rank });
  }
  return sum;
}

} // namespace

TEST_CASE("share: connections of each instance")
{
  struct Row
  {
    std::string name_;
    ConnectionShareInput input_;
    uint32_t share_;
  };
  const Row rows[] = {
    { "nine on 30, first", { 30, 9, 0 }, 3 },
    { "nine on 30, last", { 30, 9, 8 }, 3 },
    { "six on 30, first", { 30, 6, 0 }, 5 },
    { "six on 30, last", { 30, 6, 5 }, 4 },
    { "single instance", { 30, 1, 0 }, 27 },
    { "fewer connections than instances, rank with one", { 3, 9, 2 }, 1 },
    { "fewer connections than instances, rank without one", { 3, 9, 3 }, 0 },
    { "as many as instances", { 9, 9, 8 }, 1 },
    { "reserve reduced to leave each instance one", { 10, 9, 8 }, 1 },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    CHECK(ShareOf({}, row.input_) == row.share_);
  }
}

TEST_CASE("share: all shares together stay within the limit")
{
  CHECK(rc::check([] {
    const auto limit = *rc::gen::inRange<uint32_t>(1, 200);
    const auto instances = *rc::gen::inRange<uint32_t>(1, 100);
    RC_ASSERT(SumOfShares(limit, instances) <= limit);
    RC_ASSERT(limit < instances ||
              ShareOf({}, { limit, instances, instances - 1 }) >= 1);
  }));
}

TEST_CASE("share: shrinks at once, grows after a delay")
{
  ConnectionShare share({});
  CHECK(share.Update({ 30, 9, 0 }, kStart) == 1);
  CHECK(share.Update({ 30, 9, 0 }, kStart + milliseconds(3999)) == 1);
  CHECK(share.Update({ 30, 9, 0 }, kStart + milliseconds(4000)) == 3);
  CHECK(share.Update({ 30, 6, 0 }, kStart + seconds(10)) == 3);
  CHECK(share.Update({ 30, 6, 0 }, kStart + seconds(14)) == 5);
  CHECK(share.Update({ 30, 9, 0 }, kStart + seconds(15)) == 3);
}

TEST_CASE("share: a refused connection reduces it by one for the hold time")
{
  ConnectionShare share({});
  share.Update({ 30, 6, 0 }, kStart);
  CHECK(share.Update({ 30, 6, 0 }, kStart + seconds(5)) == 5);
  share.OnRefused(kStart + seconds(6));
  CHECK(share.Update({ 30, 6, 0 }, kStart + seconds(7)) == 4);
  share.Update({ 30, 6, 0 }, kStart + seconds(17));
  CHECK(share.Update({ 30, 6, 0 }, kStart + seconds(21)) == 5);
}

namespace {

struct Instance
{
  int joinsAt_;
  int leavesAt_;
  bool isLost_;
  /// How long a membership change takes to reach this instance, in ms.
  int noticeMs_;
  ConnectionShare share_{ {} };
};

/// Six instances at the start and, twice, up to three more that join within the
/// notice time, as the reserve of 30 connections allows.
std::vector<Instance> DrawInstances(RandomSource& aRandom)
{
  std::vector<Instance> all;
  for (int i = 0; i < 12; ++i) {
    const int joins = i < 6 ? 0 : 20000 + (i / 9) * 40000 + (i % 3) * 700;
    const int life = 8000 + static_cast<int>(aRandom.NextBelow(150000));
    all.push_back({ joins,
                    joins + life,
                    aRandom.Chance(0.5),
                    static_cast<int>(aRandom.NextBelow(3000)) });
  }
  return all;
}

/// @return whether an instance that learns of changes after @p aNotice counts
/// @p aPeer.
bool IsCounted(const Instance& aPeer, int aNotice, int aNow)
{
  const auto hold = ConnectionShareSettings().lostInstanceHold_.count();
  const int lost = aPeer.isLost_ ? static_cast<int>(hold) : 0;
  return aNow >= aPeer.joinsAt_ + aNotice &&
         aNow < aPeer.leavesAt_ + aNotice + lost;
}

uint32_t HeldAt(std::vector<Instance>& aAll, int aNow)
{
  uint32_t held = 0;
  for (size_t own = 0; own < aAll.size(); ++own) {
    Instance& self = aAll[own];
    if (aNow < self.joinsAt_ || aNow >= self.leavesAt_) {
      continue;
    }
    ConnectionShareInput input{ 30, 0, 0 };
    for (size_t other = 0; other < aAll.size(); ++other) {
      const int notice = other == own ? 0 : self.noticeMs_;
      const bool isCounted = IsCounted(aAll[other], notice, aNow);
      input.instances_ += isCounted ? 1 : 0;
      input.rank_ += isCounted && other < own ? 1 : 0;
    }
    held += self.share_.Update(input, kStart + milliseconds(aNow));
  }
  return held;
}

} // namespace

TEST_CASE("share: instances that join, leave and fail never exceed the limit")
{
  constexpr int kStepMs = 250;
  constexpr int kEndMs = 120000;
  for (uint64_t seed = 1; seed <= 100; ++seed) {
    CAPTURE(seed);
    RandomSource random(seed);
    std::vector<Instance> all = DrawInstances(random);
    uint32_t largest = 0;
    for (int now = 0; now < kEndMs; now += kStepMs) {
      largest = std::max(largest, HeldAt(all, now));
    }
    CHECK(largest <= 30);
    CHECK(largest >= 27);
  }
}
