#include "edge/ServerRegistration.h"

#include "core/Log.h"

namespace foxtail {
namespace {

/// Backend servers wait 1 s for a reply and then call another control instance;
/// 150 ms of it are left for the network.
constexpr milliseconds kCommitTimeout{ 850 };

/// @return whether the log holds the departure of the process that started at
/// @p aStartedAtMs, or of a later one.
bool IsCommitted(const std::optional<ServerRecord>& aRecord,
                 uint64_t aStartedAtMs)
{
  return aRecord.has_value() && aRecord->isDepartureCommitted_ &&
         aRecord->announcement_.startedAtMs_ >= aStartedAtMs;
}

} // namespace

ServerRegistration::ServerRegistration(FeedSource& aFeed,
                                       DepartureLog& aDepartures)
  : feed_(aFeed)
  , departures_(aDepartures)
{
}

boost::asio::awaitable<absl::Status> ServerRegistration::Announce(
  ServerAnnouncement aAnnouncement,
  WallTime aWallNow,
  TimePoint aNow)
{
  if (auto status = Validate(aAnnouncement, aWallNow); !status.ok()) {
    co_return status;
  }
  const auto result = feed_.OnAnnouncement(aAnnouncement, aNow);
  const auto record = feed_.FindServer(aAnnouncement.id_);
  if (result != DirectoryUpdateResult::Renewed) {
    LogLine line(LogLevel::Info, "announcement");
    line.Add("server", aAnnouncement.id_)
      .Add("service", aAnnouncement.service_)
      .Add("address", aAnnouncement.address_)
      .Add("phase", NameOf(aAnnouncement.phase_))
      .Add("started_at_ms", aAnnouncement.startedAtMs_)
      .Add("sequence", aAnnouncement.sequence_)
      .Add("verdict", NameOf(result));
    if (result == DirectoryUpdateResult::Stale && record.has_value()) {
      line.Add("stored_started_at_ms", record->announcement_.startedAtMs_)
        .Add("stored_sequence", record->announcement_.sequence_);
    }
  }
  if (aAnnouncement.phase_ == ServerPhase::Ready ||
      IsCommitted(record, aAnnouncement.startedAtMs_)) {
    co_return absl::OkStatus();
  }
  auto commit = Commit(std::move(aAnnouncement), aNow);
  co_return co_await std::move(commit);
}

boost::asio::awaitable<absl::Status> ServerRegistration::Deregister(
  BackendId aId,
  uint64_t aStartedAtMs,
  WallTime aWallNow,
  TimePoint aNow)
{
  ServerAnnouncement stated;
  stated.id_ = aId;
  stated.startedAtMs_ = aStartedAtMs;
  if (auto status = Validate(stated, aWallNow); !status.ok()) {
    co_return status;
  }
  const auto result = feed_.OnDeregistration(aId, aStartedAtMs, aNow);
  LogLine(LogLevel::Info, "goodbye")
    .Add("server", aId)
    .Add("started_at_ms", aStartedAtMs)
    .Add("verdict", NameOf(result));
  const auto record = feed_.FindServer(aId);
  if (IsCommitted(record, aStartedAtMs)) {
    co_return absl::OkStatus();
  }
  ServerAnnouncement departure;
  if (record.has_value() && record->announcement_.phase_ == ServerPhase::Gone) {
    departure = record->announcement_;
  } else if (aStartedAtMs != 0) {
    // A later process of the same id is registered.
    departure.id_ = std::move(aId);
    departure.phase_ = ServerPhase::Gone;
    departure.startedAtMs_ = aStartedAtMs;
  } else {
    co_return MakeError(
      ErrorKind::NotFound,
      "this control instance has no announcement of the server, and the "
      "deregistration does not state when the server started; send it to "
      "another control instance");
  }
  auto commit = Commit(std::move(departure), aNow);
  co_return co_await std::move(commit);
}

boost::asio::awaitable<absl::Status> ServerRegistration::Commit(
  ServerAnnouncement aDeparture,
  TimePoint aNow)
{
  // g++ 12 destroys temporaries within an awaited expression twice.
  auto commit = departures_.Commit(aDeparture, aNow + kCommitTimeout);
  const absl::Status status = co_await std::move(commit);
  LogLine line(status.ok() ? LogLevel::Info : LogLevel::Warning,
               status.ok() ? "departure_committed" : "departure_unconfirmed");
  line.Add("server", aDeparture.id_)
    .Add("phase", NameOf(aDeparture.phase_))
    .Add("started_at_ms", aDeparture.startedAtMs_)
    .Add("after_ms", ToMilliseconds(Now() - aNow));
  if (!status.ok()) {
    line.Add("error", status);
  }
  co_return status;
}

} // namespace foxtail
