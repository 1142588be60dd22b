#ifndef STANDIN_STANDINSETTINGS_H
#define STANDIN_STANDINSETTINGS_H

#include "core/JsonReader.h"
#include "core/Log.h"
#include "core/Time.h"
#include "http/HttpServer.h"
#include "standin/ServiceTime.h"

#include <cstdint>
#include <string>
#include <vector>

namespace foxtail {

/// A group of stand-in servers: every replica of every shard of one catalogue
/// of one service.
struct GroupSettings
{
  /// Server names are NAME-SHARD-REPLICA, such as packets-3-a.
  std::string name_;
  std::string service_;
  std::string catalogue_;
  /// Index version that the servers begin with.
  uint64_t version_ = 1;
  uint32_t shards_ = 1;
  uint32_t replicas_ = 1;
  /// Zones of the replicas in turn: replica a is in the first.
  std::vector<std::string> zones_;
  /// Requests that one server runs at once.
  uint32_t slots_ = 3;
  /// Requests that wait for a slot; more are shed.
  uint32_t queue_ = 16;
  /// Connections that one server accepts; more are closed at once.
  uint32_t connections_ = 30;
  /// Time that a new connection takes before its first request is read.
  milliseconds connectCost_{ 0 };
  ServiceTimeSettings serviceTime_;
  /// Time a server is cold after its start; 0 for none.
  milliseconds coldTime_{ 0 };
  /// Service time of a cold server, relative to a warm one.
  double coldFactor_ = 4;
  /// Bytes of padding added to each body.
  uint32_t paddingBytes_ = 0;
  /// File with a JSON array of the catalogue's entries; empty for none.
  std::string entries_;
  /// Counts how often each request token began in a slot. For short runs: the
  /// counts are kept until a reset.
  bool isRecordingTokens_ = false;

  static GroupSettings Read(JsonReader& aReader);
};

/// An entry instance to announce to.
struct AnnounceTarget
{
  std::string zone_;
  /// IP number and port of its platform listener.
  std::string address_;

  static AnnounceTarget Read(JsonReader& aReader);
};

/// Settings of one stand-in process.
struct StandinSettings
{
  LogSettings log_;
  uint32_t workers_ = 4;
  uint64_t seed_ = 1;
  /// Address of every server, an IP number.
  std::string address_ = "127.0.0.1";
  /// Port of the first server, the next ones follow; 0 lets the system choose.
  uint16_t basePort_ = 0;
  /// Listener of the control interface.
  HttpServerSettings control_;
  std::vector<AnnounceTarget> announceTo_;
  /// Sets record_tokens in every group.
  bool isRecordingTokens_ = false;
  /// Every server tells every entry instance of its zone, not just one.
  bool isAnnouncedToAll_ = false;
  std::vector<GroupSettings> groups_;

  static StandinSettings Read(JsonReader& aReader);
};

} // namespace foxtail

#endif // STANDIN_STANDINSETTINGS_H
