#include "control/DepartureLog.h"

namespace foxtail {

DepartureLog::DepartureLog(ReplicatedControl& aControl,
                           FrameTransport& aFrames,
                           Metrics& aMetrics)
  : forwarder_(aControl, aFrames)
  , committed_(aMetrics.Counter("foxtail_control_departures_total",
                                "Departures of backend servers received",
                                { { "result", "committed" } }))
  , notCommitted_(aMetrics.Counter("foxtail_control_departures_total",
                                   "Departures of backend servers received",
                                   { { "result", "not_committed" } }))
{
}

boost::asio::awaitable<absl::Status> DepartureLog::Commit(
  ServerAnnouncement aDeparture,
  TimePoint aDeadline)
{
  CommandFactory make = [departure =
                           std::move(aDeparture)](const ControlState&) {
    return RecordDeparture{ departure };
  };
  // g++ 12 destroys temporaries within an awaited expression twice.
  auto commit = forwarder_.Commit(std::move(make), aDeadline);
  const absl::Status status = co_await std::move(commit);
  (status.ok() ? committed_ : notCommitted_).Increment();
  co_return status;
}

} // namespace foxtail
