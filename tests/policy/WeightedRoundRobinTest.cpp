#include "policy/WeightedRoundRobin.h"

#include <cmath>
#include <doctest/doctest.h>
#include <numeric>
#include <rapidcheck.h>

using namespace foxtail;

TEST_CASE("round robin: each item's number of choices stays close to its share")
{
  CHECK(rc::check([] {
    const auto itemCount = *rc::gen::inRange<size_t>(1, 6);
    std::vector<double> weights;
    for (size_t i = 0; i < itemCount; ++i) {
      weights.push_back(*rc::gen::inRange(0, 10));
    }
    weights[0] += 1;
    const double sum = std::accumulate(weights.begin(), weights.end(), 0.0);
    WeightedRoundRobin roundRobin;
    std::vector<double> counts(itemCount, 0);
    for (int i = 1; i <= 300; ++i) {
      counts[roundRobin.Next(weights)] += 1;
      for (size_t item = 0; item < itemCount; ++item) {
        RC_ASSERT(std::abs(counts[item] - i * weights[item] / sum) <=
                  static_cast<double>(itemCount));
      }
    }
  }));
}

TEST_CASE("round robin: an item of weight 0 is never chosen; changed weights "
          "reset the state")
{
  WeightedRoundRobin roundRobin;
  for (int i = 0; i < 20; ++i) {
    CHECK(roundRobin.Next(std::vector<double>{ 0, 1 }) == 1);
  }
  CHECK(roundRobin.Next(std::vector<double>{ 1, 0 }) == 0);
}
