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

TEST_CASE("directory: which announcements restore a server")
{
  struct Row
  {
    const char* name_;
    std::vector<ServerAnnouncement> announcements_;
    DirectoryUpdateResult lastResult_;
    ServerPhase phaseOfA_;
  };
  const Row rows[] = {
    { "renewed",
      { Announce("a", "1:1", 10, 1), Announce("a", "1:1", 10, 2) },
      DirectoryUpdateResult::Renewed,
      ServerPhase::Ready },
    { "delayed, with a lower sequence",
      { Announce("a", "1:1", 10, 5, ServerPhase::Draining),
        Announce("a", "1:1", 10, 4) },
      DirectoryUpdateResult::Stale,
      ServerPhase::Draining },
    { "restart under the same id",
      { Announce("a", "1:1", 10, 50), Announce("a", "1:1", 20, 1) },
      DirectoryUpdateResult::Changed,
      ServerPhase::Ready },
    { "delayed, of an earlier process",
      { Announce("a", "1:1", 20, 1, ServerPhase::Draining),
        Announce("a", "1:1", 10, 50) },
      DirectoryUpdateResult::Stale,
      ServerPhase::Draining },
    { "another server announces the address",
      { Announce("a", "1:1", 10, 1), Announce("b", "1:1", 20, 1) },
      DirectoryUpdateResult::Changed,
      ServerPhase::Gone },
    { "delayed, after another server announced the address",
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
    for (const ServerAnnouncement& announcement : row.announcements_) {
      verdict = directory.Apply(announcement, kStart);
    }
    CHECK(verdict == row.lastResult_);
    CHECK(PhaseOf(directory, "a") == row.phaseOfA_);
  }
}

// Guards against a leaving server that gets requests again as it still
// announces that it is ready.
TEST_CASE("directory: a leaving process drains whatever it announces")
{
  ServerDirectory marked;
  marked.Apply(Announce("a", "1:1", 10, 5), kStart);
  ServerDirectory peer = marked;
  peer.Apply(Announce("a", "1:1", 10, 9), kStart);
  REQUIRE(marked.MarkLeaving(BackendId("a"), 10, kStart) ==
          DirectoryUpdateResult::Changed);
  CHECK(marked.ChangeRevision() == marked.Revision());
  CHECK(marked.Digest() != peer.Digest());
  SUBCASE("a repeated mark is no change")
  {
    CHECK(marked.MarkLeaving(BackendId("a"), 10, kStart) ==
          DirectoryUpdateResult::Stale);
  }
  SUBCASE("later announcements of the process")
  {
    CHECK(marked.Apply(Announce("a", "1:1", 10, 6), kStart) ==
          DirectoryUpdateResult::Renewed);
    CHECK(PhaseOf(marked, "a") == ServerPhase::Draining);
  }
  SUBCASE("a peer with a later announcement takes the mark")
  {
    CHECK(peer.Apply(marked.Find(BackendId("a"))->announcement_, kStart) ==
          DirectoryUpdateResult::Changed);
    CHECK(PhaseOf(peer, "a") == ServerPhase::Draining);
    CHECK(peer.Find(BackendId("a"))->announcement_.sequence_ == 9);
    CHECK(marked.Digest() == peer.Digest());
  }
  SUBCASE("the mark comes before the announcement")
  {
    ServerDirectory later;
    later.MarkLeaving(BackendId("a"), 10, kStart);
    later.Apply(Announce("a", "1:1", 10, 6), kStart);
    CHECK(PhaseOf(later, "a") == ServerPhase::Draining);
  }
  SUBCASE("the process is silent until its record expires")
  {
    const TimePoint later = kStart + ServerDirectory::kExpireAfter * 2;
    REQUIRE(marked.RemoveExpired(later));
    marked.Apply(Announce("a", "1:1", 10, 7), later);
    CHECK(PhaseOf(marked, "a") == ServerPhase::Draining);
  }
  SUBCASE("a new process starts without the mark")
  {
    marked.Apply(Announce("a", "1:1", 20, 1), kStart);
    CHECK(PhaseOf(marked, "a") == ServerPhase::Ready);
    CHECK(marked.MarkLeaving(BackendId("a"), 10, kStart) ==
          DirectoryUpdateResult::Stale);
    CHECK(PhaseOf(marked, "a") == ServerPhase::Ready);
  }
  SUBCASE("its own departure is still committed, and final")
  {
    marked.ApplyCommitted(Announce("a", "1:1", 10, 7, ServerPhase::Draining),
                          kStart);
    CHECK(marked.Find(BackendId("a"))->isDepartureCommitted_);
    marked.Deregister(BackendId("a"), 10, kStart);
    CHECK(PhaseOf(marked, "a") == ServerPhase::Gone);
  }
}

TEST_CASE(
  "directory: a deregistration is final for its process, not for the id")
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
  SUBCASE("a delayed deregistration of the earlier process has no effect")
  {
    CHECK(directory.Deregister(BackendId("a"), 10, kStart) ==
          DirectoryUpdateResult::Stale);
    CHECK(PhaseOf(directory, "a") == ServerPhase::Ready);
  }
}

TEST_CASE("directory: revisions distinguish changes from renewals")
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

// Guards against entry instances that do not learn of a server that turns cold
// while in use, and against a warm-up that a renewal prolongs.
TEST_CASE("directory: the end of a warm-up is a change, its passing is none")
{
  const auto announce = [](uint64_t aSequence, milliseconds aWarmupLeft) {
    ServerAnnouncement announcement = Announce("a", "1:1", 10, aSequence);
    announcement.warmupLeft_ = aWarmupLeft;
    return announcement;
  };
  ServerDirectory directory;
  const auto endsAt = [&] {
    return directory.Find(BackendId("a"))->WarmupEndsAt();
  };
  directory.Apply(announce(1, milliseconds(0)), kStart);
  CHECK(directory.Apply(announce(2, seconds(8)), kStart + seconds(1)) ==
        DirectoryUpdateResult::Changed);
  CHECK(endsAt() == kStart + seconds(9));
  // Later announcements of the same end, one of them late.
  CHECK(directory.Apply(announce(3, seconds(7)), kStart + seconds(2)) ==
        DirectoryUpdateResult::Renewed);
  CHECK(directory.Apply(announce(4, seconds(6)), kStart + milliseconds(3300)) ==
        DirectoryUpdateResult::Renewed);
  directory.Renew(MakeRenewal(announce(5, seconds(5))), kStart + seconds(4));
  CHECK(endsAt() == kStart + milliseconds(9300));
  directory.Renew(MakeRenewal(announce(6, milliseconds(0))),
                  kStart + seconds(30));
  CHECK(endsAt() <= kStart + seconds(30));
  CHECK(directory.Apply(announce(7, milliseconds(0)), kStart + seconds(31)) ==
        DirectoryUpdateResult::Renewed);
  CHECK(directory.Apply(announce(8, seconds(5)), kStart + seconds(32)) ==
        DirectoryUpdateResult::Changed);
  CHECK(directory.Apply(announce(9, milliseconds(0)), kStart + seconds(33)) ==
        DirectoryUpdateResult::Changed);
}

TEST_CASE("directory: a server without announcements expires")
{
  ServerDirectory directory;
  directory.Apply(Announce("a", "1:1", 10, 1), kStart);
  CHECK_FALSE(directory.RemoveExpired(kStart + ServerDirectory::kExpireAfter));
  directory.Renew(MakeRenewal(Announce("a", "1:1", 10, 2)),
                  kStart + seconds(30));
  CHECK_FALSE(directory.RemoveExpired(kStart + ServerDirectory::kExpireAfter +
                                      seconds(1)));
  CHECK(directory.RemoveExpired(kStart + ServerDirectory::kExpireAfter +
                                seconds(31)));
  CHECK(directory.Rows().empty());
}

// A sequence was compared with those of other processes of the same id, and was
// raised without the content that it belongs to.
TEST_CASE("directory: a renewal is of one process and its content")
{
  struct Row
  {
    const char* name_;
    ServerAnnouncement stored_;
    ServerAnnouncement renewed_;
    RenewalResult result_;
  };
  const std::vector<Row> rows{
    { "the same process",
      Announce("a", "1:1", 10, 3),
      Announce("a", "1:1", 10, 9),
      RenewalResult::Renewed },
    { "an earlier process",
      Announce("a", "1:1", 10, 3),
      Announce("a", "1:1", 5, 9),
      RenewalResult::Ignored },
    { "a later process",
      Announce("a", "1:1", 10, 3),
      Announce("a", "1:1", 11, 1),
      RenewalResult::Missing },
    { "a server that is not known",
      Announce("b", "1:2", 10, 3),
      Announce("a", "1:1", 10, 3),
      RenewalResult::Missing },
    { "content of before a change",
      Announce("a", "1:1", 10, 3, ServerPhase::Draining),
      Announce("a", "1:1", 10, 2),
      RenewalResult::Ignored },
    { "content of after a change",
      Announce("a", "1:1", 10, 3),
      Announce("a", "1:1", 10, 5, ServerPhase::Draining),
      RenewalResult::Missing },
    { "a deregistration",
      Announce("a", "1:1", 10, 3),
      Announce("a", "1:1", 10, 1, ServerPhase::Gone),
      RenewalResult::Missing },
    { "a server that has deregistered",
      Announce("a", "1:1", 10, 3, ServerPhase::Gone),
      Announce("a", "1:1", 10, 9),
      RenewalResult::Ignored },
    { "a later process of a server that has deregistered",
      Announce("a", "1:1", 10, 3, ServerPhase::Gone),
      Announce("a", "1:1", 11, 1),
      RenewalResult::Missing },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    ServerDirectory directory;
    directory.Apply(row.stored_, kStart);
    CHECK(directory.Renew(MakeRenewal(row.renewed_), kStart + seconds(1)) ==
          row.result_);
    const ServerRecord* record = directory.Find(row.stored_.id_);
    const bool isRenewed = row.result_ == RenewalResult::Renewed;
    CHECK(record->announcement_.sequence_ ==
          (isRenewed ? row.renewed_ : row.stored_).sequence_);
    CHECK(record->lastAnnouncementAt_ ==
          (isRenewed ? kStart + seconds(1) : kStart));
  }
}

// The draining of a server that had started again was committed and ignored.
TEST_CASE("directory: a committed departure applies after any renewals")
{
  const ServerAnnouncement earlier = Announce("a", "1:1", 10, 100);
  const ServerAnnouncement draining =
    Announce("a", "1:1", 20, 2, ServerPhase::Draining);
  ServerDirectory directory;
  directory.Apply(earlier, kStart);
  directory.Apply(Announce("a", "1:1", 20, 1), kStart);
  directory.Renew(MakeRenewal(earlier), kStart);
  // The next announcement of the draining server, renewed by an instance that
  // has applied the departure already.
  ServerAnnouncement next = draining;
  next.sequence_ = 3;
  CHECK(directory.Renew(MakeRenewal(next), kStart) == RenewalResult::Missing);
  CHECK(directory.ApplyCommitted(draining, kStart) ==
        DirectoryUpdateResult::Changed);
  CHECK(PhaseOf(directory, "a") == ServerPhase::Draining);
}

TEST_CASE("directory: a deregistration applies even if another instance has a "
          "later announcement")
{
  // One instance receives the deregistration, another one has received later
  // announcements.
  ServerDirectory peer;
  peer.Apply(Announce("a", "1:1", 10, 5), kStart);
  peer.Deregister(BackendId("a"), 10, kStart);
  ServerDirectory directory;
  directory.Apply(Announce("a", "1:1", 10, 9), kStart);
  CHECK(directory.Apply(peer.Find(BackendId("a"))->announcement_, kStart) ==
        DirectoryUpdateResult::Changed);
  CHECK(PhaseOf(directory, "a") == ServerPhase::Gone);
}

TEST_CASE("directory: the deregistration of an unknown server is stored")
{
  ServerDirectory directory;
  CHECK(directory.Deregister(BackendId("a"), 10, kStart) ==
        DirectoryUpdateResult::Changed);
  REQUIRE(directory.Find(BackendId("a")) != nullptr);
  CHECK(directory.Apply(Announce("a", "1:1", 10, 3), kStart) ==
        DirectoryUpdateResult::Stale);
  SUBCASE("another instance that has the server's record applies it")
  {
    ServerDirectory other;
    other.Apply(Announce("a", "1:1", 10, 3), kStart);
    CHECK(other.Apply(directory.Find(BackendId("a"))->announcement_, kStart) ==
          DirectoryUpdateResult::Changed);
    CHECK(PhaseOf(other, "a") == ServerPhase::Gone);
    // Repeating the same deregistration changes nothing.
    CHECK(other.Deregister(BackendId("a"), 10, kStart) ==
          DirectoryUpdateResult::Renewed);
  }
  SUBCASE(
    "a deregistration of an unknown server without a start time is ignored")
  {
    CHECK(directory.Deregister(BackendId("b"), 0, kStart) ==
          DirectoryUpdateResult::Stale);
  }
}

TEST_CASE("directory: a departure is committed until the server changes again")
{
  ServerDirectory directory;
  const BackendId id("a");
  const auto isCommitted = [&] {
    return directory.Find(id)->isDepartureCommitted_;
  };
  directory.Apply(Announce("a", "1:1", 10, 3), kStart);
  const auto draining = Announce("a", "1:1", 10, 4, ServerPhase::Draining);
  directory.Apply(draining, kStart);
  CHECK_FALSE(isCommitted());
  CHECK(directory.ApplyCommitted(draining, kStart) ==
        DirectoryUpdateResult::Renewed);
  CHECK(isCommitted());
  directory.Apply(Announce("a", "1:1", 10, 5, ServerPhase::Draining), kStart);
  CHECK(isCommitted());
  SUBCASE("a deregistration has to be committed as well")
  {
    directory.Deregister(id, 10, kStart);
    CHECK_FALSE(isCommitted());
  }
  SUBCASE("a departure that is older than a new process does not apply to it")
  {
    directory.Apply(Announce("a", "1:1", 20, 1), kStart);
    directory.ApplyCommitted(draining, kStart);
    CHECK(PhaseOf(directory, "a") == ServerPhase::Ready);
    CHECK_FALSE(isCommitted());
  }
  SUBCASE("a delayed announcement does not restore a server after a restart")
  {
    ServerDirectory restarted;
    restarted.ApplyCommitted(draining, kStart);
    CHECK(restarted.Apply(Announce("a", "1:1", 10, 3), kStart) ==
          DirectoryUpdateResult::Stale);
    CHECK(PhaseOf(restarted, "a") == ServerPhase::Draining);
  }
}

// Processes that keep the list of servers ended, or stopped following it,
// because of one odd entry.
TEST_CASE("directory: odd announcements are rejected")
{
  const WallTime wallNow{ seconds(1800000000) };
  const uint64_t nowMs = 1800000000000;
  const auto sound = Announce("a", "127.0.0.1:1", nowMs, 3);
  CHECK(Validate(sound, wallNow).ok());
  using Change = void (*)(ServerAnnouncement&);
  struct Row
  {
    const char* name_;
    Change change_;
  };
  const Row rows[] = {
    { "a long id",
      [](ServerAnnouncement& aRow) {
        aRow.id_ = BackendId(std::string(257, 'i'));
      } },
    { "a long service",
      [](ServerAnnouncement& aRow) {
        aRow.service_ = ServiceName(std::string(257, 's'));
      } },
    { "a long zone",
      [](ServerAnnouncement& aRow) {
        aRow.zone_ = ZoneName(std::string(257, 'z'));
      } },
    { "a long address",
      [](ServerAnnouncement& aRow) { aRow.address_ = std::string(257, '1'); } },
    { "too many slots", [](ServerAnnouncement& aRow) { aRow.slots_ = 65537; } },
    { "a sequence beyond 63 bits",
      [](ServerAnnouncement& aRow) { aRow.sequence_ = 1ULL << 63; } },
    { "a warm-up of hours",
      [](ServerAnnouncement& aRow) { aRow.warmupLeft_ = seconds(3601); } },
    { "a negative warm-up",
      [](ServerAnnouncement& aRow) { aRow.warmupLeft_ = milliseconds(-1); } },
    { "a start in the future",
      [](ServerAnnouncement& aRow) { aRow.startedAtMs_ += 3600001; } },
    { "a start beyond 63 bits",
      [](ServerAnnouncement& aRow) { aRow.startedAtMs_ = 1ULL << 63; } },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    ServerAnnouncement announcement = sound;
    row.change_(announcement);
    CHECK_FALSE(Validate(announcement, wallNow).ok());
  }
  ServerAnnouncement ahead = sound;
  ahead.startedAtMs_ += 3600000;
  CHECK(Validate(ahead, wallNow).ok());
}

TEST_CASE("directory: digests are equal for the same usable servers")
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
  SUBCASE("deregistered servers do not contribute")
  {
    one.Deregister(BackendId("a"), 10, kStart);
    one.Deregister(BackendId("b"), 10, kStart);
    CHECK(one.Digest() == empty);
  }
  SUBCASE("expired servers do not contribute")
  {
    one.RemoveExpired(kStart + ServerDirectory::kExpireAfter + seconds(1));
    CHECK(one.Digest() == empty);
  }
}
