#include "policy/Announcement.h"

#include <limits>
#include <tuple>

namespace foxtail {
namespace {

constexpr int64_t kMaxShards = 65536;
constexpr int64_t kMaxSlots = 4096;
constexpr int64_t kMaxConnections = 65536;
constexpr int64_t kMaxCounter = std::numeric_limits<int64_t>::max();

auto ContentOf(const Announcement& aAnnouncement)
{
  return std::tie(aAnnouncement.server_,
                  aAnnouncement.service_,
                  aAnnouncement.catalogue_,
                  aAnnouncement.version_,
                  aAnnouncement.shard_,
                  aAnnouncement.shardCount_,
                  aAnnouncement.zone_,
                  aAnnouncement.address_,
                  aAnnouncement.slots_,
                  aAnnouncement.connections_,
                  aAnnouncement.state_);
}

} // namespace

Announcement Announcement::Read(JsonReader& aReader)
{
  Announcement result;
  result.server_ = BackendId(aReader.RequiredString("server"));
  result.incarnation_ = Incarnation(static_cast<uint64_t>(
    aReader.RequiredInteger("incarnation", 0, kMaxCounter)));
  result.sequence_ =
    static_cast<uint64_t>(aReader.RequiredInteger("sequence", 0, kMaxCounter));
  result.service_ = ServiceName(aReader.RequiredString("service"));
  result.catalogue_ = CatalogueName(aReader.RequiredString("catalogue"));
  result.version_ = IndexVersion(static_cast<uint64_t>(
    aReader.RequiredInteger("index_version", 1, kMaxCounter)));
  result.shardCount_ =
    static_cast<uint32_t>(aReader.RequiredInteger("shards", 1, kMaxShards));
  result.shard_ = ShardId(
    static_cast<uint32_t>(aReader.RequiredInteger("shard", 0, kMaxShards)));
  if (result.shard_.Value() >= result.shardCount_) {
    aReader.Fault("shard", "is not below /shards; give 0 to shards - 1");
  }
  result.zone_ = ZoneName(aReader.RequiredString("zone"));
  result.address_ = aReader.RequiredString("address");
  result.slots_ =
    static_cast<uint32_t>(aReader.RequiredInteger("slots", 1, kMaxSlots));
  result.connections_ = static_cast<uint32_t>(
    aReader.RequiredInteger("connections", 1, kMaxConnections));
  result.state_ = aReader.Enum("state", BackendState::Ready);
  return result;
}

bool Announcement::IsNewerThan(const Announcement& aOther) const
{
  return std::tie(incarnation_, sequence_) >
         std::tie(aOther.incarnation_, aOther.sequence_);
}

bool Announcement::IsSameContent(const Announcement& aOther) const
{
  return ContentOf(*this) == ContentOf(aOther);
}

boost::json::value ToJson(const Announcement& aAnnouncement)
{
  return { { "server", aAnnouncement.server_.Value() },
           { "incarnation", aAnnouncement.incarnation_.Value() },
           { "sequence", aAnnouncement.sequence_ },
           { "service", aAnnouncement.service_.Value() },
           { "catalogue", aAnnouncement.catalogue_.Value() },
           { "index_version", aAnnouncement.version_.Value() },
           { "shard", aAnnouncement.shard_.Value() },
           { "shards", aAnnouncement.shardCount_ },
           { "zone", aAnnouncement.zone_.Value() },
           { "address", aAnnouncement.address_ },
           { "slots", aAnnouncement.slots_ },
           { "connections", aAnnouncement.connections_ },
           { "state", std::string(NameOf(aAnnouncement.state_)) } };
}

} // namespace foxtail
