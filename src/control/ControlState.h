#ifndef CONTROL_CONTROLSTATE_H
#define CONTROL_CONTROLSTATE_H

#include "control/ClaimTable.h"
#include "control/Command.h"
#include "control/DepartureTable.h"
#include "control/DocumentLedger.h"
#include "control/EvacuationTable.h"

#include <absl/status/status.h>
#include <string>
#include <string_view>

namespace foxtail {

/// Immutable copy of the control state at one log index. May be encoded on any
/// one thread.
struct ControlStateSnapshot
{
  milliseconds logTime_{};
  DocumentLedger documents_;
  ClaimTable::Partitions claims_;
  DepartureTable departures_;
  EvacuationTable evacuations_;

  /// @return the encoded snapshot.
  std::string Encode() const;
};

/// State machine of the replicated log: the accepted document, the claims of
/// actions, the departures of backend servers and the evacuated zones.
/// Deterministic: the same entries in the same order give the same state on
/// every member. Not thread safe.
class ControlState
{
public:
  CommandResult Apply(const Command& aCommand);

  const DocumentLedger& Documents() const { return documents_; }
  const ClaimTable& Claims() const { return claims_; }
  const DepartureTable& Departures() const { return departures_; }
  const EvacuationTable& Evacuations() const { return evacuations_; }
  /// @return the log time, since the epoch: the latest time of any command
  /// applied.
  milliseconds LogTime() const { return logTime_; }

  ControlStateSnapshot TakeSnapshot();
  /// Replaces the state by that of a snapshot.
  ///
  /// @return Protocol when the snapshot is malformed; the state is unchanged.
  absl::Status Restore(std::string_view aSnapshot);

private:
  milliseconds logTime_{};
  DocumentLedger documents_;
  ClaimTable claims_;
  DepartureTable departures_;
  EvacuationTable evacuations_;
};

} // namespace foxtail

#endif // CONTROL_CONTROLSTATE_H
