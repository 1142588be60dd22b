#include "policy/SnapshotChooser.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <string>

using namespace foxtail;

namespace {

constexpr TimePoint kStart{};
const CatalogueKey kKey{ ServiceName("s"), CatalogueName("c") };

/// A layout of which the first covered_ shards have replicas_ servers each.
struct LayoutRow
{
  uint64_t version_;
  uint32_t shards_;
  uint32_t covered_;
  uint32_t replicas_ = 1;
  BackendState state_ = BackendState::Ready;
};

RoutingTable MakeTable(const std::vector<LayoutRow>& aRows)
{
  std::vector<Replica> replicas;
  for (const LayoutRow& row : aRows) {
    for (uint32_t i = 0; i < row.covered_ * row.replicas_; ++i) {
      Replica replica;
      replica.announcement_.server_ =
        BackendId("b" + std::to_string(row.version_) + "-" + std::to_string(i));
      replica.announcement_.service_ = kKey.service_;
      replica.announcement_.catalogue_ = kKey.catalogue_;
      replica.announcement_.version_ = IndexVersion(row.version_);
      replica.announcement_.shard_ = ShardId(i % row.covered_);
      replica.announcement_.shardCount_ = row.shards_;
      replica.announcement_.state_ = row.state_;
      replicas.push_back(std::move(replica));
    }
  }
  return RoutingTable(std::move(replicas));
}

} // namespace

TEST_CASE("snapshot: which layout new queries are pinned to")
{
  struct Row
  {
    std::string name_;
    std::vector<LayoutRow> before_;
    std::vector<LayoutRow> after_;
    milliseconds later_;
    uint64_t version_;
    SnapshotReason reason_;
  };
  const milliseconds soon(100);
  const milliseconds settled(600);
  const milliseconds late(11000);
  const Row rows[] = {
    { "newest full",
      {},
      { { 1, 4, 4 }, { 2, 4, 4 } },
      soon,
      2,
      SnapshotReason::First },
    { "newest is partial, older one is full",
      {},
      { { 1, 4, 4 }, { 2, 4, 3 } },
      soon,
      1,
      SnapshotReason::First },
    { "none full, greatest coverage",
      {},
      { { 1, 4, 3 }, { 2, 4, 2 } },
      soon,
      1,
      SnapshotReason::First },
    { "newest has only draining servers",
      {},
      { { 1, 4, 4 }, { 2, 4, 4, 1, BackendState::Draining } },
      soon,
      1,
      SnapshotReason::First },
    { "newer full, before the settle time",
      { { 1, 4, 4 } },
      { { 1, 4, 4 }, { 2, 4, 4 } },
      soon,
      1,
      SnapshotReason::Held },
    { "newer full, after the settle time",
      { { 1, 4, 4 } },
      { { 1, 4, 4 }, { 2, 4, 4 } },
      settled,
      2,
      SnapshotReason::Newer },
    { "newer full with fewer replicas, after the settle time",
      { { 1, 4, 4, 3 } },
      { { 1, 4, 4, 2 }, { 2, 4, 4, 1 } },
      settled,
      1,
      SnapshotReason::Held },
    { "newer full with fewer replicas, after the hold time",
      { { 1, 4, 4, 3 } },
      { { 1, 4, 4, 2 }, { 2, 4, 4, 1 } },
      late,
      2,
      SnapshotReason::Newer },
    { "large loss of coverage",
      { { 2, 25, 25 }, { 1, 25, 25 } },
      { { 2, 25, 20 }, { 1, 25, 25 } },
      soon,
      1,
      SnapshotReason::MoreCoverage },
    { "one shard of 25 lost, before the settle time",
      { { 2, 25, 25 }, { 1, 25, 25 } },
      { { 2, 25, 24 }, { 1, 25, 25 } },
      soon,
      2,
      SnapshotReason::Held },
    { "one shard of 25 lost, after the settle time",
      { { 2, 25, 25 }, { 1, 25, 25 } },
      { { 2, 25, 24 }, { 1, 25, 25 } },
      settled,
      1,
      SnapshotReason::MoreCoverage },
    { "vanished",
      { { 2, 4, 4 } },
      { { 1, 4, 2 } },
      soon,
      1,
      SnapshotReason::Vanished },
    { "none announced",
      { { 2, 4, 4 } },
      {},
      soon,
      0,
      SnapshotReason::NoneAnnounced },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    SnapshotChooser chooser({});
    if (!row.before_.empty()) {
      chooser.Choose(MakeTable(row.before_), kKey, {}, kStart);
    }
    const RoutingTable after = MakeTable(row.after_);
    chooser.Choose(after, kKey, {}, kStart + milliseconds(1));
    const auto choice = chooser.Choose(after, kKey, {}, kStart + row.later_);
    CHECK(choice.layout_.value_or(LayoutKey{}).version_.Value() ==
          row.version_);
    if (row.reason_ == SnapshotReason::Held) {
      CHECK(choice.reason_ == SnapshotReason::Held);
    }
  }
}

TEST_CASE("snapshot: two shard counts make two layouts, flagged if the version "
          "is the same")
{
  SnapshotChooser chooser({});
  const auto conflict = chooser.Choose(
    MakeTable({ { 7, 16, 16 }, { 7, 24, 5 } }), kKey, {}, kStart);
  CHECK(conflict.hasShardCountConflict_);
  CHECK(conflict.layout_ == LayoutKey{ IndexVersion(7), 16 });
  CHECK(conflict.coveredShards_ == 16);
  const auto clean = chooser.Choose(
    MakeTable({ { 7, 16, 16 }, { 8, 24, 5 } }), kKey, {}, kStart);
  CHECK_FALSE(clean.hasShardCountConflict_);
}

TEST_CASE("snapshot: a flapping server causes a single switch of the layout")
{
  SnapshotChooser chooser({});
  const RoutingTable full = MakeTable({ { 1, 25, 25 }, { 2, 25, 25 } });
  const RoutingTable partial = MakeTable({ { 1, 25, 25 }, { 2, 25, 24 } });
  int switches = 0;
  for (int i = 0; i < 100; ++i) {
    const auto choice = chooser.Choose(
      i % 2 == 0 ? full : partial, kKey, {}, kStart + i * milliseconds(200));
    switches += choice.isSwitched_ ? 1 : 0;
  }
  CHECK(switches == 1);
}

TEST_CASE(
  "snapshot: after the hold time a full layout is chosen if there is one")
{
  CHECK(rc::check([] {
    const auto covered = *rc::gen::container<std::vector<uint32_t>>(
      rc::gen::inRange<uint32_t>(0, 5));
    std::vector<LayoutRow> rows;
    bool hasFull = false;
    for (size_t i = 0; i < covered.size(); ++i) {
      rows.push_back({ i + 1, 4, covered[i] });
      hasFull = hasFull || covered[i] == 4;
    }
    SnapshotChooser chooser({});
    chooser.Choose(MakeTable({ { 99, 4, 2 } }), kKey, {}, kStart);
    const RoutingTable table = MakeTable(rows);
    chooser.Choose(table, kKey, {}, kStart);
    const auto choice = chooser.Choose(table, kKey, {}, kStart + seconds(20));
    RC_ASSERT((choice.coveredShards_ == 4) == hasFull);
  }));
}

TEST_CASE("replan: servers of a running query's pinned layout disappear")
{
  const auto make = [](uint32_t aLost, uint32_t aOther, int aTimeLeftMs) {
    ReplanInput input;
    input.shards_ = 25;
    input.answered_ = 20;
    input.lostShards_ = aLost;
    input.otherShards_ = aOther > 0 ? 25 : 0;
    input.otherCovered_ = aOther;
    input.timeLeft_ = milliseconds(aTimeLeftMs);
    input.expectedLatency_ = milliseconds(20);
    return input;
  };
  ReplanInput action = make(1, 25, 500);
  action.isAction_ = true;
  ReplanInput again = make(1, 25, 500);
  again.replans_ = 1;
  struct Row
  {
    std::string name_;
    ReplanInput input_;
    ReplanVerdict verdict_;
  };
  const Row rows[] = {
    { "no shard lost", make(0, 25, 500), ReplanVerdict::Continue },
    { "shard lost, enough time left",
      make(1, 25, 500),
      ReplanVerdict::Restart },
    { "shard lost, too little time left",
      make(1, 25, 29),
      ReplanVerdict::KeepPinned },
    { "other layout covers no more",
      make(1, 24, 500),
      ReplanVerdict::KeepPinned },
    { "no other layout", make(5, 0, 500), ReplanVerdict::KeepPinned },
    { "already restarted", again, ReplanVerdict::KeepPinned },
    { "action", action, ReplanVerdict::KeepPinned },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    CHECK(DecideReplan({}, row.input_) == row.verdict_);
  }
}

TEST_CASE("snapshot: unreachable servers do not count although announced")
{
  // Version 1 is still announced by servers that no request reaches.
  const RoutingTable both = MakeTable({ { 1, 4, 4 }, { 2, 4, 4 } });
  const std::vector<uint8_t> none;
  std::vector<uint8_t> isUnreachable;
  for (const Replica& replica : both.Replicas()) {
    isUnreachable.push_back(replica.announcement_.version_.Value() == 1 ? 1
                                                                        : 0);
  }
  SnapshotChooser chooser({});
  chooser.Choose(MakeTable({ { 1, 4, 4 } }), kKey, none, kStart);
  CHECK(chooser.Choose(both, kKey, none, kStart).layout_->version_.Value() ==
        1);
  const auto choice = chooser.Choose(both, kKey, isUnreachable, kStart);
  CHECK(choice.layout_->version_.Value() == 2);
  CHECK(choice.coveredShards_ == 4);
  // If no server is reachable, the announced layouts are still considered.
  const std::vector<uint8_t> allUnreachable(both.Replicas().size(), 1);
  CHECK(chooser.Choose(both, kKey, allUnreachable, kStart).layout_.has_value());
}
