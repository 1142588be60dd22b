#include "policy/WeightedRoundRobin.h"

#include <cmath>
#include <doctest/doctest.h>
#include <numeric>
#include <rapidcheck.h>

using namespace foxtail;

TEST_CASE(
  "turns: at any time each part has had its share to within a few turns")
{
  CHECK(rc::check([] {
    const auto parts = *rc::gen::inRange<size_t>(1, 6);
    std::vector<double> weights;
    for (size_t i = 0; i < parts; ++i) {
      weights.push_back(*rc::gen::inRange(0, 10));
    }
    weights[0] += 1;
    const double sum = std::accumulate(weights.begin(), weights.end(), 0.0);
    WeightedRoundRobin turn;
    std::vector<double> had(parts, 0);
    for (int i = 1; i <= 300; ++i) {
      had[turn.Next(weights)] += 1;
      for (size_t part = 0; part < parts; ++part) {
        RC_ASSERT(std::abs(had[part] - i * weights[part] / sum) <=
                  static_cast<double>(parts));
      }
    }
  }));
}

TEST_CASE("turns: a part of weight 0 has none; new weights begin anew")
{
  WeightedRoundRobin turn;
  for (int i = 0; i < 20; ++i) {
    CHECK(turn.Next(std::vector<double>{ 0, 1 }) == 1);
  }
  CHECK(turn.Next(std::vector<double>{ 1, 0 }) == 0);
}
