#include "team/TeamFairness.h"

#include <algorithm>
#include <cmath>

namespace foxtail {

TeamFairness::TeamFairness(TeamFairnessSettings aSettings)
  : settings_(aSettings)
{
}

void TeamFairness::SetTeams(const std::vector<Team>& aTeams,
                            uint32_t aInstances)
{
  double rateSum = 0;
  size_t limited = 0;
  for (const Team& team : aTeams) {
    rateSum += team.requestsPerSecond_;
    limited += team.requestsPerSecond_ > 0 ? 1 : 0;
  }
  const double meanRate =
    limited == 0 ? 0 : rateSum / static_cast<double>(limited);
  const double windowPart =
    std::chrono::duration<double>(settings_.window_).count() /
    std::max<uint32_t>(aInstances, 1);
  std::unordered_map<std::string, Demand> demands;
  for (const Team& team : aTeams) {
    const auto known = demands_.find(team.name_);
    Demand& demand = demands[team.name_];
    if (known != demands_.end()) {
      demand = known->second;
    }
    const double rate =
      team.requestsPerSecond_ > 0 ? team.requestsPerSecond_ : meanRate;
    demand.share_ = rate * windowPart;
  }
  demands_ = std::move(demands);
}

void TeamFairness::OnAttemptEnd(bool aIsRefused, TimePoint aNow)
{
  Add(attempts_, aNow);
  if (aIsRefused) {
    Add(refused_, aNow);
  }
}

double TeamFairness::Pressure(TimePoint aNow) const
{
  const double attempts = ValueAt(attempts_, aNow);
  return attempts < settings_.minAttempts_ ? 0
                                           : ValueAt(refused_, aNow) / attempts;
}

bool TeamFairness::ShouldRefuse(const std::string& aTeam, TimePoint aNow)
{
  const auto found = demands_.find(aTeam);
  if (found == demands_.end()) {
    return false;
  }
  Demand& demand = found->second;
  Add(demand.requests_, aNow);
  const double requests = demand.requests_.value_;
  const double excess = requests - demand.share_ - std::sqrt(demand.share_) -
                        settings_.toleratedRequests_;
  if (excess <= 0 || Pressure(aNow) < settings_.pressureThreshold_) {
    demand.owedRefusals_ = 0;
    return false;
  }
  demand.owedRefusals_ +=
    std::min(excess / requests, settings_.maxRefusedShare_);
  if (demand.owedRefusals_ < 1) {
    return false;
  }
  demand.owedRefusals_ -= 1;
  return true;
}

double TeamFairness::ValueAt(const DecayingCount& aCount, TimePoint aNow) const
{
  const std::chrono::duration<double> age = aNow - aCount.at_;
  const std::chrono::duration<double> window = settings_.window_;
  return aCount.value_ * std::exp(-std::max(0.0, age / window));
}

void TeamFairness::Add(DecayingCount& aCount, TimePoint aNow) const
{
  aCount.value_ = ValueAt(aCount, aNow) + 1;
  aCount.at_ = std::max(aCount.at_, aNow);
}

} // namespace foxtail
