#include "core/Program.h"

#include <cstdio>
#include <cstdlib>
#include <popt.h>

namespace foxtail {
namespace {

constexpr int kUsageExitStatus = 2;

std::vector<poptOption> MakePoptTable(
  const std::vector<CommandOption>& aOptions)
{
  std::vector<poptOption> table;
  int number = 1;
  for (const CommandOption& option : aOptions) {
    poptOption row{};
    row.longName = option.name_;
    row.argInfo = option.value_ != nullptr ? POPT_ARG_STRING : POPT_ARG_NONE;
    row.val = number++;
    row.descrip = option.help_;
    row.argDescrip = option.value_ != nullptr ? "VALUE" : nullptr;
    table.push_back(row);
  }
  const poptOption tail[] = { POPT_AUTOHELP POPT_TABLEEND };
  table.insert(table.end(), std::begin(tail), std::end(tail));
  return table;
}

} // namespace

std::vector<std::string> ParseCommandLine(
  int argc,
  const char** argv,
  const std::vector<CommandOption>& aOptions,
  const char* aUsage)
{
  const std::vector<poptOption> table = MakePoptTable(aOptions);
  poptContext context = poptGetContext(nullptr, argc, argv, table.data(), 0);
  poptSetOtherOptionHelp(context, aUsage);
  int code = 0;
  while ((code = poptGetNextOpt(context)) > 0) {
    const CommandOption& option = aOptions[static_cast<size_t>(code) - 1];
    if (option.value_ == nullptr) {
      *option.flag_ = true;
      continue;
    }
    char* value = poptGetOptArg(context);
    *option.value_ = value != nullptr ? value : "";
    std::free(value);
  }
  if (code < -1) {
    std::fprintf(stderr,
                 "%s: %s; see --help\n",
                 poptBadOption(context, POPT_BADOPTION_NOALIAS),
                 poptStrerror(code));
    std::exit(kUsageExitStatus);
  }
  std::vector<std::string> arguments;
  while (const char* argument = poptGetArg(context)) {
    arguments.emplace_back(argument);
  }
  poptFreeContext(context);
  return arguments;
}

DaemonOptions ParseDaemonCommandLine(int argc, const char** argv)
{
  DaemonOptions options;
  const auto rest = ParseCommandLine(
    argc,
    argv,
    { { "settings", &options.settings_, nullptr, "JSON settings file" },
      { "check",
        nullptr,
        &options.isCheckOnly_,
        "check the settings, print the result and stop" } },
    "--settings FILE [--check]");
  if (options.settings_.empty() || !rest.empty()) {
    std::fprintf(stderr,
                 "give --settings FILE and no other argument; see --help\n");
    std::exit(kUsageExitStatus);
  }
  return options;
}

} // namespace foxtail
