#include "control/EvacuationLog.h"

#include "core/Log.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace foxtail {
namespace {

constexpr std::string_view kCounterName =
  "foxtail_control_evacuation_orders_total";
constexpr std::string_view kCounterText =
  "Orders to begin or end an evacuation";
constexpr milliseconds kStatePollInterval{ 10 };

/// Counts and logs an outcome.
struct OutcomeReport
{
  prometheus::Counter& committed_;
  prometheus::Counter& unproved_;
  prometheus::Counter& notCommitted_;
  const EvacuationOrder& order_;
  Duration duration_;

  void operator()(const EvacuationCommitted&) const
  {
    committed_.Increment();
    LogLine line(LogLevel::Info, "evacuation_committed");
    AddOrder(line);
  }
  void operator()(const EvacuationUnproved& aOutcome) const
  {
    unproved_.Increment();
    LogLine line(LogLevel::Info, "evacuation_unproved");
    AddOrder(line);
    line.Add("known_orders", aOutcome.knownOrders_);
  }
  void operator()(const EvacuationUnconfirmed& aOutcome) const
  {
    notCommitted_.Increment();
    LogLine line(LogLevel::Warning, "evacuation_unconfirmed");
    AddOrder(line);
    line.Add("error", aOutcome.reason_);
  }

  void AddOrder(LogLine& aLine) const
  {
    aLine.Add("zone", order_.zone_)
      .Add("evacuated", order_.isEvacuated_)
      .Add("after_ms", ToMilliseconds(duration_));
    if (order_.knownOrders_) {
      aLine.Add("stated_orders", *order_.knownOrders_);
    }
  }
};

} // namespace

EvacuationLog::EvacuationLog(ReplicatedControl& aControl,
                             FrameTransport& aFrames,
                             Metrics& aMetrics)
  : control_(aControl)
  , forwarder_(aControl, aFrames)
  , committed_(aMetrics.Counter(std::string(kCounterName),
                                std::string(kCounterText),
                                { { "result", "committed" } }))
  , unproved_(aMetrics.Counter(std::string(kCounterName),
                               std::string(kCounterText),
                               { { "result", "unproved" } }))
  , notCommitted_(aMetrics.Counter(std::string(kCounterName),
                                   std::string(kCounterText),
                                   { { "result", "not_committed" } }))
{
}

boost::asio::awaitable<EvacuationOutcome> EvacuationLog::Commit(
  EvacuationOrder aOrder,
  TimePoint aDeadline)
{
  const TimePoint begin = Now();
  // g++ 12 destroys temporaries within an awaited expression twice.
  auto trial = TryCommit(aOrder, aDeadline);
  const EvacuationOutcome outcome = co_await std::move(trial);
  std::visit(
    OutcomeReport{
      committed_, unproved_, notCommitted_, aOrder, Now() - begin },
    outcome);
  co_return outcome;
}

boost::asio::awaitable<EvacuationOutcome> EvacuationLog::TryCommit(
  EvacuationOrder aOrder,
  TimePoint aDeadline)
{
  auto reading = ReadLocalState(aOrder);
  LocalState state = co_await std::move(reading);
  if (!state.command_) {
    if (!state.admin_) {
      co_return EvacuationUnconfirmed{
        "this instance is not in the control group yet"
      };
    }
    co_return EvacuationUnproved{ state.orders_, *state.admin_ };
  }
  CommandFactory make = [command = *state.command_](const ControlState&) {
    return command;
  };
  auto commit = forwarder_.Commit(std::move(make), aDeadline);
  const absl::Status status = co_await std::move(commit);
  if (status.ok()) {
    co_return EvacuationCommitted{};
  }
  if (KindOf(status) != ErrorKind::Conflict) {
    co_return EvacuationUnconfirmed{ std::string(status.message()) };
  }
  aOrder.knownOrders_ = state.command_->knownOrders_;
  auto waiting = AwaitLaterOrder(std::move(aOrder), aDeadline);
  co_return co_await std::move(waiting);
}

boost::asio::awaitable<EvacuationLog::LocalState> EvacuationLog::ReadLocalState(
  EvacuationOrder aOrder)
{
  auto inspection =
    control_.Inspect([order = std::move(aOrder)](const ConsensusNode& aNode,
                                                 const ControlState& aState) {
      const EvacuationTable& table = aState.Evacuations();
      const GroupMember* self = aNode.CurrentMembership().Find(aNode.Self());
      return LocalState{ table.MakeCommand(order),
                         table.GetRows().orders_,
                         self == nullptr ? std::nullopt
                                         : std::optional(self->admin_) };
    });
  co_return co_await std::move(inspection);
}

boost::asio::awaitable<EvacuationOutcome> EvacuationLog::AwaitLaterOrder(
  EvacuationOrder aOrder,
  TimePoint aDeadline)
{
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
  while (true) {
    auto reading = ReadLocalState(aOrder);
    LocalState state = co_await std::move(reading);
    if (state.orders_ > *aOrder.knownOrders_ && state.admin_) {
      co_return EvacuationUnproved{ state.orders_, *state.admin_ };
    }
    if (Now() + kStatePollInterval >= aDeadline) {
      co_return EvacuationUnconfirmed{
        "this instance lacks an order that was applied first"
      };
    }
    timer.expires_after(kStatePollInterval);
    co_await timer.async_wait(boost::asio::use_awaitable);
  }
}

} // namespace foxtail
