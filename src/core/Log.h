#ifndef CORE_LOG_H
#define CORE_LOG_H

#include "core/EnumTable.h"
#include "core/Ids.h"
#include "core/JsonReader.h"

#include <absl/status/status.h>
#include <concepts>
#include <cstdint>
#include <optional>
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
  /// Maximum number of lines queued for the writer thread; further lines are
  /// dropped and counted.
  size_t queueLines_ = 65536;

  static LogSettings Read(JsonReader& aReader);
};

/// Starts the log's writer thread. Call once, before any LogLine is created.
///
/// @param aProgram program name written to each line.
/// @return InvalidSettings when the log file cannot be opened.
absl::Status StartLog(const LogSettings& aSettings, std::string_view aProgram);

/// Writes the queued lines and stops the writer thread.
void StopLog();

/// @return the number of lines dropped because the queue was full.
uint64_t DroppedLogLines();

bool IsLogged(LogLevel aLevel);

/// Builds one JSON log line, which the destructor queues for the writer thread;
/// the calling thread never blocks on file I/O. An object is used by one
/// thread, but several threads may build lines at the same time.
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
  /// Adds null when there is no value.
  template<typename T>
  LogLine& Add(std::string_view aName, const std::optional<T>& aValue)
  {
    return aValue ? Add(aName, *aValue) : AddRaw(aName, "null");
  }
  LogLine& Add(std::string_view aName, const absl::Status& aStatus);
  /// @param aJson a complete JSON value, already serialised.
  LogLine& AddRaw(std::string_view aName, std::string_view aJson);

private:
  bool isLogged_;
  LogLevel level_;
  std::string text_;
};

/// Appends @p aText to @p aOut as a quoted and escaped JSON string.
void AppendJsonString(std::string& aOut, std::string_view aText);

} // namespace foxtail

#endif // CORE_LOG_H
