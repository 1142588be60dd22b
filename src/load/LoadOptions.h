#ifndef LOAD_LOADOPTIONS_H
#define LOAD_LOADOPTIONS_H

#include "core/Time.h"
#include "http/HttpTypes.h"
#include "load/ArrivalSchedule.h"

#include <absl/status/statusor.h>
#include <string>
#include <vector>

namespace foxtail {

/// Settings of one run of the load tool.
struct LoadOptions
{
  /// Callers' listeners of the entry instances.
  std::vector<TcpEndpoint> targets_;
  /// Their platform listeners in the same order, to honour /readyz; empty to
  /// send whatever they say.
  std::vector<TcpEndpoint> ready_;
  /// Control interfaces of stand-in processes, to measure the extra load.
  std::vector<TcpEndpoint> standins_;
  std::vector<std::string> services_;
  std::vector<LoadStep> steps_;
  ArrivalKind arrivals_ = ArrivalKind::Poisson;
  /// Part of the run that is left out of the totals.
  Duration warmUp_{};
  size_t workers_ = 2;
  /// Connections to one entry instance.
  size_t connections_ = 512;
  /// Sends actions, each with an idempotency key of its own.
  bool isAction_ = false;
  /// How often an action without a result is sent again under its key.
  uint32_t resends_ = 0;
  /// Text to look for in the catalogues.
  std::string query_;
  /// Deadline header in ms; 0 for the service's own.
  uint32_t deadlineMs_ = 0;
  /// Patience header; empty for the service's own.
  std::string patience_;
  /// How long one exchange may take.
  milliseconds timeout_{ 10000 };
  uint64_t seed_ = 1;
  Duration timelineStep_ = milliseconds(100);
  /// File for one JSON line a request; empty for none.
  std::string history_;
  /// File for the timeline; empty for none.
  std::string csv_;
  bool isQuiet_ = false;

  /// Reads a command line; exits when it is wrong.
  static absl::StatusOr<LoadOptions> FromCommandLine(int argc,
                                                     const char** argv);
};

} // namespace foxtail

#endif // LOAD_LOADOPTIONS_H
