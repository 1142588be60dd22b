#include "core/FileWatch.h"

#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>

using namespace foxtail;

TEST_CASE(
  "file watch: each change is reported once, a missing file is not a change")
{
  const auto path =
    std::filesystem::temp_directory_path() /
    ("foxtail-watch-" + std::to_string(Now().time_since_epoch().count()));
  const auto write = [&](const char* aText) { std::ofstream(path) << aText; };
  write("first");
  boost::asio::io_context context;
  FileWatch watch(context, path.string(), milliseconds(2));
  int changes = 0;
  watch.Start([&] { ++changes; });
  const auto runUntil = [&](int aChanges) {
    const TimePoint deadline = Now() + seconds(5);
    while (changes < aChanges && Now() < deadline) {
      context.run_one_for(milliseconds(10));
    }
  };
  context.run_for(milliseconds(20));
  CHECK(changes == 0);
  write("second");
  runUntil(1);
  CHECK(changes == 1);
  std::filesystem::remove(path);
  context.run_for(milliseconds(20));
  CHECK(changes == 1);
  write("third");
  // The file may be read while it is still empty, which is a change of its own.
  runUntil(2);
  CHECK(changes >= 2);
  watch.Stop();
  std::filesystem::remove(path);
}
