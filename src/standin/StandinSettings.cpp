#include "standin/StandinSettings.h"

namespace foxtail {
namespace {

constexpr int64_t kMaxVersion = int64_t{ 1 } << 53;
constexpr int64_t kMaxShards = 4096;
constexpr int64_t kMaxReplicas = 26;
constexpr int64_t kMaxSlots = 4096;
constexpr int64_t kMaxQueue = 1000000;
constexpr int64_t kMaxConnections = 100000;
constexpr int64_t kMaxPadding = 16 * 1024 * 1024;
constexpr int64_t kMaxPort = 65535;
constexpr size_t kMaxGroups = 1000;
constexpr size_t kMaxTargets = 1000;
constexpr size_t kMaxZones = 64;
constexpr milliseconds kLongest{ 600000 };
constexpr uint16_t kDefaultControlPort = 7900;

uint32_t ReadCount(JsonReader& aReader,
                   std::string_view aName,
                   uint32_t aDefault,
                   int64_t aLow,
                   int64_t aHigh)
{
  return static_cast<uint32_t>(aReader.Integer(aName, aDefault, aLow, aHigh));
}

} // namespace

GroupSettings GroupSettings::Read(JsonReader& aReader)
{
  GroupSettings group;
  group.name_ = aReader.RequiredString("name");
  group.service_ = aReader.RequiredString("service");
  group.catalogue_ = aReader.RequiredString("catalogue");
  group.version_ =
    static_cast<uint64_t>(aReader.Integer("version", 1, 0, kMaxVersion));
  group.shards_ = ReadCount(aReader, "shards", group.shards_, 1, kMaxShards);
  group.replicas_ =
    ReadCount(aReader, "replicas", group.replicas_, 1, kMaxReplicas);
  group.zones_ = aReader.Strings("zones", kMaxZones);
  if (group.zones_.empty()) {
    aReader.Fault("zones", "is empty; name at least one availability zone");
  }
  group.slots_ = ReadCount(aReader, "slots", group.slots_, 1, kMaxSlots);
  group.queue_ = ReadCount(aReader, "queue", group.queue_, 0, kMaxQueue);
  group.connections_ =
    ReadCount(aReader, "connections", group.connections_, 1, kMaxConnections);
  group.connectCost_ =
    aReader.Millis("connect_ms", group.connectCost_, milliseconds(0), kLongest);
  aReader.Object("service_time", [&](JsonReader& aMember) {
    group.serviceTime_ = ServiceTimeSettings::Read(aMember);
  });
  group.coldTime_ =
    aReader.Millis("cold_ms", group.coldTime_, milliseconds(0), kLongest);
  group.coldFactor_ = aReader.Number("cold_factor", group.coldFactor_, 1, 1000);
  group.paddingBytes_ =
    ReadCount(aReader, "padding_bytes", group.paddingBytes_, 0, kMaxPadding);
  group.entries_ = aReader.String("entries", "");
  group.isRecordingTokens_ = aReader.Bool("record_tokens", false);
  return group;
}

AnnounceTarget AnnounceTarget::Read(JsonReader& aReader)
{
  AnnounceTarget target;
  target.zone_ = aReader.RequiredString("zone");
  target.address_ = aReader.RequiredString("platform");
  return target;
}

StandinSettings StandinSettings::Read(JsonReader& aReader)
{
  StandinSettings settings;
  aReader.Object("log", [&](JsonReader& aMember) {
    settings.log_ = LogSettings::Read(aMember);
  });
  settings.workers_ = ReadCount(aReader, "workers", settings.workers_, 1, 64);
  settings.seed_ =
    static_cast<uint64_t>(aReader.Integer("seed", 1, 0, kMaxVersion));
  settings.address_ = aReader.String("address", settings.address_);
  settings.basePort_ =
    static_cast<uint16_t>(aReader.Integer("base_port", 0, 0, kMaxPort));
  settings.control_.port_ = kDefaultControlPort;
  aReader.Object("control", [&](JsonReader& aMember) {
    settings.control_ = HttpServerSettings::Read(aMember, kDefaultControlPort);
  });
  aReader.Objects("announce_to", kMaxTargets, [&](JsonReader& aMember) {
    settings.announceTo_.push_back(AnnounceTarget::Read(aMember));
  });
  settings.isAnnouncedToAll_ = aReader.Bool("announce_to_all", false);
  settings.isRecordingTokens_ = aReader.Bool("record_tokens", false);
  aReader.Objects("groups", kMaxGroups, [&](JsonReader& aMember) {
    GroupSettings group = GroupSettings::Read(aMember);
    group.isRecordingTokens_ |= settings.isRecordingTokens_;
    settings.groups_.push_back(std::move(group));
  });
  return settings;
}

} // namespace foxtail
