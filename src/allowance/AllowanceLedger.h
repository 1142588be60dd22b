#ifndef ALLOWANCE_ALLOWANCELEDGER_H
#define ALLOWANCE_ALLOWANCELEDGER_H

#include "allowance/AllowanceAccount.h"
#include "allowance/AllowanceMessages.h"

#include <unordered_map>
#include <utility>

namespace foxtail {

/// Another control instance, as a source of permits.
struct AllowancePeer
{
  std::string endpoint_;
  Duration roundTrip_{};
};

/// Permits to ask of one peer.
struct PeerAsk
{
  std::string endpoint_;
  AllowanceAsk ask_;
};

/// The accounts of one control instance, and its decisions on what to grant, to
/// lend and to ask of others. Permits are subtracted before they are sent, so
/// they are moved and never created. Not thread-safe.
class AllowanceLedger
{
public:
  explicit AllowanceLedger(AllowanceSettings aSettings = {});

  /// Puts the limits of a document in force; accounts of unchanged names keep
  /// their permits.
  void SetLimits(DocumentVersion aVersion,
                 const std::vector<AllowanceLimit>& aLimits,
                 TimePoint aNow);
  /// @param aIsMember whether this instance is one of them; otherwise it gives
  /// no permits.
  void SetMembers(size_t aControlInstances, bool aIsMember, TimePoint aNow);
  /// Records that a majority of the control instances, with this one, are in
  /// contact. Without it for most of membershipDelay_ no permits are given, as
  /// the others may have removed this instance and use its part of the rates.
  void OnMajorityContact(TimePoint aNow) { contactAt_ = aNow; }

  /// @return whether this instance may give permits.
  bool Gives(TimePoint aNow) const;
  /// Number of control instances by which the rates are divided.
  size_t Instances(TimePoint aNow);

  /// Records the demand that an entry instance reports.
  void OnDemand(const AllowanceAsk& aAsk, TimePoint aNow);
  /// Grants whole permits to an entry instance.
  ///
  /// @param aVersion document that the entry instance has in force.
  /// @param aIsFinal whether the answer is a refusal when there is no permit.
  AllowanceGrant Grant(const AllowanceAsk& aAsk,
                       std::optional<DocumentVersion> aVersion,
                       bool aIsFinal,
                       TimePoint aNow);
  /// Lends permits to another control instance, except those that this one
  /// expects to need itself while they would be valid there.
  AllowanceGrant Lend(const AllowanceAsk& aAsk, TimePoint aNow);

  /// @return what to ask of which peers for a request that waits for permits;
  /// empty when they have too few as well.
  std::vector<PeerAsk> PlanAsks(const AllowanceAsk& aAsk,
                                const std::vector<AllowancePeer>& aPeers,
                                TimePoint aNow);
  /// @return what to ask ahead of the recent demand.
  std::vector<PeerAsk> PlanAhead(const std::string& aName,
                                 const std::vector<AllowancePeer>& aPeers,
                                 TimePoint aNow);
  /// Records the reply of a peer.
  ///
  /// @param aAskedAt when the request was sent; the lifetime of the permits
  /// begins then, as the peer subtracted them later.
  void OnBorrowed(const std::string& aEndpoint,
                  const AllowanceGrant& aGrant,
                  TimePoint aAskedAt,
                  TimePoint aNow);

  size_t Size() const { return accounts_.size(); }
  /// @return moved permits that expired unused since the last call, in the
  /// accounts that were used.
  double TakeExpired() { return std::exchange(expired_, 0.0); }

private:
  struct PeerBalance
  {
    double lendable_ = 0;
    TimePoint statedAt_{};
  };
  struct Row
  {
    AllowanceLimit limit_;
    AllowanceAccount account_;
    RecentDemand demand_;
    /// Permits that peers could lend, as they last stated.
    std::vector<std::pair<std::string, PeerBalance>> peers_;
    /// When the document removed the name; max() while it is in force.
    TimePoint removedAt_ = TimePoint::max();
  };
  struct FormerCount
  {
    size_t instances_ = 0;
    TimePoint until_{};
  };

  /// @return the account in force, or null.
  Row* Find(const std::string& aName, TimePoint aNow);
  /// Applies a changed number of control instances to all accounts.
  void UpdateInstances(TimePoint aNow);
  /// @return permits that a peer can probably lend.
  double EstimateLendable(const Row& aRow,
                          const std::string& aEndpoint,
                          TimePoint aNow) const;
  /// @return permits that may be lent.
  double Lendable(Row& aRow, TimePoint aNow) const;
  std::vector<PeerAsk> Plan(Row& aRow,
                            double aAmount,
                            double aLeast,
                            const std::vector<AllowancePeer>& aPeers,
                            TimePoint aNow);
  milliseconds ExpectedIn(Row& aRow, TimePoint aNow) const;

  const AllowanceSettings settings_;
  std::unordered_map<std::string, Row> accounts_;
  std::optional<DocumentVersion> version_;
  size_t instances_ = 0;
  /// Number by which the accounts divide the rates now.
  size_t instancesInForce_ = 0;
  std::vector<FormerCount> formerCounts_;
  bool isMember_ = false;
  TimePoint contactAt_ = TimePoint::min();
  double expired_ = 0;
  size_t planCount_ = 0;
};

} // namespace foxtail

#endif // ALLOWANCE_ALLOWANCELEDGER_H
