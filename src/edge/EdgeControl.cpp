#include "edge/EdgeControl.h"

#include "consensus/FileLogStorage.h"
#include "core/Log.h"
#include "core/RandomSource.h"
#include "forward/QuotaGate.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace foxtail {
namespace {

constexpr seconds kTrafficLogInterval{ 10 };
/// A started instance gives permits from the first check that succeeds.
constexpr milliseconds kContactCheckInterval{ 200 };
/// Time for a quorum to confirm the newest version: several round trips between
/// regions, and below FeedClientSettings::replyTimeout_.
constexpr milliseconds kConfirmTimeout{ 400 };

/// @tparam Instance has the frame endpoint of an instance in endpoint_.
template<typename Instance>
std::vector<std::string> EndpointsOf(const std::vector<Instance>& aInstances)
{
  std::vector<std::string> endpoints;
  endpoints.reserve(aInstances.size());
  for (const Instance& instance : aInstances) {
    endpoints.push_back(instance.endpoint_);
  }
  return endpoints;
}

FeedClientSettings PeerFeedSettings(const EdgeControlSettings& aSettings)
{
  FeedClientSettings settings;
  settings.zones_ = ZoneMap(aSettings.zone_, {});
  settings.isControl_ = true;
  settings.ownEndpoint_ = aSettings.control_.endpoint_;
  settings.seeds_ = EndpointsOf(aSettings.control_.seeds_);
  return settings;
}

} // namespace

EdgeControl::EdgeControl(EdgeControlSettings aSettings,
                         DataFolder aFolder,
                         std::function<void()> aOnFailure,
                         Decoder aDecoder)
  : settings_(std::move(aSettings))
  , workers_(1)
  , frames_(settings_.frames_, workers_)
  , control_(settings_.control_,
             std::move(aFolder),
             std::make_unique<FileLogStorage>(settings_.dataFolder_),
             frames_,
             metrics_)
  , commands_(control_, frames_, metrics_)
  , documents_(control_)
  , departures_(control_, frames_, metrics_)
  , evacuations_(control_, frames_, metrics_)
  , feed_(settings_.zone_, frames_, metrics_, RandomSource::SystemSeed(), Now())
  , servers_(feed_, departures_)
  , peers_(PeerFeedSettings(settings_), frames_, workers_.Context(0), *this)
  , decoder_(std::move(aDecoder))
  , allowances_(settings_.allowance_, frames_, workers_.Context(0), metrics_)
  , seeds_(EndpointsOf(settings_.control_.seeds_))
  , trafficTimer_(workers_.Context(0))
  , contactTimer_(workers_.Context(0))
{
  control_.OnFailure(std::move(aOnFailure));
  control_.OnDocument([this](DocumentVersion aVersion,
                             const std::shared_ptr<const std::string>& aText,
                             bool) {
    feed_.OnDocument(aVersion, aText);
    if (decoder_ != nullptr && aText != nullptr) {
      boost::asio::post(workers_.Context(0), [this, aVersion, aText] {
        SetQuotas(aVersion, *aText);
      });
    }
  });
  feed_.SetLatestVersionReader([this] { return ReadLatestVersion(); });
  control_.OnDeparture([this](const ServerAnnouncement& aDeparture) {
    feed_.OnDeparture(aDeparture, Now());
  });
  control_.OnEvacuations(
    [this](const EvacuatedZones& aZones) { feed_.OnEvacuations(aZones); });
  control_.OnMembership([this](const Membership& aMembership) {
    auto endpoints = EndpointsOf(aMembership.members_);
    boost::asio::post(workers_.Context(0),
                      [this, endpoints] { SetMembers(endpoints); });
    feed_.OnControlInstances(std::move(endpoints));
  });
}

EdgeControl::~EdgeControl()
{
  workers_.Stop();
}

absl::Status EdgeControl::Start()
{
  auto status = control_.Start(settings_.mayBootstrap_);
  if (status.ok()) {
    status = frames_.Start();
  }
  if (!status.ok()) {
    return status;
  }
  peers_.Start(Now());
  ScheduleTrafficLog();
  ScheduleContactCheck();
  workers_.Start();
  LogLine(LogLevel::Info, "started")
    .Add("instance", settings_.instance_)
    .Add("zone", settings_.zone_)
    .Add("founder", settings_.mayBootstrap_)
    .Add("seeds", settings_.control_.seeds_.size());
  return absl::OkStatus();
}

void EdgeControl::OnFeedServers(const ServerDirectory& aDirectory,
                                TimePoint aNow)
{
  feed_.OnPeerServers(aDirectory, aNow);
}

size_t EdgeControl::OnFeedRenewals(const std::vector<FeedRenewal>& aRenewals,
                                   TimePoint aNow)
{
  return feed_.OnPeerRenewals(aRenewals, aNow);
}

uint64_t EdgeControl::ServersDigest()
{
  return feed_.Digest();
}

boost::asio::awaitable<absl::StatusOr<LatestVersion>>
EdgeControl::ReadLatestVersion()
{
  auto reading = control_.Read(
    [](const ControlState& aState) {
      return LatestVersion{ aState.Documents().Version() };
    },
    kConfirmTimeout);
  co_return co_await std::move(reading);
}

void EdgeControl::SetSeeds(std::vector<ControlPeer> aSeeds)
{
  boost::asio::post(workers_.Context(0),
                    [this, endpoints = EndpointsOf(aSeeds)] {
                      seeds_ = endpoints;
                      PollPeers();
                    });
  control_.SetSeeds(std::move(aSeeds));
}

void EdgeControl::SetMembers(std::vector<std::string> aEndpoints)
{
  members_ = std::move(aEndpoints);
  PollPeers();
  std::vector<std::string> others = members_;
  const bool isMember = std::erase(others, settings_.control_.endpoint_) > 0;
  allowances_.SetPeers(others);
  allowances_.Ledger().SetMembers(members_.size(), isMember, Now());
}

void EdgeControl::SetQuotas(DocumentVersion aVersion, const std::string& aText)
{
  const auto document = decoder_(aText);
  if (!document.ok()) {
    LogLine(LogLevel::Error, "document_unreadable")
      .Add("version", aVersion)
      .Add("error", document.status());
    return;
  }
  const auto quotas = QuotasOf(*document);
  allowances_.Ledger().SetLimits(aVersion, quotas, Now());
  LogLine(LogLevel::Info, "quotas_in_force")
    .Add("version", aVersion)
    .Add("teams", quotas.size());
}

void EdgeControl::ScheduleContactCheck()
{
  contactTimer_.expires_after(kContactCheckInterval);
  contactTimer_.async_wait([this](const boost::system::error_code& aError) {
    if (aError) {
      return;
    }
    const TimePoint now = Now();
    const auto live = peers_.Controls(now);
    // This instance counts as one.
    const auto reached =
      1 + std::count_if(live.begin(), live.end(), [&](const auto& aControl) {
        return std::find(members_.begin(), members_.end(), aControl.first) !=
               members_.end();
      });
    if (2 * static_cast<size_t>(reached) > members_.size()) {
      allowances_.Ledger().OnMajorityContact(now);
    }
    ScheduleContactCheck();
  });
}

void EdgeControl::PollPeers()
{
  std::vector<std::string> endpoints = seeds_;
  endpoints.insert(endpoints.end(), members_.begin(), members_.end());
  peers_.SetSeeds(endpoints, Now());
}

void EdgeControl::ScheduleTrafficLog()
{
  trafficTimer_.expires_after(kTrafficLogInterval);
  trafficTimer_.async_wait([this](const boost::system::error_code& aError) {
    if (aError) {
      return;
    }
    LogLine(LogLevel::Info, "traffic")
      .Add("entries", feed_.EntryCount(Now()))
      .Add("consensus_bytes", frames_.BytesSent(FrameKind::Consensus))
      .Add("allowance_bytes",
           frames_.BytesSent(FrameKind::Allowance) +
             frames_.BytesSent(FrameKind::AllowanceReply))
      .Add("feed_bytes", frames_.BytesSent(FrameKind::FeedReply))
      .Add("frames_dropped", frames_.FramesDropped())
      .Add("connections", frames_.OpenConnections());
    ScheduleTrafficLog();
  });
}

void EdgeControl::Stop()
{
  control_.Stop();
  frames_.Stop();
  workers_.Stop();
  LogLine(LogLevel::Info, "stopped").Add("instance", settings_.instance_);
}

} // namespace foxtail
