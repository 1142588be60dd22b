#ifndef POLICY_ANNOUNCEMENT_H
#define POLICY_ANNOUNCEMENT_H

#include "core/EnumTable.h"
#include "core/Ids.h"
#include "core/JsonReader.h"

#include <string>

namespace foxtail {

enum class BackendState
{
  /// Accepts requests, but its caches are cold.
  Starting,
  Ready,
  /// Finishes its requests and accepts no new ones.
  Draining,
  /// Has deregistered: remove it at once.
  Gone,
};

template<>
struct EnumTable<BackendState>
{
  static constexpr std::array<EnumName<BackendState>, 4> kRows{ {
    { BackendState::Starting, "starting" },
    { BackendState::Ready, "ready" },
    { BackendState::Draining, "draining" },
    { BackendState::Gone, "gone" },
  } };
};

/// State that a backend server publishes about itself. It serves one shard of
/// one layout of one catalogue for one service.
struct Announcement
{
  BackendId server_;
  Incarnation incarnation_;
  /// Increases with each announcement of one incarnation.
  uint64_t sequence_ = 0;
  ServiceName service_;
  CatalogueName catalogue_;
  IndexVersion version_;
  ShardId shard_;
  /// Shards in the layout; shard_ is less than this.
  uint32_t shardCount_ = 1;
  ZoneName zone_;
  /// IP address and port, such as 127.0.0.1:9000.
  std::string address_;
  /// Requests that it runs at once.
  uint32_t slots_ = 1;
  /// Connections that it accepts.
  uint32_t connections_ = 1;
  BackendState state_ = BackendState::Starting;

  /// Reads one announcement; faults are recorded in the reader.
  static Announcement Read(JsonReader& aReader);

  /// @return whether this announcement was made after @p aOther by the same
  /// server.
  bool IsNewerThan(const Announcement& aOther) const;

  /// @return whether at most sequence and incarnation differ from @p aOther.
  bool IsSameContent(const Announcement& aOther) const;
};

boost::json::value ToJson(const Announcement& aAnnouncement);

} // namespace foxtail

#endif // POLICY_ANNOUNCEMENT_H
