#ifndef CONTROL_CONTROLSTATE_H
#define CONTROL_CONTROLSTATE_H

#include "control/ClaimTable.h"
#include "control/Command.h"
#include "control/DocumentLedger.h"

#include <absl/status/status.h>
#include <string>
#include <string_view>

namespace foxtail {

/// A state at one index, which does not change any more. Any one thread may
/// encode it.
struct ControlStateSnapshot
{
  milliseconds logTime_{};
  DocumentLedger documents_;
  ClaimTable::Partitions claims_;

  /// @return the snapshot's bytes.
  std::string Encode() const;
};

/// The state that the replicated log builds: the accepted document and the
/// claims of actions. The same entries in the same order give the same state
/// everywhere. Not thread safe.
class ControlState
{
public:
  CommandResult Apply(const Command& aCommand);

  const DocumentLedger& Documents() const { return documents_; }
  const ClaimTable& Claims() const { return claims_; }
  /// @return the time of the latest command, since the epoch.
  milliseconds LogTime() const { return logTime_; }

  ControlStateSnapshot TakeSnapshot();
  /// Replaces the state by a snapshot.
  ///
  /// @return Protocol when the snapshot is malformed; the state is unchanged.
  absl::Status Restore(std::string_view aSnapshot);

private:
  milliseconds logTime_{};
  DocumentLedger documents_;
  ClaimTable claims_;
};

} // namespace foxtail

#endif // CONTROL_CONTROLSTATE_H
