#include "ControlMember.h"
#include "control/control_generated.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <thread>

using namespace foxtail;

namespace {

EvacuationResult ApplyOrder(ControlState& aState,
                            const char* aZone,
                            bool aIsEvacuated,
                            uint64_t aKnownOrders)
{
  const Command command{ milliseconds(1),
                         SetEvacuation{
                           ZoneName(aZone), aIsEvacuated, aKnownOrders } };
  // Each command passes through its encoding, as in the log.
  const auto decoded = DecodeCommand(EncodeCommand(command));
  REQUIRE(decoded.ok());
  return std::get<EvacuationResult>(aState.Apply(*decoded));
}

/// Sends an order by turns to the instances until one confirms it.
void ResendUntilConfirmed(const std::vector<ControlMember*>& aMembers,
                          const char* aZone,
                          bool aIsEvacuated)
{
  size_t number = 0;
  CHECK(WaitUntil([&] {
    return aMembers[number++ % aMembers.size()]
      ->Evacuate(aZone, aIsEvacuated)
      .ok();
  }));
}

} // namespace

TEST_CASE("evacuation: an order that is resent changes nothing again")
{
  ControlState state;
  CHECK(ApplyOrder(state, "zone-a", true, 0).isApplied_);
  const EvacuationResult resent = ApplyOrder(state, "zone-a", true, 0);
  CHECK(resent.isApplied_);
  CHECK(resent.revision_ == 1);
  CHECK(ApplyOrder(state, "zone-b", true, 2).revision_ == 2);
  CHECK(ApplyOrder(state, "zone-a", false, 3).revision_ == 3);
  CHECK(state.Evacuations().GetRows().zones_ == std::set{ ZoneName("zone-b") });
  CHECK(ApplyOrder(state, "zone-c", false, 0).revision_ == 3);
}

// The duplicate of an order that a failed link delayed arrives after the
// opposite order was acknowledged.
TEST_CASE("evacuation: a delayed order does not undo a later one")
{
  ControlState state;
  CHECK(ApplyOrder(state, "zone-a", true, 0).isApplied_);
  CHECK(ApplyOrder(state, "zone-a", false, 1).isApplied_);
  CHECK_FALSE(ApplyOrder(state, "zone-a", true, 0).isApplied_);
  CHECK_FALSE(ApplyOrder(state, "zone-a", true, 1).isApplied_);
  CHECK(state.Evacuations().GetRows().zones_.empty());
  CHECK(state.Evacuations().GetRows().revision_ == 2);

  // The later order may itself have changed nothing.
  ControlState other;
  CHECK(ApplyOrder(other, "zone-a", false, 0).isApplied_);
  CHECK_FALSE(ApplyOrder(other, "zone-a", true, 0).isApplied_);
}

// An instance that was paused read an order that its sender had given up, had
// carried out by another instance and had taken back by a later order. It made
// the command from the state that it had then, and the later order was undone.
TEST_CASE("evacuation: an order that is read late does not undo a later one")
{
  CHECK(rc::check("the set is that of the last confirmed order", [] {
    ControlState state;
    std::vector<EvacuationOrder> abandoned;
    bool isEvacuated = false;
    const ZoneName zone("zone-a");
    // What an instance does with an order that it reads.
    const auto receive = [&](const EvacuationOrder& aOrder) {
      const auto command = state.Evacuations().MakeCommand(aOrder);
      return command && ApplyOrder(state,
                                   command->zone_.Value().c_str(),
                                   command->isEvacuated_,
                                   command->knownOrders_)
                          .isApplied_;
    };
    const auto steps =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
    for (const int step : steps) {
      if (step < 2) {
        // The sender leaves copies of its order, with and without the number of
        // known orders, at instances that do not reply.
        const bool isBegin = step == 1;
        EvacuationOrder order{ zone, isBegin, std::nullopt };
        abandoned.push_back(order);
        if (!receive(order)) {
          order.knownOrders_ = state.Evacuations().GetRows().orders_;
          abandoned.push_back(order);
          RC_ASSERT(receive(order));
        }
        isEvacuated = isBegin;
      } else if (!abandoned.empty()) {
        receive(abandoned[*rc::gen::inRange<size_t>(0, abandoned.size())]);
      }
      RC_ASSERT(state.Evacuations().GetRows().zones_.contains(zone) ==
                isEvacuated);
    }
  }));
}

TEST_CASE("evacuation: an instance that lags confirms an order with the number "
          "of orders that it learns of")
{
  ControlGroup group;
  REQUIRE(group.Leader().Evacuate("zone-a", true).ok());
  // The number of before that order, as of an instance that has not applied it.
  const auto outcome =
    group.Follower(1).Receive({ ZoneName("zone-a"), false, 0 });
  const auto* unproved = std::get_if<EvacuationUnproved>(&outcome);
  REQUIRE(unproved != nullptr);
  CHECK(unproved->knownOrders_ == 1);
  CHECK(group.Follower(1).Notified().Names() == "zone-a");
  CHECK(std::holds_alternative<EvacuationCommitted>(group.Follower(1).Receive(
    { ZoneName("zone-a"), false, unproved->knownOrders_ })));
}

TEST_CASE("evacuation: a snapshot keeps the set and its revision")
{
  ControlState state;
  ApplyOrder(state, "zone-a", true, 0);
  ApplyOrder(state, "zone-b", true, 1);
  ApplyOrder(state, "zone-b", true, 2);
  ControlState restored;
  ApplyOrder(restored, "zone-z", true, 0);
  REQUIRE(restored.Restore(state.TakeSnapshot().Encode()).ok());
  CHECK(restored.Evacuations().GetRows() == state.Evacuations().GetRows());
  CHECK(restored.Evacuations().GetRows().orders_ == 3);
}

TEST_CASE("evacuation: a snapshot of an earlier release holds no evacuation")
{
  flatbuffers::FlatBufferBuilder builder;
  const auto text = builder.CreateString("routes");
  const auto changes =
    builder.CreateVector(std::vector<flatbuffers::Offset<wire::ChangeRow>>());
  const auto history =
    builder.CreateVector(std::vector<flatbuffers::Offset<wire::HistoryRow>>());
  const auto claims =
    builder.CreateVector(std::vector<flatbuffers::Offset<wire::ClaimRow>>());
  builder.Finish(
    wire::CreateControlSnapshot(builder, 5, 7, text, changes, history, claims));
  ControlState state;
  ApplyOrder(state, "zone-a", true, 0);
  REQUIRE(
    state
      .Restore({ reinterpret_cast<const char*>(builder.GetBufferPointer()),
                 builder.GetSize() })
      .ok());
  CHECK(state.Documents().Version() == DocumentVersion(7));
  CHECK(state.Evacuations().GetRows() == EvacuationTable::Rows{});
}

TEST_CASE("evacuation: any control instance commits an order")
{
  ControlGroup group;
  CHECK(group.Follower(1).Evacuate("zone-a", true).ok());
  CHECK(group.Follower(2).Evacuate("zone-a", true).ok());
  CHECK(group.Leader().Evacuate("zone-b", true).ok());
  CHECK(group.Follower(2).Evacuate("zone-a", false).ok());
  for (const auto& member : group.Members()) {
    CHECK(WaitUntil([&] { return member->Notified().revision_ == 4; }));
    CHECK(member->Notified().Names() == "zone-b");
  }
}

TEST_CASE("evacuation: an order is confirmed after the leader was lost before "
          "the commit")
{
  ControlGroup group;
  group.Leader().CutOff();
  // The leader, which has lost its group, must not acknowledge.
  CHECK_FALSE(group.Leader().Evacuate("zone-b", true).ok());
  ResendUntilConfirmed(
    { &group.Follower(1), &group.Follower(2) }, "zone-a", true);
  for (const size_t number : { 1, 2 }) {
    CHECK(WaitUntil(
      [&] { return group.Follower(number).Notified().revision_ == 2; }));
    CHECK(group.Follower(number).Notified().Names() == "zone-a");
  }
}

TEST_CASE("evacuation: an order is confirmed once more after the leader was "
          "lost between the commit and the acknowledgement")
{
  ControlGroup group;
  REQUIRE(group.Leader().Evacuate("zone-a", true).ok());
  group.Leader().CutOff();
  ResendUntilConfirmed(
    { &group.Follower(1), &group.Follower(2) }, "zone-a", true);
  CHECK(WaitUntil([&] { return group.Follower(1).Notified().revision_ == 2; }));
  ResendUntilConfirmed(
    { &group.Follower(2), &group.Follower(1) }, "zone-a", false);
  CHECK(WaitUntil([&] { return group.Follower(1).Notified().revision_ == 3; }));
  CHECK(group.Follower(1).Notified().zones_.empty());
}

// Entry instances that started against it would use an evacuated zone.
TEST_CASE("evacuation: a restarted instance does not state the set before it "
          "has caught up with a leader")
{
  ControlGroup group;
  REQUIRE(group.Leader().Evacuate("zone-a", true).ok());
  for (const auto& member : group.Members()) {
    REQUIRE(WaitUntil([&] { return member->Notified().revision_ == 2; }));
  }
  group.Restart();
  ControlMember& first = group.Leader();
  ControlMember& second = group.Follower(1);
  ControlMember& third = group.Follower(2);
  first.Start(false);
  std::this_thread::sleep_for(milliseconds(800));
  CHECK_FALSE(first.Notified().IsKnown());
  second.Start(false);
  CHECK(WaitUntil([&] { return first.Notified().IsKnown(); }));
  CHECK(WaitUntil([&] { return second.Notified().IsKnown(); }));
  CHECK(first.Notified().Names() == "zone-a");
  CHECK(second.Notified().revision_ == 2);
  third.Start(false);
  CHECK(WaitUntil([&] { return third.Notified().revision_ == 2; }));
}
