#ifndef BACKEND_BACKENDSETTINGS_H
#define BACKEND_BACKENDSETTINGS_H

#include "core/JsonReader.h"
#include "core/Time.h"
#include "policy/ReplyLimits.h"

#include <cstddef>
#include <cstdint>

namespace foxtail {

/// Settings of the connections to backend servers.
struct BackendSettings
{
  /// How long opening a connection may take.
  milliseconds connectTimeout_{ 1000 };
  /// How long a connection whose attempt was abandoned waits for the late reply
  /// before it is closed.
  milliseconds drainTimeout_{ 1000 };
  /// Pause after a failed connect; doubles up to the maximum.
  milliseconds reconnectPause_{ 50 };
  milliseconds maxReconnectPause_{ 2000 };
  /// Largest body of a reply, in bytes.
  uint64_t maxReplyBytes_ = 8 * 1024 * 1024;
  /// Memory of the incomplete replies on all workers together.
  ReplyMemorySettings replyMemory_;
  /// Connections kept open to one server at most, whatever its limit.
  uint32_t maxConnections_ = 64;
  /// Attempts that may wait for a connection to one server.
  size_t maxWaiting_ = 64;

  static BackendSettings Read(JsonReader& aReader);
};

} // namespace foxtail

#endif // BACKEND_BACKENDSETTINGS_H
