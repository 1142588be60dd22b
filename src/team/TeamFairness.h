#ifndef TEAM_TEAMFAIRNESS_H
#define TEAM_TEAMFAIRNESS_H

#include "core/Time.h"
#include "team/Team.h"

#include <unordered_map>

namespace foxtail {

struct TeamFairnessSettings
{
  /// Time constant of the averages of demand and of refusals by servers: the
  /// shortest burst that has to be recognised.
  milliseconds window_{ 5000 };
  /// Share of the recent attempts, 0 to 1, that servers must have refused for
  /// lack of capacity.
  double pressureThreshold_ = 0.2;
  /// Attempts within the window without which there is no estimate of it.
  double minAttempts_ = 3;
  /// Requests of a team beyond its share that are always accepted, in addition
  /// to the square root of the share, which is about the random variation. A
  /// small team sends one request a minute to an instance, so that one or two
  /// in a row say nothing about its demand.
  double toleratedRequests_ = 2;
  /// Largest share of a team's requests that is refused, 0 to 1, so that a team
  /// whose demand is misjudged is still served.
  double maxRefusedShare_ = 0.7;
};

/// Decides which requests one instance refuses first while backend servers lack
/// capacity: those of teams whose demand at this instance exceeds their quotas'
/// part of it. Teams without a quota share equally in what the others have on
/// average. Assumes that the callers of a team are spread evenly over the
/// instances; a team whose callers are in one zone is refused too much. Not
/// thread-safe.
class TeamFairness
{
public:
  explicit TeamFairness(TeamFairnessSettings aSettings);

  /// @param aTeams teams of the document; the demand of those that remain is
  /// kept.
  /// @param aInstances number of entry instances, at least 1.
  void SetTeams(const std::vector<Team>& aTeams, uint32_t aInstances);

  /// Records whether a server refused an attempt for lack of capacity.
  void OnAttemptEnd(bool aIsRefused, TimePoint aNow);

  /// Records a request of a team and decides whether it is sent.
  ///
  /// @return whether it is to be refused.
  bool ShouldRefuse(const std::string& aTeam, TimePoint aNow);

  /// @return the share of recent attempts that were refused, 0 to 1, or 0 while
  /// there are too few attempts.
  double Pressure(TimePoint aNow) const;

private:
  /// A count that decays with the window as its time constant.
  struct DecayingCount
  {
    double value_ = 0;
    TimePoint at_{};
  };
  struct Demand
  {
    DecayingCount requests_;
    /// Requests of an average window that are the team's part of this instance.
    double share_ = 0;
    /// Sum of the shares to refuse of the requests so far, less the refusals.
    double owedRefusals_ = 0;
  };

  double ValueAt(const DecayingCount& aCount, TimePoint aNow) const;
  void Add(DecayingCount& aCount, TimePoint aNow) const;

  const TeamFairnessSettings settings_;
  std::unordered_map<std::string, Demand> demands_;
  DecayingCount attempts_;
  DecayingCount refused_;
};

} // namespace foxtail

#endif // TEAM_TEAMFAIRNESS_H
