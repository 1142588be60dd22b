#include "policy/AnnouncementRegistry.h"

#include <doctest/doctest.h>

using namespace foxtail;

namespace {

Announcement Make(uint64_t aIncarnation,
                  uint64_t aSequence,
                  BackendState aState = BackendState::Ready)
{
  Announcement result;
  result.server_ = BackendId("b1");
  result.incarnation_ = Incarnation(aIncarnation);
  result.sequence_ = aSequence;
  result.service_ = ServiceName("s");
  result.catalogue_ = CatalogueName("c");
  result.version_ = IndexVersion(1);
  result.shardCount_ = 2;
  result.address_ = "127.0.0.1:1";
  result.state_ = aState;
  return result;
}

constexpr TimePoint kStart{};

} // namespace

TEST_CASE("announcements are ordered by incarnation and sequence")
{
  struct Row
  {
    const char* name_;
    Announcement first_;
    Announcement second_;
    AnnouncementVerdict verdict_;
  };
  const Row rows[] = {
    { "renewed", Make(1, 1), Make(1, 2), AnnouncementVerdict::Renewed },
    { "delayed", Make(1, 2), Make(1, 1), AnnouncementVerdict::Stale },
    { "repeated", Make(1, 1), Make(1, 1), AnnouncementVerdict::Stale },
    { "restarted", Make(1, 9), Make(2, 1), AnnouncementVerdict::Changed },
    { "older incarnation", Make(2, 1), Make(1, 9), AnnouncementVerdict::Stale },
    { "draining",
      Make(1, 1),
      Make(1, 2, BackendState::Draining),
      AnnouncementVerdict::Changed },
    { "delayed, from before the drain",
      Make(1, 2, BackendState::Draining),
      Make(1, 1),
      AnnouncementVerdict::Stale },
    { "delayed, after deregistration",
      Make(1, 2, BackendState::Gone),
      Make(1, 1),
      AnnouncementVerdict::Stale },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    AnnouncementRegistry registry({});
    registry.Apply(row.first_, kStart);
    CHECK(registry.Apply(row.second_, kStart) == row.verdict_);
  }
}

TEST_CASE("a server without an announcement for the lease time is removed")
{
  AnnouncementRegistry registry({});
  registry.Apply(Make(1, 1), kStart);
  CHECK(registry.Expire(kStart + milliseconds(3000)).empty());
  CHECK(registry.Expire(kStart + milliseconds(3001)).size() == 1);
  CHECK(registry.MakeTable()->Replicas().empty());
  CHECK(registry.Apply(Make(1, 1), kStart + milliseconds(3002)) ==
        AnnouncementVerdict::Stale);
  CHECK(registry.Apply(Make(1, 2), kStart + milliseconds(3003)) ==
        AnnouncementVerdict::Changed);
}

TEST_CASE("one version with two shard counts makes two layouts, and shards "
          "without a server are missing")
{
  Announcement other = Make(1, 1);
  other.server_ = BackendId("b2");
  other.shardCount_ = 3;
  AnnouncementRegistry registry({});
  registry.Apply(Make(1, 1), kStart);
  registry.Apply(other, kStart);
  const auto table = registry.MakeTable();
  const auto* layouts =
    table->FindLayouts({ ServiceName("s"), CatalogueName("c") });
  REQUIRE(layouts != nullptr);
  REQUIRE(layouts->size() == 2);
  CHECK((*layouts)[0].shards_.size() == 3);
  CHECK((*layouts)[0].CoveredShards(table->Replicas()) == 1);
}

TEST_CASE("a renewal by the lease's holder restores a server that expired, but "
          "not one that deregistered")
{
  struct Row
  {
    const char* name_;
    Announcement stored_;
    bool isExpired_;
    Announcement renewal_;
    AnnouncementVerdict verdict_;
  };
  const Row rows[] = {
    { "same", Make(1, 5), false, Make(1, 5), AnnouncementVerdict::Renewed },
    { "holder has an older one of the same content",
      Make(1, 5),
      false,
      Make(1, 4),
      AnnouncementVerdict::Renewed },
    { "holder has an older state",
      Make(1, 5, BackendState::Draining),
      false,
      Make(1, 4),
      AnnouncementVerdict::Stale },
    { "holder has an older incarnation",
      Make(2, 1),
      false,
      Make(1, 9),
      AnnouncementVerdict::Stale },
    { "holder has a newer one",
      Make(1, 5),
      false,
      Make(1, 6, BackendState::Draining),
      AnnouncementVerdict::Changed },
    { "expired here",
      Make(1, 5),
      true,
      Make(1, 5),
      AnnouncementVerdict::Changed },
    { "expired here in a newer incarnation",
      Make(2, 5),
      true,
      Make(1, 9),
      AnnouncementVerdict::Stale },
    { "deregistered",
      Make(1, 5, BackendState::Gone),
      false,
      Make(1, 4),
      AnnouncementVerdict::Stale },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    AnnouncementRegistry registry({});
    registry.Apply(Make(1, 1), kStart);
    registry.Apply(row.stored_, kStart);
    const TimePoint later = kStart + milliseconds(4000);
    if (row.isExpired_) {
      registry.Expire(later);
    }
    CHECK(registry.RenewFromPeer(row.renewal_, later) == row.verdict_);
  }
}

TEST_CASE(
  "a withdrawal removes a server unless a newer announcement was received")
{
  AnnouncementRegistry registry({});
  registry.Apply(Make(1, 5), kStart);
  CHECK(!registry.Withdraw(BackendId("b1"), Incarnation(1), 4, kStart));
  CHECK(registry.Size() == 1);
  CHECK(registry.Withdraw(BackendId("b1"), Incarnation(1), 5, kStart));
  CHECK(registry.Size() == 0);
  CHECK(registry.RenewFromPeer(Make(1, 5), kStart) ==
        AnnouncementVerdict::Stale);
  CHECK(registry.Apply(Make(1, 6), kStart) == AnnouncementVerdict::Changed);
}
