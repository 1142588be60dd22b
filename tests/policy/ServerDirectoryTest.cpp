#include "policy/ServerDirectory.h"

#include <doctest/doctest.h>

using namespace foxtail;

namespace {

const TimePoint kStart{ seconds(1000) };

ServerAnnouncement Announce(const char* aId,
                            const char* aAddress,
                            uint64_t aStartedAt,
                            uint64_t aSequence,
                            ServerPhase aPhase = ServerPhase::Ready)
{
  ServerAnnouncement announcement;
  announcement.id_ = BackendId(aId);
  announcement.service_ = ServiceName("proofs");
  announcement.address_ = aAddress;
  announcement.phase_ = aPhase;
  announcement.startedAtMs_ = aStartedAt;
  announcement.sequence_ = aSequence;
  return announcement;
}

ServerPhase PhaseOf(const ServerDirectory& aDirectory, const char* aId)
{
  const ServerRecord* row = aDirectory.Find(BackendId(aId));
  return row == nullptr ? ServerPhase::Gone : row->announcement_.phase_;
}

} // namespace

TEST_CASE("directory: what brings a server back and what does not")
{
  struct Row
  {
    const char* name_;
    std::vector<ServerAnnouncement> heard_;
    DirectoryUpdateResult last_;
    ServerPhase phaseOfA_;
  };
  const Row rows[] = {
    { "renewed",
      { Announce("a", "1:1", 10, 1), Announce("a", "1:1", 10, 2) },
      DirectoryUpdateResult::Renewed,
      ServerPhase::Ready },
    { "late, with a lower sequence",
      { Announce("a", "1:1", 10, 5, ServerPhase::Draining),
        Announce("a", "1:1", 10, 4) },
      DirectoryUpdateResult::Stale,
      ServerPhase::Draining },
    { "a restart under the same id counts anew",
      { Announce("a", "1:1", 10, 50), Announce("a", "1:1", 20, 1) },
      DirectoryUpdateResult::Changed,
      ServerPhase::Ready },
    { "late, of an earlier start",
      { Announce("a", "1:1", 20, 1, ServerPhase::Draining),
        Announce("a", "1:1", 10, 50) },
      DirectoryUpdateResult::Stale,
      ServerPhase::Draining },
    { "another server has the address now",
      { Announce("a", "1:1", 10, 1), Announce("b", "1:1", 20, 1) },
      DirectoryUpdateResult::Changed,
      ServerPhase::Gone },
    { "late, after another server got the address",
      { Announce("a", "1:1", 10, 1),
        Announce("b", "1:1", 20, 1),
        Announce("a", "1:1", 10, 2) },
      DirectoryUpdateResult::Stale,
      ServerPhase::Gone },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    ServerDirectory directory;
    DirectoryUpdateResult verdict = DirectoryUpdateResult::Stale;
    for (const ServerAnnouncement& heard : row.heard_) {
      verdict = directory.Apply(heard, kStart);
    }
    CHECK(verdict == row.last_);
    CHECK(PhaseOf(directory, "a") == row.phaseOfA_);
  }
}

TEST_CASE("directory: a goodbye is final for its start, not for the id")
{
  ServerDirectory directory;
  directory.Apply(Announce("a", "1:1", 10, 5), kStart);
  CHECK(directory.Deregister(BackendId("a"), 0, kStart) ==
        DirectoryUpdateResult::Changed);
  CHECK(directory.Apply(Announce("a", "1:1", 10, 6), kStart) ==
        DirectoryUpdateResult::Stale);
  CHECK(PhaseOf(directory, "a") == ServerPhase::Gone);
  CHECK(directory.Apply(Announce("a", "1:1", 20, 1), kStart) ==
        DirectoryUpdateResult::Changed);
  CHECK(PhaseOf(directory, "a") == ServerPhase::Ready);
  SUBCASE("a late goodbye of the earlier start changes nothing")
  {
    CHECK(directory.Deregister(BackendId("a"), 10, kStart) ==
          DirectoryUpdateResult::Stale);
    CHECK(PhaseOf(directory, "a") == ServerPhase::Ready);
  }
}

TEST_CASE("directory: revisions tell changes from renewals")
{
  ServerDirectory directory;
  directory.Apply(Announce("a", "1:1", 10, 1), kStart);
  const uint64_t changed = directory.ChangeRevision();
  directory.Apply(Announce("a", "1:1", 10, 2), kStart + seconds(1));
  CHECK(directory.ChangeRevision() == changed);
  CHECK(directory.Revision() > changed);
  directory.Apply(Announce("a", "1:1", 10, 3, ServerPhase::Draining),
                  kStart + seconds(2));
  CHECK(directory.ChangeRevision() == directory.Revision());
}

TEST_CASE("directory: a server that stays silent is forgotten at last")
{
  ServerDirectory directory;
  directory.Apply(Announce("a", "1:1", 10, 1), kStart);
  CHECK_FALSE(directory.RemoveExpired(kStart + ServerDirectory::kExpireAfter));
  directory.Renew(BackendId("a"), 2, kStart + seconds(30));
  CHECK_FALSE(directory.RemoveExpired(kStart + ServerDirectory::kExpireAfter +
                                      seconds(1)));
  CHECK(directory.RemoveExpired(kStart + ServerDirectory::kExpireAfter +
                                seconds(31)));
  CHECK(directory.Rows().empty());
}

TEST_CASE("directory: a goodbye counts whoever heard the latest announcement")
{
  // One instance hears the goodbye, another one heard later announcements.
  ServerDirectory elsewhere;
  elsewhere.Apply(Announce("a", "1:1", 10, 5), kStart);
  elsewhere.Deregister(BackendId("a"), 10, kStart);
  ServerDirectory directory;
  directory.Apply(Announce("a", "1:1", 10, 9), kStart);
  CHECK(directory.Apply(elsewhere.Find(BackendId("a"))->announcement_,
                        kStart) == DirectoryUpdateResult::Changed);
  CHECK(PhaseOf(directory, "a") == ServerPhase::Gone);
}

TEST_CASE("directory: a goodbye of a server that was never heard is kept")
{
  ServerDirectory directory;
  CHECK(directory.Deregister(BackendId("a"), 10, kStart) ==
        DirectoryUpdateResult::Changed);
  REQUIRE(directory.Find(BackendId("a")) != nullptr);
  CHECK(directory.Apply(Announce("a", "1:1", 10, 3), kStart) ==
        DirectoryUpdateResult::Stale);
  SUBCASE("another instance that knew the server takes it")
  {
    ServerDirectory other;
    other.Apply(Announce("a", "1:1", 10, 3), kStart);
    CHECK(other.Apply(directory.Find(BackendId("a"))->announcement_, kStart) ==
          DirectoryUpdateResult::Changed);
    CHECK(PhaseOf(other, "a") == ServerPhase::Gone);
    // A second telling of the same goodbye is no news.
    CHECK(other.Deregister(BackendId("a"), 10, kStart) ==
          DirectoryUpdateResult::Renewed);
  }
  SUBCASE("a goodbye that names no start tells nothing")
  {
    CHECK(directory.Deregister(BackendId("b"), 0, kStart) ==
          DirectoryUpdateResult::Stale);
  }
}

TEST_CASE("directory: digests are equal when the same servers may be used")
{
  ServerDirectory one;
  ServerDirectory two;
  const uint64_t empty = one.Digest();
  one.Apply(Announce("a", "1:1", 10, 1), kStart);
  one.Apply(Announce("b", "1:2", 10, 1), kStart);
  two.Apply(Announce("b", "1:2", 10, 7), kStart + seconds(1));
  CHECK(one.Digest() != two.Digest());
  two.Apply(Announce("a", "1:1", 10, 4), kStart + seconds(1));
  CHECK(one.Digest() == two.Digest());
  two.Apply(Announce("a", "1:1", 10, 5, ServerPhase::Draining), kStart);
  CHECK(one.Digest() != two.Digest());
  SUBCASE("servers that are gone count as much as those never heard of")
  {
    one.Deregister(BackendId("a"), 10, kStart);
    one.Deregister(BackendId("b"), 10, kStart);
    CHECK(one.Digest() == empty);
  }
  SUBCASE("forgotten servers do not count")
  {
    one.RemoveExpired(kStart + ServerDirectory::kExpireAfter + seconds(1));
    CHECK(one.Digest() == empty);
  }
}
