#include "control/OrderService.h"

#include "control/LeaderHint.h"
#include "core/Log.h"

namespace foxtail {
namespace {

/// Operators' tools wait a second for an answer; the rest is for its way.
constexpr milliseconds kQuorumTimeout{ 850 };

NewestDocument NewestOf(const ControlState& aState)
{
  return { aState.Documents().Version(), aState.Documents().Text() };
}

} // namespace

OrderService::OrderService(ReplicatedControl& aControl)
  : control_(aControl)
{
}

boost::asio::awaitable<OrderOutcome> OrderService::Take(
  DocumentVersion aVersion,
  std::string aText)
{
  const size_t bytes = aText.size();
  auto submission = control_.Submit(AdoptDocument{ aVersion, std::move(aText) },
                                    kQuorumTimeout);
  const auto result = co_await std::move(submission);
  if (result.ok()) {
    const auto& change = std::get<ChangeResult>(*result);
    LogLine(LogLevel::Info, "order_taken")
      .Add("version", aVersion)
      .Add("outcome", NameOf(change.outcome_))
      .Add("in_force", change.version_)
      .Add("bytes", bytes);
    co_return OrderTaken{ change.version_,
                          change.outcome_ == ChangeOutcome::Accepted };
  }
  const std::string leader = co_await FindLeader();
  const bool isElsewhere =
    KindOf(result.status()) == ErrorKind::NoQuorum && !leader.empty();
  LogLine(LogLevel::Info, "order_not_taken")
    .Add("version", aVersion)
    .Add("leader", leader)
    .Add("error", result.status());
  if (isElsewhere) {
    co_return OrderElsewhere{ leader };
  }
  co_return OrderUnsure{ std::string(result.status().message()) };
}

boost::asio::awaitable<NewestOutcome> OrderService::ReadNewest()
{
  auto reading = control_.Read(NewestOf, kQuorumTimeout);
  const auto newest = co_await std::move(reading);
  if (newest.ok()) {
    if (newest->version_.Value() == 0) {
      co_return OrderUnsure{ "no document has been accepted yet" };
    }
    co_return *newest;
  }
  const std::string leader = co_await FindLeader();
  if (!leader.empty()) {
    co_return OrderElsewhere{ leader };
  }
  LogLine(LogLevel::Info, "read_not_confirmed").Add("error", newest.status());
  co_return OrderUnsure{ std::string(newest.status().message()) };
}

boost::asio::awaitable<std::string> OrderService::FindLeader()
{
  auto inspection = control_.Inspect(LeaderOf);
  co_return co_await std::move(inspection);
}

} // namespace foxtail
