#include "standin/ServerStats.h"

namespace foxtail {
namespace {

boost::json::object CountsToJson(const std::map<std::string, uint32_t>& aCounts)
{
  boost::json::object counts;
  for (const auto& [key, count] : aCounts) {
    counts[key] = count;
  }
  return counts;
}

} // namespace

boost::json::object ServerStats::ToJson() const
{
  boost::json::object refused;
  for (const auto& row : EnumTable<RefusalReason>::kRows) {
    refused[row.name_] = refused_[static_cast<size_t>(row.value_)];
  }
  return { { "received", received_ },
           { "run", run_ },
           { "completed", completed_ },
           { "cancelled", cancelled_ },
           { "stopped", stopped_ },
           { "refused", std::move(refused) },
           { "contract_faults", contractFaults_ },
           { "connections_opened", connectionsOpened_ },
           { "connections_peak", connectionsPeak_ },
           { "over_limit", overLimit_ },
           { "request_path_connects", requestPathConnects_ },
           { "work_after_leaving", workAfterLeaving_ },
           { "work_after_leaving_2s", workAfterLeaving2s_ },
           { "last_work_after_leaving_ms",
             ToMilliseconds(lastWorkAfterLeaving_) },
           { "busy_ms", ToMilliseconds(busy_) },
           { "runs_by_key", CountsToJson(runsByKey_) },
           { "runs_by_token", CountsToJson(runsByToken_) } };
}

} // namespace foxtail
