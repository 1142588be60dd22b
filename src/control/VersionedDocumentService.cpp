#include "control/VersionedDocumentService.h"

#include "control/LeaderEndpoints.h"
#include "core/Log.h"

namespace foxtail {
namespace {

/// Operators' tools wait 1 s for a reply; 150 ms of it are left for the
/// network.
constexpr milliseconds kQuorumTimeout{ 850 };

std::optional<LatestDocument> LatestOf(const ControlState& aState)
{
  const DocumentLedger& documents = aState.Documents();
  const auto version = documents.Version();
  return version ? std::optional(LatestDocument{ *version, documents.Text() })
                 : std::nullopt;
}

} // namespace

VersionedDocumentService::VersionedDocumentService(ReplicatedControl& aControl)
  : control_(aControl)
{
}

boost::asio::awaitable<CommitOutcome> VersionedDocumentService::Commit(
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
    co_return DocumentCommitted{ change.version_,
                                 change.outcome_ == ChangeOutcome::Accepted };
  }
  const std::string leader = co_await FindLeader();
  const bool isRedirect =
    KindOf(result.status()) == ErrorKind::NoQuorum && !leader.empty();
  LogLine(LogLevel::Info, "order_not_taken")
    .Add("version", aVersion)
    .Add("leader", leader)
    .Add("error", result.status());
  if (isRedirect) {
    co_return LeaderRedirect{ leader };
  }
  co_return OutcomeUnconfirmed{ std::string(result.status().message()) };
}

boost::asio::awaitable<ReadOutcome> VersionedDocumentService::ReadLatest()
{
  auto reading = control_.Read(LatestOf, kQuorumTimeout);
  const auto latest = co_await std::move(reading);
  if (latest.ok()) {
    if (!latest->has_value()) {
      co_return OutcomeUnconfirmed{ "no document has been accepted yet" };
    }
    co_return **latest;
  }
  const std::string leader = co_await FindLeader();
  if (!leader.empty()) {
    co_return LeaderRedirect{ leader };
  }
  LogLine(LogLevel::Info, "read_not_confirmed").Add("error", latest.status());
  co_return OutcomeUnconfirmed{ std::string(latest.status().message()) };
}

boost::asio::awaitable<std::string> VersionedDocumentService::FindLeader()
{
  auto inspection = control_.Inspect(LeaderAdminEndpoint);
  co_return co_await std::move(inspection);
}

} // namespace foxtail
