#ifndef ALLOWANCE_PERMITSOURCE_H
#define ALLOWANCE_PERMITSOURCE_H

#include "allowance/HeldPermits.h"

#include <functional>
#include <memory>

namespace foxtail {

/// No control instance answered in time.
struct PermitUnavailable
{};

using PermitOutcome = std::variant<Permit, PermitRefused, PermitUnavailable>;

/// Permits for requests of names that have a limit. Not thread-safe.
class PermitSource
{
public:
  using Callback = std::function<void(PermitOutcome, TimePoint aNow)>;

  virtual ~PermitSource() = default;
  /// @return a permit, a refusal, or that a control instance must be asked.
  virtual PermitDecision Take(const std::string& aName, TimePoint aNow) = 0;
  /// Asks a control instance after Take() has found none.
  ///
  /// @param aVersion document that states the limit.
  /// @param aUntil when the wait ends.
  /// @param aCallback called once, not from within the call, while its result
  /// exists.
  /// @return handle whose destruction cancels the wait.
  virtual std::shared_ptr<void> Wait(const std::string& aName,
                                     DocumentVersion aVersion,
                                     TimePoint aUntil,
                                     Callback aCallback) = 0;
  /// Returns the permit of a request that has certainly not run.
  virtual void Return(const std::string& aName,
                      Permit aPermit,
                      TimePoint aNow) = 0;
};

} // namespace foxtail

#endif // ALLOWANCE_PERMITSOURCE_H
