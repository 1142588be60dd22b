#include "GroupExplorer.h"

#include <cstdlib>
#include <doctest/doctest.h>

using namespace foxtail;

namespace {

constexpr uint64_t kFirstSeed = 1;

/// @return the number of seeds to run: FOXTAIL_SEEDS when it is set, otherwise
/// @p aDefault.
uint64_t SeedCount(uint64_t aDefault)
{
  const char* text = std::getenv("FOXTAIL_SEEDS");
  return text != nullptr ? std::strtoull(text, nullptr, 10) : aDefault;
}

} // namespace

TEST_CASE("invariants hold in seeded random interleavings")
{
  ExplorerReport total;
  for (const size_t members : { 3, 5 }) {
    const uint64_t seeds = SeedCount(300);
    for (uint64_t seed = kFirstSeed; seed < kFirstSeed + seeds; ++seed) {
      ExplorerSettings settings;
      settings.seed_ = seed;
      settings.members_ = members;
      const ExplorerReport report = GroupExplorer(settings).Run();
      CAPTURE(seed);
      CAPTURE(members);
      CHECK(report.violation_ == "");
      total.elections_ += report.elections_;
      total.commits_ += report.commits_;
      total.reads_ += report.reads_;
      total.wipes_ += report.wipes_;
      total.membershipChanges_ += report.membershipChanges_;
      total.installs_ += report.installs_;
    }
  }
  // The interleavings must include the events that the invariants are about.
  MESSAGE("elections " << total.elections_ << ", commits " << total.commits_
                       << ", reads " << total.reads_ << ", lost disks "
                       << total.wipes_ << ", membership changes "
                       << total.membershipChanges_ << ", snapshots installed "
                       << total.installs_);
  CHECK(total.elections_ > 0);
  CHECK(total.reads_ > 0);
  CHECK(total.wipes_ > 0);
  CHECK(total.membershipChanges_ > 0);
  CHECK(total.installs_ > 0);
}

TEST_CASE("invariants hold while learners replace lost voters")
{
  size_t changes = 0;
  size_t wipes = 0;
  const uint64_t seeds = SeedCount(300);
  for (uint64_t seed = kFirstSeed; seed < kFirstSeed + seeds; ++seed) {
    ExplorerSettings settings;
    settings.seed_ = seed;
    settings.members_ = 5;
    settings.voters_ = 3;
    const ExplorerReport report = GroupExplorer(settings).Run();
    CAPTURE(seed);
    CHECK(report.violation_ == "");
    changes += report.membershipChanges_;
    wipes += report.wipes_;
  }
  MESSAGE("membership changes " << changes << ", lost disks " << wipes);
  CHECK(changes > 0);
  CHECK(wipes > 0);
}

TEST_CASE("the explorer detects injected faults")
{
  struct Row
  {
    const char* name_;
    InjectedFault fault_;
    bool wipedKeepsIdentity_;
    size_t members_;
  };
  const Row rows[] = {
    { "votes twice in a term", InjectedFault::VoteTwice, false, 3 },
    { "sends before its writes are synced",
      InjectedFault::SendBeforeSync,
      false,
      3 },
    { "votes for a log that is not up to date",
      InjectedFault::IgnoreCandidateLog,
      false,
      3 },
    { "confirms reads without a quorum",
      InjectedFault::ReadWithoutQuorum,
      false,
      3 },
    { "a wiped member votes under its old identity",
      InjectedFault::None,
      true,
      3 },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    const uint64_t seeds = 3000;
    uint64_t found = 0;
    std::string violation;
    for (uint64_t seed = 1; seed <= seeds && found == 0; ++seed) {
      ExplorerSettings settings;
      settings.seed_ = seed;
      settings.members_ = row.members_;
      settings.fault_ = row.fault_;
      settings.wipedKeepsIdentity_ = row.wipedKeepsIdentity_;
      violation = GroupExplorer(settings).Run().violation_;
      found = violation.empty() ? 0 : seed;
    }
    MESSAGE(std::string(row.name_) << ": seed " << found << ": " << violation);
    CHECK(found != 0);
  }
}
