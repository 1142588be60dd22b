#include "ControlMember.h"
#include "core/RandomSource.h"

#include <doctest/doctest.h>
#include <thread>

using namespace foxtail;

namespace {

/// Commits versions 2 to @p aLast of a document and waits until every member
/// has the last one.
void CommitVersions(ControlGroup& aGroup,
                    uint64_t aLast,
                    const std::string& aText)
{
  for (uint64_t version = 2; version <= aLast; ++version) {
    REQUIRE(aGroup.Leader().Commit(version, aText).ok());
  }
  for (const auto& member : aGroup.Members()) {
    REQUIRE(WaitUntil([&] {
      const auto versions = member->NotifiedVersions();
      return !versions.empty() && versions.back() == DocumentVersion(aLast);
    }));
  }
}

} // namespace

// Entry instances that start at the same time would serve with routes, kinds of
// requests and keys that were replaced before the restart.
TEST_CASE("document: a restarted instance publishes no version older than the "
          "newest acknowledged one")
{
  struct Case
  {
    std::string name_;
    std::string text_;
  };
  // Random bytes are not compressed in the log.
  std::string large(16 * 1024, ' ');
  RandomSource random(7);
  for (char& byte : large) {
    byte = static_cast<char>(random.NextBelow(256));
  }
  constexpr uint64_t kLast = 20;
  for (const Case& row : { Case{ "all versions are in the log", "routes" },
                           Case{ "a snapshot replaced the log", large } }) {
    CAPTURE(row.name_);
    ControlGroup group;
    CommitVersions(group, kLast, row.text_);
    group.Restart();
    group.Leader().Start(false);
    // Without a quorum there is no newest version.
    std::this_thread::sleep_for(milliseconds(800));
    CHECK(group.Leader().NotifiedVersions().empty());
    group.Follower(1).Start(false);
    group.Follower(2).Start(false);
    for (const auto& member : group.Members()) {
      REQUIRE(WaitUntil([&] { return !member->NotifiedVersions().empty(); }));
      CHECK(member->NotifiedVersions().front() == DocumentVersion(kLast));
    }
  }
}
