#include "GroupExplorer.h"
#include "consensus/MessageCodec.h"
#include "consensus/consensus_generated.h"

#include <doctest/doctest.h>

using namespace foxtail;

namespace {

MemberId IdOf(size_t aNumber)
{
  return { InstanceId("control-" + std::to_string(aNumber)),
           Incarnation(aNumber) };
}

/// @return the stored state of a member of a group of @p aCount voters: term 3,
/// and a log of a membership entry of term 1 and a command of term 2.
StoredState StateOf(size_t aCount)
{
  Membership membership{ 1, {} };
  for (size_t i = 0; i < aCount; ++i) {
    membership.members_.push_back({ IdOf(i), VotingRole::Voter, "", "" });
  }
  StoredState state;
  state.hardState_.term_ = 3;
  state.entries_.push_back(
    { 1, 1, EntryKind::Membership, EncodeMembership(membership) });
  state.entries_.push_back({ 2, 2, EntryKind::Command, "old" });
  return state;
}

/// Drives one node whose writes are synced at once.
struct Driver
{
  ConsensusNode node_;
  TimePoint now_{};

  ConsensusOutput Run()
  {
    ConsensusOutput all;
    for (;;) {
      ConsensusOutput output = node_.TakeOutput();
      if (output.IsEmpty()) {
        return all;
      }
      node_.OnSynced(output.writeSequence_, now_);
      for (ConsensusMessage& message : output.messages_) {
        all.messages_.push_back(std::move(message));
      }
      for (LogEntry& entry : output.committedEntries_) {
        all.committedEntries_.push_back(std::move(entry));
      }
      all.confirmedReads_ = output.confirmedReads_;
      all.failedReads_ = output.failedReads_;
    }
  }

  ConsensusOutput Receive(size_t aFrom, Term aTerm, MessageBody aBody)
  {
    node_.Receive({ 1, IdOf(aFrom), node_.Self(), aTerm, std::move(aBody) },
                  now_);
    return Run();
  }

  /// Makes the node the leader of term 4: a pre-vote and a vote with three of
  /// five voters.
  void Elect()
  {
    now_ += seconds(10);
    node_.Tick(now_);
    Run();
    Receive(1, 4, VoteReply{ true, true });
    Receive(2, 4, VoteReply{ true, true });
    Receive(1, 4, VoteReply{ false, true });
    Receive(2, 4, VoteReply{ false, true });
  }
};

Driver MakeDriver(ConsensusSettings aSettings = {}, size_t aCount = 5)
{
  return { ConsensusNode(aSettings, IdOf(0), StateOf(aCount), 1, TimePoint{}) };
}

} // namespace

TEST_CASE("an entry of an earlier term is not committed by counting replicas")
{
  struct Row
  {
    InjectedFault fault_;
    LogIndex commitIndex_;
  };
  const Row rows[] = { { InjectedFault::None, 0 },
                       { InjectedFault::CommitEarlierTerm, 2 } };
  for (const Row& row : rows) {
    CAPTURE(NameOf(row.fault_));
    ConsensusSettings settings;
    settings.fault_ = row.fault_;
    Driver driver = MakeDriver(settings);
    driver.Elect();
    REQUIRE(driver.node_.Role() == ConsensusRole::Leader);
    driver.Receive(1, 4, AppendReply{ true, 2, 0, 0 });
    driver.Receive(2, 4, AppendReply{ true, 2, 0, 0 });
    CHECK(driver.node_.CommitIndex() == row.commitIndex_);
    // Committing an entry of the leader's own term commits both entries.
    driver.Receive(1, 4, AppendReply{ true, 3, 0, 0 });
    driver.Receive(2, 4, AppendReply{ true, 3, 0, 0 });
    CHECK(driver.node_.CommitIndex() == 3);
  }
}

TEST_CASE(
  "an isolated leader steps down after the election timeout and fails its "
  "reads")
{
  Driver driver = MakeDriver();
  driver.Elect();
  const auto read = driver.node_.RequestRead();
  REQUIRE(read.ok());
  CHECK(driver.Run().confirmedReads_.empty());
  driver.now_ += milliseconds(499);
  driver.node_.Tick(driver.now_);
  CHECK(driver.node_.Role() == ConsensusRole::Leader);
  driver.now_ += milliseconds(1);
  driver.node_.Tick(driver.now_);
  CHECK(driver.node_.Role() == ConsensusRole::Follower);
  CHECK(driver.Run().failedReads_ == std::vector<ReadId>{ *read });
  CHECK(KindOf(driver.node_.Propose("x").status()) == ErrorKind::NoQuorum);
}

TEST_CASE(
  "a leader resuming from a pause confirms no read by replies to earlier "
  "rounds")
{
  Driver driver = MakeDriver();
  driver.Elect();
  driver.Receive(1, 4, AppendReply{ true, 3, 0, 0 });
  driver.Receive(2, 4, AppendReply{ true, 3, 0, 0 });
  REQUIRE(driver.node_.RequestRead().ok());
  driver.Run();
  // The leader resumes after 60 s and first receives replies to the round
  // before the read.
  driver.now_ += seconds(60);
  CHECK(
    driver.Receive(1, 4, AppendReply{ true, 3, 0, 0 }).confirmedReads_.empty());
  CHECK(
    driver.Receive(2, 4, AppendReply{ true, 3, 0, 0 }).confirmedReads_.empty());
  CHECK(
    driver.Receive(1, 4, AppendReply{ true, 3, 0, 1 }).confirmedReads_.empty());
  CHECK(
    driver.Receive(2, 4, AppendReply{ true, 3, 0, 1 }).confirmedReads_.size() ==
    1);
}

TEST_CASE("a returning member does not depose a working leader")
{
  Driver driver = MakeDriver();
  driver.Receive(1, 4, AppendRequest{ 2, 2, 0, 0, {} });
  for (const bool isPreVote : { true, false }) {
    CAPTURE(isPreVote);
    const auto output =
      driver.Receive(2, 9, VoteRequest{ isPreVote, false, 99, 9 });
    CHECK(driver.node_.CurrentTerm() == 4);
    for (const ConsensusMessage& message : output.messages_) {
      CHECK_FALSE(std::get<VoteReply>(message.body_).isGranted_);
    }
  }
  // A vote request of a leadership transfer is granted.
  const auto output = driver.Receive(2, 9, VoteRequest{ false, true, 99, 9 });
  REQUIRE(output.messages_.size() == 1);
  CHECK(std::get<VoteReply>(output.messages_[0].body_).isGranted_);
}

TEST_CASE("a vote is sent only after it is synced")
{
  Driver driver = MakeDriver();
  driver.node_.Receive(
    { 1, IdOf(1), IdOf(0), 9, VoteRequest{ false, false, 99, 9 } },
    driver.now_);
  const ConsensusOutput output = driver.node_.TakeOutput();
  CHECK(output.messages_.empty());
  REQUIRE_FALSE(output.writes_.empty());
  driver.node_.OnSynced(output.writeSequence_, driver.now_);
  CHECK(driver.node_.TakeOutput().messages_.size() == 1);
}

TEST_CASE("messages to another incarnation or of another group are dropped")
{
  Driver driver = MakeDriver();
  ConsensusMessage message{
    1, IdOf(1), IdOf(0), 9, VoteRequest{ false, false, 99, 9 }
  };
  message.to_.incarnation_ = Incarnation(1234);
  driver.node_.Receive(message, driver.now_);
  message.to_ = IdOf(0);
  message.group_ = 2;
  driver.node_.Receive(message, driver.now_);
  CHECK(driver.node_.CurrentTerm() == 3);
  CHECK(driver.node_.TakeOutput().IsEmpty());
}

TEST_CASE(
  "only one membership change is pending, and it changes at most one voter")
{
  Driver driver = MakeDriver();
  driver.Elect();
  Membership next = driver.node_.CurrentMembership();
  next.members_.pop_back();
  // No entry of the leader's own term is committed yet.
  CHECK(KindOf(driver.node_.ProposeMembership(next, driver.now_).status()) ==
        ErrorKind::Conflict);
  driver.Receive(1, 4, AppendReply{ true, 3, 0, 0 });
  driver.Receive(2, 4, AppendReply{ true, 3, 0, 0 });
  Membership tooMany = next;
  tooMany.members_.pop_back();
  CHECK(KindOf(driver.node_.ProposeMembership(tooMany, driver.now_).status()) ==
        ErrorKind::InvalidRequest);
  CHECK(driver.node_.ProposeMembership(next, driver.now_).ok());
  next.members_.pop_back();
  CHECK(KindOf(driver.node_.ProposeMembership(next, driver.now_).status()) ==
        ErrorKind::Conflict);
}

TEST_CASE(
  "messages round-trip through the codec, and truncated ones are rejected")
{
  const SnapshotMeta meta{
    7, 2, Membership{ 1, { { IdOf(1), VotingRole::Voter, "a", "b" } } }
  };
  const MessageBody bodies[] = {
    VoteRequest{ true, false, 5, 6 },
    VoteReply{ true, true },
    AppendRequest{ 1, 2, 3, 4, { { 2, 2, EntryKind::Command, "payload" } } },
    AppendReply{ true, 1, 2, 3 },
    SnapshotRequest{ meta, 1, 2, 3, "data" },
    SnapshotReply{ 1, 2, 3 },
    TransferRequest{},
  };
  for (const MessageBody& body : bodies) {
    CAPTURE(body.index());
    const std::string text = EncodeMessage({ 9, IdOf(1), IdOf(2), 8, body });
    const auto message = DecodeMessage(text);
    REQUIRE(message.ok());
    CHECK(message->group_ == 9);
    CHECK(message->from_ == IdOf(1));
    CHECK(message->term_ == 8);
    CHECK(EncodeMessage(*message) == text);
    for (size_t length = 0; length < text.size(); ++length) {
      // Must not crash; some prefixes are valid messages.
      (void)DecodeMessage(std::string_view(text).substr(0, length));
    }
    CHECK_FALSE(DecodeMessage(text.substr(0, text.size() / 2)).ok());
  }
  CHECK(IsEnumTableOrdered<InjectedFault>());
  CHECK(IsEnumTableOrdered<ConsensusRole>());
  CHECK(IsEnumTableOrdered<VotingRole>());
  CHECK(IsEnumTableOrdered<EntryKind>());
}

TEST_CASE("a consensus message without a body is rejected")
{
  flatbuffers::FlatBufferBuilder builder;
  const auto id =
    wire::CreateMemberId(builder, builder.CreateString("control-1"), 7);
  // The generated builder asserts that there is a body, so the table is built
  // field by field.
  const auto start = builder.StartTable();
  builder.AddOffset(wire::Message::VT_FROM, id);
  builder.AddOffset(wire::Message::VT_TO, id);
  builder.AddElement<uint8_t>(wire::Message::VT_BODY_TYPE,
                              static_cast<uint8_t>(wire::Body::VoteReply),
                              0);
  builder.Finish(flatbuffers::Offset<wire::Message>(builder.EndTable(start)));
  CHECK_FALSE(
    DecodeMessage({ reinterpret_cast<const char*>(builder.GetBufferPointer()),
                    builder.GetSize() })
      .ok());
}
