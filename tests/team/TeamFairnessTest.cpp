#include "team/TeamFairness.h"

#include <doctest/doctest.h>
#include <ostream>
#include <random>

using namespace foxtail;

namespace {

constexpr uint32_t kInstances = 82;
constexpr size_t kTeams = 84;
constexpr size_t kLargeTeams = 2;
/// A team's usual demand is its rate divided by this.
constexpr double kHeadroom = 1.6;

std::vector<Team> MakeTeams(double aLargeRate, double aSmallRate)
{
  std::vector<Team> teams(kTeams);
  for (size_t i = 0; i < teams.size(); ++i) {
    teams[i].name_ = "t" + std::to_string(i);
    teams[i].requestsPerSecond_ = i < kLargeTeams ? aLargeRate : aSmallRate;
  }
  return teams;
}

struct Served
{
  /// Shares of the requests that were served.
  double all_ = 0;
  double burstingTeam_ = 0;
  double others_ = 0;
  double worstTeam_ = 1;
};

std::ostream& operator<<(std::ostream& aOut, const Served& aServed)
{
  return aOut << "all " << aServed.all_ << ", first team "
              << aServed.burstingTeam_ << ", others " << aServed.others_
              << ", worst team " << aServed.worstTeam_;
}

/// Simulates 20 s in which the first team sends @p aBurst times its usual
/// demand and the others @p aOthers times theirs, and the servers accept
/// @p aCapacity requests/s.
Served Simulate(bool aHasFairness,
                double aBurst,
                double aOthers,
                double aCapacity)
{
  const std::vector<Team> teams = MakeTeams(47, 1.2);
  std::vector<TeamFairness> instances(kInstances,
                                      TeamFairness(TeamFairnessSettings{}));
  std::vector<double> demand;
  for (const Team& team : teams) {
    demand.push_back(aOthers * team.requestsPerSecond_ / kHeadroom);
  }
  demand[0] *= aBurst / aOthers;
  for (TeamFairness& instance : instances) {
    instance.SetTeams(teams, kInstances);
  }
  std::mt19937_64 random(7);
  double total = 0;
  for (const double rate : demand) {
    total += rate;
  }
  std::exponential_distribution<double> gap(total);
  std::discrete_distribution<size_t> team(demand.begin(), demand.end());
  std::uniform_int_distribution<size_t> instanceOf(0, kInstances - 1);
  std::vector<double> sent(kTeams);
  std::vector<double> served(kTeams);
  double tokens = 0;
  for (double at = 0; at < 20;) {
    const double wait = gap(random);
    at += wait;
    tokens = std::min(tokens + wait * aCapacity, aCapacity / 10);
    const size_t index = team(random);
    TeamFairness& instance = instances[instanceOf(random)];
    const TimePoint now{ duration_cast<Duration>(
      std::chrono::duration<double>(100 + at)) };
    ++sent[index];
    if (instance.ShouldRefuse(teams[index].name_, now) && aHasFairness) {
      continue;
    }
    const bool isServed = tokens >= 1;
    tokens -= isServed ? 1 : 0;
    served[index] += isServed ? 1 : 0;
    instance.OnAttemptEnd(!isServed, now);
  }
  Served result;
  double othersSent = 0;
  double othersServed = 0;
  for (size_t i = 0; i < kTeams; ++i) {
    if (i > 0) {
      othersSent += sent[i];
      othersServed += served[i];
    }
    if (sent[i] > 0) {
      result.worstTeam_ = std::min(result.worstTeam_, served[i] / sent[i]);
    }
  }
  result.burstingTeam_ = served[0] / sent[0];
  result.others_ = othersServed / othersSent;
  result.all_ = (served[0] + othersServed) / (sent[0] + othersSent);
  return result;
}

} // namespace

TEST_CASE("fairness: a request is refused only under pressure, beyond a share")
{
  struct Row
  {
    const char* name_;
    double rate_;
    int requests_;
    bool hasPressure_;
    int leastRefused_;
    int mostRefused_;
  };
  const Row rows[] = {
    { "a burst without pressure", 47, 60, false, 0, 0 },
    { "two requests of a small team", 0.5, 2, true, 0, 0 },
    { "usual demand of a large team", 47, 4, true, 0, 0 },
    { "a burst under pressure", 47, 60, true, 30, 42 },
    { "a burst of a small team, served in part", 0.5, 60, true, 30, 42 },
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name_));
    TeamFairness fairness(TeamFairnessSettings{});
    fairness.SetTeams(MakeTeams(row.rate_, row.rate_), kInstances);
    const TimePoint now{ seconds(100) };
    for (int i = 0; i < 20; ++i) {
      fairness.OnAttemptEnd(row.hasPressure_ && i % 4 == 0, now);
    }
    int refused = 0;
    for (int i = 0; i < row.requests_; ++i) {
      refused += fairness.ShouldRefuse("t0", now) ? 1 : 0;
    }
    CHECK(refused >= row.leastRefused_);
    CHECK(refused <= row.mostRefused_);
    CHECK_FALSE(fairness.ShouldRefuse("unknown", now));
    // The pressure and the demand are forgotten after a few windows.
    CHECK_FALSE(fairness.ShouldRefuse("t0", now + seconds(60)));
  }
}

TEST_CASE("fairness: a burst of one team leaves the others what they had")
{
  // Usual demand is 120/s; the capacity covers 1.1 times that.
  constexpr double kCapacity = 132;
  for (const double burst : { 4.0, 8.0 }) {
    const Served alone = Simulate(false, burst, 1, kCapacity);
    const Served fair = Simulate(true, burst, 1, kCapacity);
    MESSAGE("burst x" << burst << " without: " << alone << "; with: " << fair);
    CHECK(fair.others_ > alone.others_);
    CHECK(fair.all_ > alone.all_ - 0.05);
    CHECK(fair.worstTeam_ > fair.all_ / 4);
  }
}

TEST_CASE(
  "fairness: teams within their quotas lose nothing to unequal placement")
{
  // All teams send what their quotas allow, to instances chosen at random.
  for (const double capacity : { 100.0, 150.0 }) {
    const Served alone = Simulate(false, kHeadroom, kHeadroom, capacity);
    const Served fair = Simulate(true, kHeadroom, kHeadroom, capacity);
    MESSAGE("capacity " << capacity << " without: " << alone
                        << "; with: " << fair);
    CHECK(fair.all_ > alone.all_ - 0.02);
    CHECK(fair.burstingTeam_ > alone.burstingTeam_ - 0.1);
  }
}
