#ifndef CORE_PROGRAM_H
#define CORE_PROGRAM_H

#include "core/JsonReader.h"
#include "core/Log.h"

#include <absl/status/statusor.h>
#include <boost/json.hpp>
#include <string>
#include <vector>

namespace foxtail {

/// Command-line options that every daemon accepts.
struct DaemonOptions
{
  /// Path of the JSON settings file.
  std::string settings_;
  /// Check the settings, print the result and exit.
  bool isCheckOnly_ = false;
};

/// One option of a program's command line, for ParseCommandLine().
struct CommandOption
{
  const char* name_;
  /// Receives the option's value; null for a flag, which takes no value.
  std::string* value_;
  /// Set to true when the flag is given; used only when value_ is null.
  bool* flag_;
  const char* help_;
};

/// Parses a command line with popt. Prints the help text and exits on --help;
/// prints an error message and exits with status 2 on an invalid option.
///
/// @return the positional arguments.
std::vector<std::string> ParseCommandLine(
  int argc,
  const char** argv,
  const std::vector<CommandOption>& aOptions,
  const char* aUsage);

/// Parses the command line of a daemon; exits as ParseCommandLine() does, and
/// also when --settings is missing or there is a positional argument.
DaemonOptions ParseDaemonCommandLine(int argc, const char** argv);

/// Loads the settings file, reads its members with @p aRead and collects the
/// faults.
///
/// @return the result of @p aRead; NotFound when the file cannot be read, or
/// InvalidSettings with the path and message of each fault.
template<typename Read>
auto LoadSettings(const std::string& aPath, Read&& aRead)
  -> absl::StatusOr<decltype(aRead(std::declval<JsonReader&>()))>
{
  const auto text = ReadFile(aPath);
  if (!text.ok()) {
    return text.status();
  }
  const auto value =
    ParseJson(*text, "settings " + aPath, ErrorKind::InvalidSettings);
  if (!value.ok()) {
    return value.status();
  }
  JsonFaults faults;
  JsonReader reader(*value, "", faults);
  auto settings = aRead(reader);
  reader.Finish();
  if (!faults.IsEmpty()) {
    return faults.ToStatus(ErrorKind::InvalidSettings, "settings " + aPath);
  }
  return settings;
}

} // namespace foxtail

#endif // CORE_PROGRAM_H
