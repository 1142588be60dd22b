#include "backend/BackendSettings.h"

namespace foxtail {

BackendSettings BackendSettings::Read(JsonReader& aReader)
{
  constexpr milliseconds kShortest{ 1 };
  constexpr milliseconds kLongest{ 60000 };
  constexpr int64_t kMaxBytes = 256 * 1024 * 1024;
  constexpr int64_t kMaxCount = 65536;
  BackendSettings settings;
  const auto millis = [&](std::string_view aName, milliseconds& aTarget) {
    aTarget = aReader.Millis(aName, aTarget, kShortest, kLongest);
  };
  millis("connect_timeout_ms", settings.connectTimeout_);
  millis("drain_timeout_ms", settings.drainTimeout_);
  millis("reconnect_pause_ms", settings.reconnectPause_);
  millis("max_reconnect_pause_ms", settings.maxReconnectPause_);
  settings.maxReplyBytes_ = static_cast<uint64_t>(
    aReader.Integer("max_reply_bytes",
                    static_cast<int64_t>(settings.maxReplyBytes_),
                    1024,
                    kMaxBytes));
  settings.replyMemory_.sharedBytes_ = static_cast<size_t>(
    aReader.Integer("reply_memory_bytes",
                    static_cast<int64_t>(settings.replyMemory_.sharedBytes_),
                    0,
                    kMaxBytes));
  settings.maxConnections_ = static_cast<uint32_t>(
    aReader.Integer("max_connections", settings.maxConnections_, 1, kMaxCount));
  settings.maxWaiting_ = static_cast<size_t>(aReader.Integer(
    "max_waiting", static_cast<int64_t>(settings.maxWaiting_), 0, kMaxCount));
  return settings;
}

} // namespace foxtail
