#include "control/EvacuationLog.h"

#include "core/Log.h"

namespace foxtail {

EvacuationLog::EvacuationLog(ReplicatedControl& aControl,
                             FrameTransport& aFrames,
                             Metrics& aMetrics)
  : forwarder_(aControl, aFrames)
  , committed_(aMetrics.Counter("foxtail_control_evacuation_orders_total",
                                "Orders to begin or end an evacuation",
                                { { "result", "committed" } }))
  , notCommitted_(aMetrics.Counter("foxtail_control_evacuation_orders_total",
                                   "Orders to begin or end an evacuation",
                                   { { "result", "not_committed" } }))
{
}

boost::asio::awaitable<absl::Status> EvacuationLog::Commit(ZoneName aZone,
                                                           bool aIsEvacuated,
                                                           TimePoint aDeadline)
{
  const TimePoint begin = Now();
  // Made anew for each attempt, as an attempt fails when another order was
  // applied since this instance's state.
  CommandFactory make = [aZone, aIsEvacuated](const ControlState& aState) {
    return SetEvacuation{ aZone,
                          aIsEvacuated,
                          aState.Evacuations().GetRows().orders_ };
  };
  // g++ 12 destroys temporaries within an awaited expression twice.
  auto commit = forwarder_.Commit(std::move(make), aDeadline);
  const absl::Status status = co_await std::move(commit);
  (status.ok() ? committed_ : notCommitted_).Increment();
  LogLine line(status.ok() ? LogLevel::Info : LogLevel::Warning,
               status.ok() ? "evacuation_committed" : "evacuation_unconfirmed");
  line.Add("zone", aZone)
    .Add("evacuated", aIsEvacuated)
    .Add("after_ms", ToMilliseconds(Now() - begin));
  if (!status.ok()) {
    line.Add("error", status);
  }
  co_return status;
}

} // namespace foxtail
