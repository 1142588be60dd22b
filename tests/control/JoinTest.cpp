#include "ControlMember.h"

#include <doctest/doctest.h>
#include <thread>

using namespace foxtail;

TEST_CASE(
  "join: an instance whose seeds do not include the leader is added to the "
  "group")
{
  ControlMember first("control-1", {});
  ControlMember second("control-2", { &first });
  first.Start(true);
  REQUIRE(WaitUntil([&] { return first.IsLeader(); }));
  second.Start(false);
  REQUIRE(WaitUntil([&] { return second.Voters() == 2; }));
  ControlMember third("control-3", { &second });
  third.Start(false);
  CHECK(WaitUntil([&] { return first.Voters() == 3; }));
  CHECK(first.IsLeader());
}

TEST_CASE(
  "join: an instance that is not a member sends join requests to changed "
  "seeds")
{
  ControlMember first("control-1", {});
  ControlMember unreachable("control-9", {});
  first.Start(true);
  REQUIRE(WaitUntil([&] { return first.IsLeader(); }));
  ControlMember second("control-2", { &unreachable });
  second.Start(false);
  std::this_thread::sleep_for(milliseconds(600));
  CHECK(first.Voters() == 1);
  second.SetSeeds({ first.AsSeed() });
  CHECK(WaitUntil([&] { return first.Voters() == 2; }));
}

// A group of one voter, restarted before the others had joined, accepted
// documents on one disk; with that disk they were lost, and the group never
// accepted another.
TEST_CASE("join: a new group accepts nothing before it has all its voters")
{
  auto first = std::make_unique<ControlMember>(
    "control-1", std::vector<const ControlMember*>{});
  const uint16_t port = first->Port();
  first->Start(true);
  REQUIRE(WaitUntil([&] { return first->IsLeader(); }));
  CHECK_FALSE(first->Commit(1).ok());
  first->KeepFolder();
  first.reset();
  ControlMember restarted("control-1", {}, port);
  restarted.Start(false);
  REQUIRE(WaitUntil([&] { return restarted.IsLeader(); }));
  CHECK_FALSE(restarted.Commit(2).ok());
  ControlMember second("control-2", { &restarted });
  second.Start(false);
  REQUIRE(WaitUntil([&] { return restarted.Voters() == 2; }));
  const absl::Status status = restarted.Commit(3);
  CHECK(KindOf(status) == ErrorKind::NoQuorum);
  CHECK(std::string(status.message()).find("2 of its 3 voters") !=
        std::string::npos);
  {
    ControlMember third("control-3", { &restarted });
    third.Start(false);
    REQUIRE(WaitUntil([&] { return restarted.Voters() == 3; }));
    CHECK(restarted.Commit(4).ok());
  }
  // A complete group accepts with a quorum of its voters.
  CHECK(restarted.Commit(5).ok());
}
