#ifndef ALLOWANCE_HELDPERMITS_H
#define ALLOWANCE_HELDPERMITS_H

#include "allowance/AllowanceMessages.h"
#include "allowance/AllowanceSettings.h"

#include <optional>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace foxtail {

/// A permit for one request.
struct Permit
{
  /// Time until which a request may take it.
  TimePoint expiresAt_{};
  /// Time until which the request that took it may be sent.
  TimePoint sendBy_ = TimePoint::max();
};

/// No permit is expected before until_.
struct PermitRefused
{
  TimePoint until_{};
};

/// A control instance must be asked.
struct PermitMissing
{};

using PermitDecision = std::variant<Permit, PermitRefused, PermitMissing>;

/// The permits that one entry instance holds, and its decisions on what to ask
/// for. Names that are not used are removed. Not thread-safe.
class HeldPermits
{
public:
  explicit HeldPermits(AllowanceSettings aSettings = {});

  /// Takes a permit for a new request.
  PermitDecision Take(const std::string& aName, TimePoint aNow);
  /// Takes a permit for a request that has waited, which is no new demand.
  std::optional<Permit> TakeForWaiting(const std::string& aName,
                                       TimePoint aNow);
  /// Adds a permit whose request has not run.
  void Return(const std::string& aName, Permit aPermit, TimePoint aNow);

  /// @param aWaiting requests that wait for a permit, at least 1.
  /// @return what to ask a control instance for.
  AllowanceAsk MakeAsk(const std::string& aName,
                       size_t aWaiting,
                       TimePoint aNow);
  /// Records the reply of a control instance.
  ///
  /// @param aAskedAt when the request was sent; the lifetime of the permits
  /// begins then.
  void OnGrant(const AllowanceGrant& aGrant,
               TimePoint aAskedAt,
               TimePoint aNow);

  /// @return until when requests of the name are refused here.
  TimePoint RefusedUntil(const std::string& aName) const;

  size_t Size() const { return rows_.size(); }
  /// @return permits that expired unused since the last call.
  uint64_t TakeExpired() { return std::exchange(expired_, 0); }

private:
  struct Row
  {
    /// Ordered by expiry.
    std::vector<Permit> permits_;
    RecentDemand demand_;
    double unreported_ = 0;
    TimePoint refusedUntil_{};
    TimePoint usedAt_{};
  };

  Row& RowOf(const std::string& aName, TimePoint aNow);
  void RemoveExpired(Row& aRow, TimePoint aNow);
  void RemoveUnused(TimePoint aNow);

  const AllowanceSettings settings_;
  std::unordered_map<std::string, Row> rows_;
  TimePoint cleanedAt_{};
  uint64_t expired_ = 0;
};

} // namespace foxtail

#endif // ALLOWANCE_HELDPERMITS_H
