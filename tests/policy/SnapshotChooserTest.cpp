#include "policy/SnapshotChooser.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <string>

using namespace foxtail;

namespace {

constexpr TimePoint kStart{};
const CatalogueKey kKey{ ServiceName("s"), CatalogueName("c") };

/// A layout of which the first @p covered_ shards have @p replicas_ servers.
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

TEST_CASE("snapshot: the layout of new queries")
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
    { "partial newest loses to full",
      {},
      { { 1, 4, 4 }, { 2, 4, 3 } },
      soon,
      1,
      SnapshotReason::First },
    { "greatest coverage when none is full",
      {},
      { { 1, 4, 3 }, { 2, 4, 2 } },
      soon,
      1,
      SnapshotReason::First },
    { "draining servers cover nothing",
      {},
      { { 1, 4, 4 }, { 2, 4, 4, 1, BackendState::Draining } },
      soon,
      1,
      SnapshotReason::First },
    { "newer full waits",
      { { 1, 4, 4 } },
      { { 1, 4, 4 }, { 2, 4, 4 } },
      soon,
      1,
      SnapshotReason::Held },
    { "newer full settled",
      { { 1, 4, 4 } },
      { { 1, 4, 4 }, { 2, 4, 4 } },
      settled,
      2,
      SnapshotReason::Newer },
    { "newer full with fewer replicas is held",
      { { 1, 4, 4, 3 } },
      { { 1, 4, 4, 2 }, { 2, 4, 4, 1 } },
      settled,
      1,
      SnapshotReason::Held },
    { "but not for ever",
      { { 1, 4, 4, 3 } },
      { { 1, 4, 4, 2 }, { 2, 4, 4, 1 } },
      late,
      2,
      SnapshotReason::Newer },
    { "much lost coverage switches at once",
      { { 2, 25, 25 }, { 1, 25, 25 } },
      { { 2, 25, 20 }, { 1, 25, 25 } },
      soon,
      1,
      SnapshotReason::MoreCoverage },
    { "one shard of 25 lost is held",
      { { 2, 25, 25 }, { 1, 25, 25 } },
      { { 2, 25, 24 }, { 1, 25, 25 } },
      soon,
      2,
      SnapshotReason::Held },
    { "one shard of 25 lost for long",
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

TEST_CASE("snapshot: a repartition makes a layout of its own, and is flagged "
          "under one version")
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

TEST_CASE("snapshot: a server that comes and goes does not switch the layout "
          "back and forth")
{
  SnapshotChooser chooser({});
  const RoutingTable whole = MakeTable({ { 1, 25, 25 }, { 2, 25, 25 } });
  const RoutingTable lacking = MakeTable({ { 1, 25, 25 }, { 2, 25, 24 } });
  int switches = 0;
  for (int i = 0; i < 100; ++i) {
    const auto choice = chooser.Choose(
      i % 2 == 0 ? whole : lacking, kKey, {}, kStart + i * milliseconds(200));
    switches += choice.isSwitched_ ? 1 : 0;
  }
  CHECK(switches == 1);
}

TEST_CASE("snapshot: after the hold the choice is full whenever one is full")
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

TEST_CASE("replan: when servers of the pinned layout vanish under a query")
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
    { "nothing lost", make(0, 25, 500), ReplanVerdict::Continue },
    { "lost, with time", make(1, 25, 500), ReplanVerdict::Restart },
    { "lost, too late", make(1, 25, 29), ReplanVerdict::KeepPinned },
    { "other is no better", make(1, 24, 500), ReplanVerdict::KeepPinned },
    { "no other", make(5, 0, 500), ReplanVerdict::KeepPinned },
    { "replanned before", again, ReplanVerdict::KeepPinned },
    { "an action is never replanned", action, ReplanVerdict::KeepPinned },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    CHECK(DecideReplan({}, row.input_) == row.verdict_);
  }
}

TEST_CASE("snapshot: what requests show goes before what is announced")
{
  // Version 1 is announced still, by servers that no request reaches.
  const RoutingTable both = MakeTable({ { 1, 4, 4 }, { 2, 4, 4 } });
  const std::vector<uint8_t> none;
  std::vector<uint8_t> oldIsDead;
  for (const Replica& replica : both.Replicas()) {
    oldIsDead.push_back(replica.announcement_.version_.Value() == 1 ? 1 : 0);
  }
  SnapshotChooser chooser({});
  chooser.Choose(MakeTable({ { 1, 4, 4 } }), kKey, none, kStart);
  CHECK(chooser.Choose(both, kKey, none, kStart).layout_->version_.Value() ==
        1);
  const auto choice = chooser.Choose(both, kKey, oldIsDead, kStart);
  CHECK(choice.layout_->version_.Value() == 2);
  CHECK(choice.coveredShards_ == 4);
  // When nothing is reachable, what is announced is asked all the same.
  const std::vector<uint8_t> allDead(both.Replicas().size(), 1);
  CHECK(chooser.Choose(both, kKey, allDead, kStart).layout_.has_value());
}
