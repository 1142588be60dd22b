#include "allowance/AllowanceLedger.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace foxtail {
namespace {

/// Rounding errors of sums of fractions must not cost a whole permit.
constexpr double kRounding = 1e-9;
/// A balance that a peer stated longer ago is not used. A team with few
/// requests needs the balances at its next request, some ten seconds later.
constexpr seconds kBalanceAge{ 120 };
/// A balance that was stated within this time is taken as certain.
constexpr seconds kFreshBalanceAge{ 30 };
/// Longest round trip within a region.
constexpr milliseconds kNearRoundTrip{ 5 };
/// Share of membershipDelay_ for which an instance without contact to a
/// majority gives permits. The rest covers the time in which the loss of
/// contact is noticed.
constexpr double kContactShare = 0.7;

double InSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

AllowanceLedger::AllowanceLedger(AllowanceSettings aSettings)
  : settings_(aSettings)
{
}

bool AllowanceLedger::Gives(TimePoint aNow) const
{
  return isMember_ && contactAt_ != TimePoint::min() &&
         aNow - contactAt_ <
           duration_cast<Duration>(settings_.membershipDelay_ * kContactShare);
}

void AllowanceLedger::SetMembers(size_t aControlInstances,
                                 bool aIsMember,
                                 TimePoint aNow)
{
  isMember_ = aIsMember;
  if (aControlInstances < instances_) {
    formerCounts_.push_back({ instances_, aNow + settings_.membershipDelay_ });
  }
  instances_ = aControlInstances;
  UpdateInstances(aNow);
}

size_t AllowanceLedger::Instances(TimePoint aNow)
{
  UpdateInstances(aNow);
  return instancesInForce_;
}

void AllowanceLedger::UpdateInstances(TimePoint aNow)
{
  std::erase_if(formerCounts_, [&](const FormerCount& aCount) {
    return aCount.until_ <= aNow;
  });
  size_t instances = instances_;
  for (const FormerCount& count : formerCounts_) {
    instances = std::max(instances, count.instances_);
  }
  if (instances == instancesInForce_ || instances == 0) {
    return;
  }
  const size_t before = std::exchange(instancesInForce_, instances);
  for (auto& [name, row] : accounts_) {
    if (before == 0) {
      row.account_ = AllowanceAccount(settings_, row.limit_, instances, aNow);
      continue;
    }
    row.account_.SetLimit(settings_, row.limit_, instances, aNow);
    if (instances > before) {
      // A new instance starts with permits of its own. An instance that reads
      // the memberships of its log one after the other would otherwise keep the
      // permits of a group of one.
      row.account_.MoveOut(row.account_.Own(aNow) *
                             static_cast<double>(instances - before) /
                             static_cast<double>(instances),
                           aNow);
    }
  }
}

void AllowanceLedger::SetLimits(DocumentVersion aVersion,
                                const std::vector<AllowanceLimit>& aLimits,
                                TimePoint aNow)
{
  UpdateInstances(aNow);
  version_ = aVersion;
  // Before the membership is known no permits are given.
  const size_t instances = std::max<size_t>(instancesInForce_, 1);
  // An account that is removed and added again must not begin with new
  // permits, so it is kept until its permits could not matter any more.
  std::erase_if(accounts_, [&](const auto& aEntry) {
    return aEntry.second.removedAt_ != TimePoint::max() &&
           aNow - aEntry.second.removedAt_ >= settings_.window_;
  });
  std::unordered_map<std::string, Row> former;
  former.swap(accounts_);
  accounts_.reserve(aLimits.size());
  for (const AllowanceLimit& limit : aLimits) {
    if (limit.perSecond_ <= 0) {
      continue;
    }
    auto found = former.extract(limit.name_);
    if (found.empty()) {
      accounts_.try_emplace(
        limit.name_,
        Row{
          limit, AllowanceAccount(settings_, limit, instances, aNow), {}, {} });
      continue;
    }
    Row& row = found.mapped();
    row.limit_ = limit;
    row.removedAt_ = TimePoint::max();
    row.account_.SetLimit(settings_, limit, instances, aNow);
    accounts_.insert(std::move(found));
  }
  for (auto& [name, row] : former) {
    row.removedAt_ = std::min(row.removedAt_, aNow);
    accounts_.try_emplace(name, std::move(row));
  }
}

AllowanceLedger::Row* AllowanceLedger::Find(const std::string& aName,
                                            TimePoint aNow)
{
  UpdateInstances(aNow);
  const auto found = accounts_.find(aName);
  return found == accounts_.end() ||
             found->second.removedAt_ != TimePoint::max()
           ? nullptr
           : &found->second;
}

void AllowanceLedger::OnDemand(const AllowanceAsk& aAsk, TimePoint aNow)
{
  if (Row* row = Find(aAsk.name_, aNow); row != nullptr && aAsk.demand_ > 0) {
    row->demand_.Add(aAsk.demand_, settings_.demandTime_, aNow);
  }
}

AllowanceGrant AllowanceLedger::Grant(const AllowanceAsk& aAsk,
                                      std::optional<DocumentVersion> aVersion,
                                      bool aIsFinal,
                                      TimePoint aNow)
{
  AllowanceGrant grant{ aAsk.name_ };
  Row* row = Find(aAsk.name_, aNow);
  if (row == nullptr) {
    // The limit may be part of a document that has not arrived here yet.
    const bool isNewer = aVersion > version_;
    grant.outcome_ =
      isNewer ? AllowanceOutcome::Refused : AllowanceOutcome::Unlimited;
    grant.amount_ = isNewer ? 0 : aAsk.amount_;
    grant.expectedIn_ = settings_.minRefusal_;
    return grant;
  }
  if (Gives(aNow)) {
    const double whole = std::floor(row->account_.Available(aNow) + kRounding);
    const double amount = std::min(std::floor(aAsk.amount_), whole);
    row->account_.Take(amount, aNow);
    grant.amount_ = amount;
  }
  expired_ += row->account_.TakeExpired();
  if (grant.amount_ < 1) {
    grant.outcome_ =
      aIsFinal ? AllowanceOutcome::Refused : AllowanceOutcome::Short;
    grant.expectedIn_ = ExpectedIn(*row, aNow);
  }
  return grant;
}

double AllowanceLedger::Lendable(Row& aRow, TimePoint aNow) const
{
  const double lifetime = InSeconds(settings_.ControlLifetime());
  const double net = aRow.demand_.PerSecond(settings_.demandTime_, aNow) -
                     aRow.account_.PerSecond();
  return std::max(0.0, aRow.account_.Own(aNow) - std::max(0.0, net) * lifetime);
}

AllowanceGrant AllowanceLedger::Lend(const AllowanceAsk& aAsk, TimePoint aNow)
{
  AllowanceGrant grant{ aAsk.name_ };
  Row* row = Find(aAsk.name_, aNow);
  if (row != nullptr && Gives(aNow)) {
    grant.amount_ =
      row->account_.MoveOut(std::min(aAsk.amount_, Lendable(*row, aNow)), aNow);
    grant.lendable_ = Lendable(*row, aNow);
  }
  if (grant.amount_ <= 0) {
    grant.outcome_ = AllowanceOutcome::Refused;
  }
  return grant;
}

double AllowanceLedger::EstimateLendable(const Row& aRow,
                                         const std::string& aEndpoint,
                                         TimePoint aNow) const
{
  for (const auto& [endpoint, balance] : aRow.peers_) {
    if (endpoint == aEndpoint && aNow - balance.statedAt_ < kBalanceAge) {
      return std::min(aRow.account_.Cap(),
                      balance.lendable_ + InSeconds(aNow - balance.statedAt_) *
                                            aRow.account_.PerSecond());
    }
  }
  return aRow.account_.Cap();
}

std::vector<PeerAsk> AllowanceLedger::Plan(
  Row& aRow,
  double aAmount,
  double aLeast,
  const std::vector<AllowancePeer>& aPeers,
  TimePoint aNow)
{
  struct Candidate
  {
    const AllowancePeer* peer_;
    double lendable_;
    bool isFresh_;
  };
  std::vector<Candidate> candidates;
  double sum = 0;
  for (const AllowancePeer& peer : aPeers) {
    const bool isFresh = std::any_of(
      aRow.peers_.begin(), aRow.peers_.end(), [&](const auto& aPeer) {
        return aPeer.first == peer.endpoint_ &&
               aNow - aPeer.second.statedAt_ < kFreshBalanceAge;
      });
    candidates.push_back(
      { &peer, EstimateLendable(aRow, peer.endpoint_, aNow), isFresh });
    sum += candidates.back().lendable_;
  }
  if (candidates.empty() || sum + kRounding < aLeast) {
    return {};
  }
  // Near ones that can lend all of it, then far ones, then those that have
  // most: few messages, and near ones. Peers that are believed to have equally
  // much take turns; always the same ones would be found empty.
  std::rotate(candidates.begin(),
              candidates.begin() +
                static_cast<ptrdiff_t>(planCount_++ % candidates.size()),
              candidates.end());
  const auto rank = [&](const Candidate& aCandidate) {
    return std::tuple(
      aCandidate
        .lendable_<aAmount, aCandidate.peer_->roundTrip_> kNearRoundTrip,
      -aCandidate.lendable_);
  };
  std::stable_sort(candidates.begin(),
                   candidates.end(),
                   [&](const Candidate& aLeft, const Candidate& aRight) {
                     return rank(aLeft) < rank(aRight);
                   });
  std::vector<PeerAsk> asks;
  double left = aAmount;
  for (const Candidate& candidate : candidates) {
    const double amount = std::min(left, candidate.lendable_);
    if (amount <= kRounding) {
      break;
    }
    asks.push_back(
      { candidate.peer_->endpoint_, { aRow.limit_.name_, amount, 0 } });
    left -= amount;
  }
  if (asks.size() == 1) {
    asks.front().ask_.least_ = aLeast;
    // There is no time for a second round between regions. What the far peer
    // has is uncertain unless it stated it lately, so two of them are asked.
    const bool isUncertain =
      candidates.front().peer_->roundTrip_ > kNearRoundTrip &&
      !candidates.front().isFresh_;
    if (isUncertain && candidates.size() > 1 &&
        candidates[1].lendable_ >= aLeast) {
      asks.push_back(asks.front());
      asks.back().endpoint_ = candidates[1].peer_->endpoint_;
    }
  }
  return asks;
}

std::vector<PeerAsk> AllowanceLedger::PlanAsks(
  const AllowanceAsk& aAsk,
  const std::vector<AllowancePeer>& aPeers,
  TimePoint aNow)
{
  Row* row = Find(aAsk.name_, aNow);
  if (row == nullptr || !Gives(aNow)) {
    return {};
  }
  const double available = row->account_.Available(aNow);
  const double least = 1 - available;
  return least <= 0 ? std::vector<PeerAsk>()
                    : Plan(*row,
                           std::max(aAsk.amount_, 1.0) - available,
                           least,
                           aPeers,
                           aNow);
}

std::vector<PeerAsk> AllowanceLedger::PlanAhead(
  const std::string& aName,
  const std::vector<AllowancePeer>& aPeers,
  TimePoint aNow)
{
  Row* row = Find(aName, aNow);
  if (row == nullptr || !Gives(aNow)) {
    return {};
  }
  const double lifetime = InSeconds(settings_.ControlLifetime());
  const double expected =
    lifetime * (row->demand_.PerSecond(settings_.demandTime_, aNow) -
                row->account_.PerSecond());
  // Permits that are asked for in vain expire, so less than one is not worth a
  // message.
  const double missing = expected - row->account_.Available(aNow);
  return missing < 1 ? std::vector<PeerAsk>()
                     : Plan(*row, missing, 1, aPeers, aNow);
}

void AllowanceLedger::OnBorrowed(const std::string& aEndpoint,
                                 const AllowanceGrant& aGrant,
                                 TimePoint aAskedAt,
                                 TimePoint aNow)
{
  Row* row = Find(aGrant.name_, aNow);
  if (row == nullptr) {
    return;
  }
  row->account_.MoveIn(
    aGrant.amount_, aAskedAt + settings_.ControlLifetime(), aNow);
  const PeerBalance balance{ aGrant.lendable_, aNow };
  for (auto& [endpoint, known] : row->peers_) {
    if (endpoint == aEndpoint) {
      known = balance;
      return;
    }
  }
  std::erase_if(row->peers_, [&](const auto& aPeer) {
    return aNow - aPeer.second.statedAt_ >= kBalanceAge;
  });
  row->peers_.emplace_back(aEndpoint, balance);
}

milliseconds AllowanceLedger::ExpectedIn(Row& aRow, TimePoint aNow) const
{
  double available = aRow.account_.Available(aNow);
  double perSecond = aRow.account_.PerSecond();
  for (const auto& [endpoint, balance] : aRow.peers_) {
    if (aNow - balance.statedAt_ < kBalanceAge) {
      available += EstimateLendable(aRow, endpoint, aNow);
      perSecond += aRow.account_.PerSecond();
    }
  }
  const auto expected = milliseconds(static_cast<int64_t>(
    std::min(std::ceil(std::max(0.0, 1 - available) / perSecond * 1000),
             static_cast<double>(settings_.maxRefusal_.count()))));
  return std::max(expected, settings_.minRefusal_);
}

} // namespace foxtail
