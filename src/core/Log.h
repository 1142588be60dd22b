#ifndef CORE_LOG_H
#define CORE_LOG_H

#include "core/EnumTable.h"
#include "core/Ids.h"
#include "core/JsonReader.h"

#include <absl/status/status.h>
#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

namespace foxtail {

enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
};

template<>
struct EnumTable<LogLevel>
{
  static constexpr std::array<EnumName<LogLevel>, 4> kRows{ {
    { LogLevel::Debug, "debug" },
    { LogLevel::Info, "info" },
    { LogLevel::Warning, "warning" },
    { LogLevel::Error, "error" },
  } };
};

/// Settings of a program's log.
struct LogSettings
{
  /// Lines below this level are not written.
  LogLevel level_ = LogLevel::Info;
  /// File to append to; empty for standard error, "stdout" for standard output.
  std::string file_;
  /// Lines that may wait for the writer thread; more are dropped and counted.
  size_t queueLines_ = 65536;

  static LogSettings Read(JsonReader& aReader);
};

/// Starts the log's writer thread. Call once, before any LogLine.
absl::Status StartLog(const LogSettings& aSettings, std::string_view aProgram);

/// Writes what is queued and stops the writer thread.
void StopLog();

/// @return the lines dropped because the queue was full.
uint64_t DroppedLogLines();

bool IsLogged(LogLevel aLevel);

/// Builds one JSON log line and queues it when destroyed: the calling thread
/// never waits for the file. Thread safe in that each thread builds its own.
///
///   LogLine(LogLevel::Info, "hedge_sent").Add("request", id).Add("shard", 3);
class LogLine
{
public:
  LogLine(LogLevel aLevel, std::string_view aEvent);
  ~LogLine();
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;

  LogLine& Add(std::string_view aName, std::string_view aValue);
  LogLine& Add(std::string_view aName, const char* aValue)
  {
    return Add(aName, std::string_view(aValue));
  }
  LogLine& Add(std::string_view aName, const std::string& aValue)
  {
    return Add(aName, std::string_view(aValue));
  }
  LogLine& Add(std::string_view aName, double aValue);
  LogLine& Add(std::string_view aName, bool aValue);
  template<std::integral T>
  LogLine& Add(std::string_view aName, T aValue)
  {
    return AddRaw(aName, std::to_string(aValue));
  }
  template<typename Tag, typename Rep>
  LogLine& Add(std::string_view aName, const StrongId<Tag, Rep>& aId)
  {
    return Add(aName, aId.Value());
  }
  LogLine& Add(std::string_view aName, const absl::Status& aStatus);
  /// @param aJson is a whole JSON value, already serialised.
  LogLine& AddRaw(std::string_view aName, std::string_view aJson);

private:
  bool isLogged_;
  LogLevel level_;
  std::string text_;
};

/// Appends @p aText to @p aOut as a JSON string with its quotes.
void AppendJsonString(std::string& aOut, std::string_view aText);

} // namespace foxtail

#endif // CORE_LOG_H
