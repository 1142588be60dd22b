#include "core/Log.h"
#include "core/Program.h"
#include "core/RandomSource.h"
#include "instance/InstanceRuntime.h"
#include "policy/AnnouncementRegistry.h"

#include <algorithm>
#include <cstdio>
#include <malloc.h>
#include <sys/resource.h>
#include <thread>

namespace foxtail {
namespace {

/// What a run of many instances in one process measures.
struct FleetSettings
{
  size_t zones_ = 1;
  size_t instancesPerZone_ = 8;
  /// Backend servers in all; each renews its announcement every second.
  size_t servers_ = 0;
  /// Changes of announcements in all zones, each second.
  double changesPerSecond_ = 0;
  /// New documents each second, of this many bytes.
  double documentsPerSecond_ = 0;
  size_t documentBytes_ = 4096;
  milliseconds warmUp_{ 6000 };
  milliseconds time_{ 10000 };
  /// Instances that are killed, one after the other, to time the notice.
  size_t deaths_ = 0;
  size_t workers_ = 2;

  static FleetSettings Read(JsonReader& aReader);
};

FleetSettings FleetSettings::Read(JsonReader& aReader)
{
  constexpr int64_t kMaxInstances = 2000;
  constexpr int64_t kMaxServers = 100000;
  constexpr double kMaxRate = 10000;
  constexpr milliseconds kLongest{ 600000 };
  FleetSettings settings;
  const auto read = [&](const char* aName, size_t& aValue, int64_t aHigh) {
    aValue = static_cast<size_t>(
      aReader.Integer(aName, static_cast<int64_t>(aValue), 0, aHigh));
  };
  read("zones", settings.zones_, kMaxInstances);
  read("instances_per_zone", settings.instancesPerZone_, kMaxInstances);
  read("servers", settings.servers_, kMaxServers);
  read("document_bytes", settings.documentBytes_, 1 << 20);
  read("deaths", settings.deaths_, kMaxInstances);
  read("workers", settings.workers_, 64);
  settings.changesPerSecond_ =
    aReader.Number("changes_per_s", 0.0, 0.0, kMaxRate);
  settings.documentsPerSecond_ =
    aReader.Number("documents_per_s", 0.0, 0.0, kMaxRate);
  settings.warmUp_ =
    aReader.Millis("warm_up_ms", settings.warmUp_, milliseconds(0), kLongest);
  settings.time_ =
    aReader.Millis("time_ms", settings.time_, milliseconds(1), kLongest);
  return settings;
}

/// A registry as an entry instance has one, without its routing table.
class RegistrySink : public AnnouncementSink
{
public:
  void OnChanged(std::span<const Announcement> aAnnouncements) override
  {
    for (const Announcement& announcement : aAnnouncements) {
      registry_.Apply(announcement, Now());
    }
  }
  void OnRenewed(std::span<const Announcement> aAnnouncements) override
  {
    const TimePoint now = Now();
    for (const Announcement& announcement : aAnnouncements) {
      registry_.RenewFromPeer(announcement, now);
    }
    registry_.Expire(now);
  }
  void OnWithdrawn(std::span<const Withdrawal> aWithdrawals) override
  {
    for (const Withdrawal& withdrawal : aWithdrawals) {
      registry_.Withdraw(withdrawal.server_,
                         withdrawal.incarnation_,
                         withdrawal.sequence_,
                         Now());
    }
  }

  /// @return the time that making a routing table of all servers takes.
  double TableMilliseconds() const
  {
    const TimePoint start = Now();
    const auto table = registry_.MakeTable();
    return ToMilliseconds(Now() - start);
  }

private:
  AnnouncementRegistry registry_{ {} };
};

/// One instance of the fleet. All run their timers on the workers of the pool
/// that they were given.
class FleetNode
{
public:
  FleetNode(const InstanceRuntimeSettings& aSettings, WorkerPool& aWorkers)
    : zone_(aSettings.zone_)
    , name_(aSettings.instance_)
    , document_(std::make_shared<const Document>())
    , runtime_(aSettings, aWorkers, document_)
  {
    runtime_.SetAnnouncementSink(&sink_);
  }

  absl::Status Start() { return runtime_.Start(); }
  InstanceRuntime& Runtime() { return runtime_; }
  const RegistrySink& Sink() const { return sink_; }
  const ZoneName& Zone() const { return zone_; }
  const InstanceId& Name() const { return name_; }
  bool isUp_ = true;

private:
  ZoneName zone_;
  InstanceId name_;
  RcuCell<Document> document_;
  RegistrySink sink_;
  InstanceRuntime runtime_;
};

/// One stand-in for a backend server's announcements.
struct FleetServer
{
  Announcement announcement_;
  size_t hearer_ = 0;
};

struct Usage
{
  double cpuSeconds_ = 0;
  uint64_t bytesSent_ = 0;
  uint64_t bytesReceived_ = 0;
};

/// Starts the instances, drives them, and prints what they used.
class Fleet
{
public:
  explicit Fleet(FleetSettings aSettings)
    : settings_(aSettings)
  {
    for (size_t i = 0; i < settings_.workers_; ++i) {
      pools_.push_back(std::make_unique<WorkerPool>(1));
    }
  }

  ~Fleet()
  {
    for (auto& node : nodes_) {
      node->Runtime().Transport().Stop();
    }
    for (auto& pool : pools_) {
      pool->Stop();
    }
  }

  absl::Status Start();
  void Run();

private:
  size_t Count() const
  {
    return settings_.zones_ * settings_.instancesPerZone_;
  }
  void AddServers();
  void Drive(milliseconds aTime);
  void AnnounceSome(size_t aStep, size_t aSteps);
  void ChangeOne();
  void OfferDocument();
  bool IsSettled() const;
  std::vector<double> MeasureDeaths();
  Usage Measure() const;
  static size_t UsedBytes();

  FleetSettings settings_;
  std::vector<std::unique_ptr<WorkerPool>> pools_;
  std::vector<std::unique_ptr<FleetNode>> nodes_;
  std::vector<FleetServer> servers_;
  RandomSource random_{ 1 };
  uint64_t documentVersion_ = 0;
  size_t bytesBefore_ = 0;
};

absl::Status Fleet::Start()
{
  bytesBefore_ = UsedBytes();
  std::vector<std::string> seeds;
  for (size_t i = 0; i < Count(); ++i) {
    InstanceRuntimeSettings settings;
    settings.instance_ = InstanceId("entry-" + std::to_string(i));
    settings.zone_ =
      ZoneName("zone-" + std::to_string(i / settings_.instancesPerZone_));
    settings.transport_.deploymentKey_ = "key of the stand-in fleet";
    settings.membership_.seeds_ = seeds;
    WorkerPool& pool = *pools_[i % pools_.size()];
    nodes_.push_back(std::make_unique<FleetNode>(settings, pool));
    if (auto status = nodes_.back()->Start(); !status.ok()) {
      return status;
    }
    // The first instance of each zone is a seed.
    if (i % settings_.instancesPerZone_ == 0) {
      seeds.push_back(nodes_.back()->Runtime().Endpoint());
    }
  }
  AddServers();
  for (auto& pool : pools_) {
    pool->Start();
  }
  return absl::OkStatus();
}

void Fleet::AddServers()
{
  constexpr uint32_t kShards = 87;
  for (size_t i = 0; i < settings_.servers_; ++i) {
    FleetServer server;
    server.hearer_ = i % Count();
    Announcement& announcement = server.announcement_;
    announcement.server_ = BackendId("backend-" + std::to_string(i));
    announcement.incarnation_ = Incarnation(1764825600);
    announcement.service_ = ServiceName("service-" + std::to_string(i / 200));
    announcement.catalogue_ = CatalogueName("catalogue");
    announcement.version_ = IndexVersion(42);
    announcement.shardCount_ = kShards;
    announcement.shard_ = ShardId(static_cast<uint32_t>(i % kShards));
    announcement.zone_ = nodes_[server.hearer_]->Zone();
    announcement.address_ = "10.0.0.1:9000";
    announcement.connections_ = 30;
    announcement.state_ = BackendState::Ready;
    servers_.push_back(std::move(server));
  }
}

void Fleet::AnnounceSome(size_t aStep, size_t aSteps)
{
  for (size_t i = aStep; i < servers_.size(); i += aSteps) {
    FleetServer& server = servers_[i];
    ++server.announcement_.sequence_;
    if (nodes_[server.hearer_]->isUp_) {
      nodes_[server.hearer_]->Runtime().OnDirectAnnouncement(
        server.announcement_);
    }
  }
}

void Fleet::ChangeOne()
{
  if (servers_.empty()) {
    return;
  }
  FleetServer& server = servers_[random_.NextBelow(servers_.size())];
  server.announcement_.version_ =
    IndexVersion(server.announcement_.version_.Value() + 1);
  ++server.announcement_.sequence_;
  nodes_[server.hearer_]->Runtime().OnDirectAnnouncement(server.announcement_);
}

void Fleet::OfferDocument()
{
  // A tree from one instance, as from a control instance's push.
  std::string text =
    R"({"teams":[{"name":"t"}],"services":[{"name":"s","team":"t",)"
    R"("kind":"query","catalogues":["c"]}]})";
  text.append(settings_.documentBytes_ > text.size()
                ? settings_.documentBytes_ - text.size()
                : 0,
              ' ');
  DocumentSpreadMessage message;
  message.document_ = { DocumentVersion(++documentVersion_), std::move(text) };
  Frame frame;
  frame.kind_ = FrameKind::DocumentSpread;
  frame.payload_ = EncodeDocumentSpread(message);
  const size_t root = random_.NextBelow(nodes_.size());
  auto& transport = nodes_[root]->Runtime().Transport();
  transport.Send(
    { boost::asio::ip::make_address("127.0.0.1"), transport.Port() },
    std::move(frame));
}

void Fleet::Drive(milliseconds aTime)
{
  constexpr milliseconds kStep{ 50 };
  constexpr size_t kSteps = 20;
  const TimePoint end = Now() + aTime;
  TimePoint next = Now();
  double changes = 0;
  double documents = 0;
  for (size_t step = 0; Now() < end; ++step) {
    AnnounceSome(step % kSteps, kSteps);
    const double seconds = ToMilliseconds(kStep) / 1000;
    for (changes += settings_.changesPerSecond_ * seconds; changes >= 1;
         --changes) {
      ChangeOne();
    }
    for (documents += settings_.documentsPerSecond_ * seconds; documents >= 1;
         --documents) {
      OfferDocument();
    }
    next += kStep;
    std::this_thread::sleep_until(next);
  }
}

bool Fleet::IsSettled() const
{
  size_t up = 0;
  for (const auto& node : nodes_) {
    up += node->isUp_ ? 1 : 0;
  }
  return std::all_of(nodes_.begin(), nodes_.end(), [&](const auto& aNode) {
    return !aNode->isUp_ || aNode->Runtime().LiveEntryCount() == up;
  });
}

std::vector<double> Fleet::MeasureDeaths()
{
  constexpr seconds kLongest{ 30 };
  std::vector<double> times;
  for (size_t i = 0; i < settings_.deaths_ && i + 2 < nodes_.size(); ++i) {
    FleetNode& victim = *nodes_[nodes_.size() - 1 - i];
    victim.isUp_ = false;
    const TimePoint start = Now();
    victim.Runtime().Transport().Stop();
    while (!IsSettled() && Now() - start < kLongest) {
      std::this_thread::sleep_for(milliseconds(5));
    }
    times.push_back(ToMilliseconds(Now() - start) / 1000);
  }
  std::sort(times.begin(), times.end());
  return times;
}

Usage Fleet::Measure() const
{
  Usage usage;
  rusage resources{};
  getrusage(RUSAGE_SELF, &resources);
  const auto secondsOf = [](const timeval& aTime) {
    constexpr double kMicroseconds = 1e6;
    return static_cast<double>(aTime.tv_sec) +
           static_cast<double>(aTime.tv_usec) / kMicroseconds;
  };
  usage.cpuSeconds_ =
    secondsOf(resources.ru_utime) + secondsOf(resources.ru_stime);
  for (const auto& node : nodes_) {
    for (const auto& row : EnumTable<FrameKind>::kRows) {
      usage.bytesSent_ += node->Runtime().Transport().BytesSent(row.value_);
      usage.bytesReceived_ +=
        node->Runtime().Transport().BytesReceived(row.value_);
    }
  }
  return usage;
}

size_t Fleet::UsedBytes()
{
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

void Fleet::Run()
{
  const TimePoint start = Now();
  while (!IsSettled() && Now() - start < settings_.warmUp_ * 4) {
    Drive(milliseconds(100));
  }
  const double settledSeconds = ToMilliseconds(Now() - start) / 1000;
  Drive(settings_.warmUp_);
  const Usage before = Measure();
  const TimePoint from = Now();
  Drive(settings_.time_);
  const double elapsed = ToMilliseconds(Now() - from) / 1000;
  const Usage after = Measure();
  const auto count = static_cast<double>(nodes_.size());
  size_t inForce = 0;
  for (const auto& node : nodes_) {
    inForce +=
      node->Runtime().Documents().Version().Value() == documentVersion_ ? 1 : 0;
  }
  boost::json::object result{
    { "instances", nodes_.size() },
    { "zones", settings_.zones_ },
    { "servers", settings_.servers_ },
    { "is_settled", IsSettled() },
    { "settled_s", settledSeconds },
    { "sent_bytes_per_s",
      static_cast<double>(after.bytesSent_ - before.bytesSent_) / elapsed /
        count },
    { "received_bytes_per_s",
      static_cast<double>(after.bytesReceived_ - before.bytesReceived_) /
        elapsed / count },
    { "core_percent",
      100 * (after.cpuSeconds_ - before.cpuSeconds_) / elapsed / count },
    { "memory_kb",
      static_cast<double>(UsedBytes() - bytesBefore_) / 1024 / count },
    { "documents_in_force_percent",
      100.0 * static_cast<double>(inForce) / count },
  };
  // The workers rest, so that the registry may be read here.
  const std::vector<double> notices = MeasureDeaths();
  for (auto& pool : pools_) {
    pool->Stop();
  }
  result["table_ms"] = nodes_.front()->Sink().TableMilliseconds();
  boost::json::array deaths;
  for (const double time : notices) {
    deaths.emplace_back(time);
  }
  result["notice_s"] = std::move(deaths);
  std::printf("%s\n", boost::json::serialize(result).c_str());
}

int Run(int argc, const char** argv)
{
  const DaemonOptions options = ParseDaemonCommandLine(argc, argv);
  const auto settings = LoadSettings(options.settings_, FleetSettings::Read);
  if (!settings.ok()) {
    std::fprintf(
      stderr, "%s\n", std::string(settings.status().message()).c_str());
    return 1;
  }
  LogSettings log;
  log.level_ = LogLevel::Error;
  if (const auto status = StartLog(log, "foxtail-fleet"); !status.ok()) {
    std::fprintf(stderr, "%s\n", std::string(status.message()).c_str());
    return 1;
  }
  int code = 0;
  {
    Fleet fleet(*settings);
    if (const auto status = fleet.Start(); !status.ok()) {
      std::fprintf(stderr, "%s\n", std::string(status.message()).c_str());
      code = 1;
    } else {
      fleet.Run();
    }
  }
  StopLog();
  return code;
}

} // namespace
} // namespace foxtail

int main(int argc, const char** argv)
{
  return foxtail::Run(argc, argv);
}
