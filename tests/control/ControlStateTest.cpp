#include "control/ControlState.h"
#include "control/control_generated.h"

#include <doctest/doctest.h>
#include <limits>
#include <rapidcheck.h>

using namespace foxtail;

namespace {

constexpr milliseconds kRetention{ 1000 };

ClaimRequest ClaimOf(const std::string& aKey, uint64_t aBody = 1)
{
  return { ServiceName("proof"), aKey, aBody, RequestId("request") };
}

ClaimAction Claim(const std::string& aKey, uint64_t aGrant, uint64_t aBody = 1)
{
  return { ClaimOf(aKey, aBody), GrantId(aGrant), kRetention };
}

RecordAction Record(const std::string& aKey, uint64_t aGrant)
{
  return { ClaimOf(aKey), GrantId(aGrant), { 201, "answer" } };
}

ReleaseAction Release(const std::string& aKey, uint64_t aGrant)
{
  return { ClaimOf(aKey), GrantId(aGrant), kRetention };
}

ChangeDocument Change(const std::string& aId,
                      uint64_t aBase,
                      const std::string& aText = "{}")
{
  return { ChangeId(aId), DocumentVersion(aBase), aText, "ada" };
}

RecordDeparture Departure(const std::string& aId,
                          uint64_t aStartedAt,
                          uint64_t aSequence,
                          ServerPhase aPhase)
{
  ServerAnnouncement announcement;
  announcement.id_ = BackendId(aId);
  announcement.service_ = ServiceName("proofs");
  announcement.address_ = "127.0.0.1:9";
  announcement.zone_ = ZoneName("zone-a");
  announcement.slots_ = 4;
  announcement.phase_ = aPhase;
  announcement.startedAtMs_ = aStartedAt;
  announcement.sequence_ = aSequence;
  return { announcement };
}

CommandResult Apply(ControlState& aState, CommandBody aBody, int64_t aTime = 1)
{
  return aState.Apply({ milliseconds(aTime), std::move(aBody) });
}

ChangeResult ApplyChange(ControlState& aState, ChangeDocument aChange)
{
  return std::get<ChangeResult>(Apply(aState, std::move(aChange)));
}

/// @return the state of a claim, or applied/refused for a record or release.
std::string Outcome(const CommandResult& aResult)
{
  if (const auto* claim = std::get_if<ClaimResult>(&aResult)) {
    return std::string(NameOf(claim->state_));
  }
  if (std::holds_alternative<DepartureRecorded>(aResult)) {
    return "recorded";
  }
  return std::get<ClaimUpdateResult>(aResult).isApplied_ ? "applied"
                                                         : "refused";
}

CommandBody DrawBody()
{
  const auto key = "key " + std::to_string(*rc::gen::inRange(0, 6));
  const auto grant = *rc::gen::inRange<uint64_t>(0, 4);
  switch (*rc::gen::inRange(0, 5)) {
    case 0:
      return Claim(key, grant, *rc::gen::inRange<uint64_t>(1, 3));
    case 1:
      return Record(key, grant);
    case 2:
      return Release(key, grant);
    case 3:
      return Departure(
        key,
        grant,
        *rc::gen::inRange<uint64_t>(0, 4),
        *rc::gen::element(ServerPhase::Draining, ServerPhase::Gone));
    default:
      return Change("change " + std::to_string(*rc::gen::inRange(0, 9)),
                    *rc::gen::inRange<uint64_t>(0, 6),
                    "{\"n\":" + std::to_string(grant) + "}");
  }
}

} // namespace

TEST_CASE(
  "compare-and-set accepts one of two changes on the same base version, "
  "and a resend gets its first result")
{
  ControlState state;
  const ChangeResult first = ApplyChange(state, Change("a", 0, "A"));
  CHECK(first == ChangeResult{ ChangeOutcome::Accepted, DocumentVersion(1) });
  const ChangeResult conflict = ApplyChange(state, Change("b", 0, "B"));
  CHECK(conflict ==
        ChangeResult{ ChangeOutcome::Conflict, DocumentVersion(1) });
  CHECK(ApplyChange(state, Change("c", 1, "C")).version_ == DocumentVersion(2));
  // A resend of either change gets its first result.
  CHECK(ApplyChange(state, Change("a", 0, "A")) == first);
  CHECK(ApplyChange(state, Change("b", 0, "B")) == conflict);
  CHECK(*state.Documents().Text() == "C");
  CHECK(ApplyChange(state, Change("a", 2, "other")).outcome_ ==
        ChangeOutcome::IdReused);
  CHECK(state.Documents().History().size() == 2);
}

TEST_CASE("the ledger bounds the results, history and texts that it keeps")
{
  ControlState state;
  const uint64_t changes = DocumentLedger::kMaxResults + 10;
  for (uint64_t i = 0; i < changes; ++i) {
    ApplyChange(state, Change("change " + std::to_string(i), i));
  }
  CHECK(state.Documents().Results().size() == DocumentLedger::kMaxResults);
  CHECK(state.Documents().History().size() ==
        DocumentLedger::kMaxHistoryEntries);
  const auto& history = state.Documents().History();
  CHECK(history[history.size() - DocumentLedger::kMaxTexts].text_ != nullptr);
  CHECK(history[history.size() - DocumentLedger::kMaxTexts - 1].text_ ==
        nullptr);
  // A change id whose result was dropped is decided by its base version, so the
  // change is not applied twice.
  CHECK(ApplyChange(state, Change("change 0", 0)).outcome_ ==
        ChangeOutcome::Conflict);
  CHECK(ApplyChange(state, Change("change 100", 100)).outcome_ ==
        ChangeOutcome::Accepted);
  CHECK(state.Documents().Version() == DocumentVersion(changes));
}

TEST_CASE("a claim is granted once until it is released or expires")
{
  struct Row
  {
    const char* name_;
    std::vector<CommandBody> before_;
    int64_t time_;
    CommandBody last_;
    const char* outcome_;
  };
  const Row rows[] = {
    { "first", {}, 1, Claim("k", 1), "granted" },
    { "another key", { Claim("j", 1) }, 1, Claim("k", 1), "granted" },
    { "resend by the caller under a new grant",
      { Claim("k", 1) },
      1,
      Claim("k", 2),
      "unknown" },
    { "retry under the same grant after a lost reply",
      { Claim("k", 1) },
      1,
      Claim("k", 1),
      "granted" },
    { "another body", { Claim("k", 1) }, 1, Claim("k", 2, 9), "mismatch" },
    { "after the record",
      { Claim("k", 1), Record("k", 1) },
      1,
      Claim("k", 2),
      "recorded" },
    { "record of another grant",
      { Claim("k", 1) },
      1,
      Record("k", 2),
      "refused" },
    { "record without a claim", {}, 1, Record("k", 1), "refused" },
    { "record after the release",
      { Claim("k", 1), Release("k", 1) },
      1,
      Record("k", 1),
      "refused" },
    { "after the release",
      { Claim("k", 1), Release("k", 1) },
      1,
      Claim("k", 2),
      "granted" },
    { "delayed copy of a released claim",
      { Claim("k", 1), Release("k", 1) },
      1,
      Claim("k", 1),
      "unknown" },
    { "claim received after its own release",
      { Release("k", 1) },
      1,
      Claim("k", 1),
      "unknown" },
    { "release of another's grant",
      { Claim("k", 1) },
      1,
      Release("k", 2),
      "refused" },
    { "release after the record",
      { Claim("k", 1), Record("k", 1) },
      1,
      Release("k", 1),
      "refused" },
    { "just before the retention ends",
      { Claim("k", 1) },
      1000,
      Claim("k", 2),
      "unknown" },
    { "after the retention",
      { Claim("k", 1) },
      1001,
      Claim("k", 2),
      "granted" },
    { "record after the retention",
      { Claim("k", 1) },
      1001,
      Record("k", 1),
      "refused" },
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name_));
    ControlState state;
    for (const CommandBody& body : row.before_) {
      Apply(state, body, 1);
    }
    CHECK(Outcome(Apply(state, row.last_, row.time_)) == row.outcome_);
  }
}

TEST_CASE("the first recorded answer is kept, and log time never decreases")
{
  ControlState state;
  Apply(state, Claim("k", 1), 500);
  Apply(state, Record("k", 1), 500);
  RecordAction second = Record("k", 1);
  second.record_.body_ = "another answer";
  Apply(state, second, 500);
  const auto result = std::get<ClaimResult>(Apply(state, Claim("k", 2), 100));
  CHECK(result.state_ == ClaimState::Recorded);
  CHECK(result.record_.body_ == "answer");
  CHECK(result.record_.httpStatus_ == 201);
  CHECK(state.LogTime() == milliseconds(500));
}

TEST_CASE("expired claims are removed as new claims are applied")
{
  ControlState state;
  for (int i = 0; i < 1000; ++i) {
    Apply(state, Claim("old " + std::to_string(i), 1), 1);
  }
  CHECK(state.Claims().Size() == 1000);
  for (int i = 0; i < 1000; ++i) {
    Apply(state, Claim("new " + std::to_string(i), 1), 5000);
  }
  CHECK(state.Claims().Size() == 1000);
}

TEST_CASE(
  "a state restored from a snapshot gives the same results as the original")
{
  CHECK(rc::check([] {
    ControlState original;
    int64_t time = 1;
    const auto count = *rc::gen::inRange(0, 60);
    for (int i = 0; i < count; ++i) {
      time += *rc::gen::inRange(0, 300);
      Apply(original, DrawBody(), time);
    }
    ControlState restored;
    RC_ASSERT(restored.Restore(original.TakeSnapshot().Encode()).ok());
    RC_ASSERT(restored.Claims().Size() == original.Claims().Size());
    for (int i = 0; i < 40; ++i) {
      time += *rc::gen::inRange(0, 300);
      const CommandBody body = DrawBody();
      const CommandResult left = Apply(original, body, time);
      const CommandResult right = Apply(restored, body, time);
      RC_ASSERT(left.index() == right.index());
      if (const auto* change = std::get_if<ChangeResult>(&left)) {
        RC_ASSERT(*change == std::get<ChangeResult>(right));
      } else {
        RC_ASSERT(Outcome(left) == Outcome(right));
      }
      RC_ASSERT(restored.Claims().Size() == original.Claims().Size());
    }
    RC_ASSERT(*restored.Documents().Text() == *original.Documents().Text());
    RC_ASSERT(restored.TakeSnapshot().Encode() ==
              original.TakeSnapshot().Encode());
  }));
}

TEST_CASE("a snapshot does not change with later commands")
{
  ControlState state;
  Apply(state, Claim("k", 1));
  ApplyChange(state, Change("a", 0, "A"));
  const ControlStateSnapshot snapshot = state.TakeSnapshot();
  const std::string before = snapshot.Encode();
  Apply(state, Record("k", 1));
  Apply(state, Claim("j", 1));
  ApplyChange(state, Change("b", 1, "B"));
  CHECK(snapshot.Encode() == before);
  CHECK(state.TakeSnapshot().Encode() != before);
}

TEST_CASE("commands decode to the same bytes, and truncated input is refused")
{
  const CommandBody bodies[] = { Change("a", 3, "text"),
                                 Claim("k", 7),
                                 Record("k", 7),
                                 Release("k", 7),
                                 Departure("i-1", 5, 6, ServerPhase::Gone) };
  for (const CommandBody& body : bodies) {
    CAPTURE(body.index());
    const std::string text = EncodeCommand({ milliseconds(5), body });
    const auto command = DecodeCommand(text);
    REQUIRE(command.ok());
    CHECK(command->time_ == milliseconds(5));
    CHECK(EncodeCommand(*command) == text);
    CHECK_FALSE(DecodeCommand(text.substr(0, text.size() / 2)).ok());
  }
  ControlState state;
  CHECK_FALSE(state.Restore("no snapshot").ok());
  CHECK(IsEnumTableOrdered<ChangeOutcome>());
  CHECK(IsEnumTableOrdered<ClaimPhase>());
}

TEST_CASE(
  "a document with its own version is accepted only if the version is higher "
  "than the current one")
{
  struct Row
  {
    const char* name_;
    uint64_t version_;
    const char* text_;
    ChangeOutcome outcome_;
    uint64_t currentVersion_;
    const char* currentText_;
  };
  const Row rows[] = {
    { "the first", 7, "a", ChangeOutcome::Accepted, 7, "a" },
    { "sent again", 7, "a", ChangeOutcome::NotNewer, 7, "a" },
    { "other text under the current version",
      7,
      "b",
      ChangeOutcome::NotNewer,
      7,
      "a" },
    { "a lower version, delayed", 3, "c", ChangeOutcome::NotNewer, 7, "a" },
    { "a higher version that skips some",
      90,
      "d",
      ChangeOutcome::Accepted,
      90,
      "d" },
    { "sent again after a higher version",
      7,
      "a",
      ChangeOutcome::NotNewer,
      90,
      "d" },
  };
  ControlState state;
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    const auto result = std::get<ChangeResult>(
      Apply(state, AdoptDocument{ DocumentVersion(row.version_), row.text_ }));
    CHECK(result.outcome_ == row.outcome_);
    CHECK(result.version_ == DocumentVersion(row.currentVersion_));
    CHECK(state.Documents().Version() == DocumentVersion(row.currentVersion_));
    CHECK(*state.Documents().Text() == row.currentText_);
  }
}

// A first document of version 0 was acknowledged and not kept.
TEST_CASE("a document with its own version keeps it through the encodings of "
          "commands and snapshots")
{
  for (const uint64_t number : { uint64_t{ 0 },
                                 uint64_t{ 41 },
                                 std::numeric_limits<uint64_t>::max() }) {
    CAPTURE(number);
    const DocumentVersion version(number);
    const auto decoded = DecodeCommand(
      EncodeCommand({ milliseconds(5), AdoptDocument{ version, "routes" } }));
    REQUIRE(decoded.ok());
    ControlState state;
    ControlState restored;
    REQUIRE(restored.Restore(state.TakeSnapshot().Encode()).ok());
    const auto first = std::get<ChangeResult>(restored.Apply(*decoded));
    CHECK(first.outcome_ == ChangeOutcome::Accepted);
    CHECK(first.version_ == version);
    REQUIRE(state.Restore(restored.TakeSnapshot().Encode()).ok());
    CHECK(state.Documents().Version() == version);
    CHECK(*state.Documents().Text() == "routes");
    CHECK(state.Documents().History().size() == 1);
    const auto again = std::get<ChangeResult>(state.Apply(*decoded));
    CHECK(again.outcome_ == ChangeOutcome::NotNewer);
    CHECK(again.version_ == version);
  }
}

TEST_CASE("a document with many routes is compressed in the log")
{
  std::string text;
  for (int i = 0; i < 350; ++i) {
    text += R"({"name":"route-)" + std::to_string(i) +
            R"(","host":"shop.example","timeout_ms":2500,"shards":["a","b"]})";
  }
  const Command command{ milliseconds(5),
                         AdoptDocument{ DocumentVersion(41), text } };
  const std::string bytes = EncodeCommand(command);
  CHECK(bytes.size() * 4 < text.size());
  const auto decoded = DecodeCommand(bytes);
  REQUIRE(decoded.ok());
  CHECK(std::get<AdoptDocument>(decoded->body_).text_ == text);
  CHECK(rc::check("a damaged command is refused or decoded, and never crashes",
                  [&] {
                    std::string damaged = bytes;
                    damaged[*rc::gen::inRange<size_t>(0, bytes.size())] =
                      *rc::gen::arbitrary<char>();
                    (void)DecodeCommand(damaged);
                  }));
}

TEST_CASE("an uncompressed document in a log of an earlier release is decoded")
{
  flatbuffers::FlatBufferBuilder builder;
  const auto text = builder.CreateString("routes");
  const auto body = wire::CreateAdoptDocument(builder, 7, text).Union();
  builder.Finish(
    wire::CreateCommand(builder, 5, wire::CommandBody::AdoptDocument, body));
  const auto decoded =
    DecodeCommand({ reinterpret_cast<const char*>(builder.GetBufferPointer()),
                    builder.GetSize() });
  REQUIRE(decoded.ok());
  CHECK(std::get<AdoptDocument>(decoded->body_).text_ == "routes");
}

TEST_CASE("the latest departure of each server is kept for its retention")
{
  ControlState state;
  const auto phaseOf = [&](const char* aId) -> std::string {
    const auto& rows = state.Departures().GetRows();
    const auto found = rows.find(BackendId(aId));
    return found == rows.end()
             ? "none"
             : std::string(NameOf(found->second.announcement_.phase_));
  };
  Apply(state, Departure("a", 10, 4, ServerPhase::Draining), 1000);
  CHECK(phaseOf("a") == "draining");
  Apply(state, Departure("a", 10, 9, ServerPhase::Gone), 2000);
  Apply(state, Departure("a", 10, 5, ServerPhase::Draining), 3000);
  CHECK(phaseOf("a") == "gone");
  Apply(state, Departure("a", 20, 1, ServerPhase::Draining), 4000);
  Apply(state, Departure("a", 10, 9, ServerPhase::Gone), 5000);
  CHECK(phaseOf("a") == "draining");
  const int64_t retention = DepartureTable::kRetention.count();
  Apply(state, Departure("b", 1, 1, ServerPhase::Gone), 4000 + retention);
  CHECK(phaseOf("a") == "draining");
  Apply(state, Departure("b", 1, 1, ServerPhase::Gone), 4001 + retention);
  CHECK(phaseOf("a") == "none");
  CHECK(phaseOf("b") == "gone");
}

TEST_CASE("a snapshot of an earlier release holds no departures")
{
  flatbuffers::FlatBufferBuilder builder;
  const auto text = builder.CreateString("{}");
  const auto changes =
    builder.CreateVector(std::vector<flatbuffers::Offset<wire::ChangeRow>>());
  const auto history =
    builder.CreateVector(std::vector<flatbuffers::Offset<wire::HistoryRow>>());
  const auto claims =
    builder.CreateVector(std::vector<flatbuffers::Offset<wire::ClaimRow>>());
  builder.Finish(
    wire::CreateControlSnapshot(builder, 7, 3, text, changes, history, claims));
  ControlState state;
  REQUIRE(
    state
      .Restore({ reinterpret_cast<const char*>(builder.GetBufferPointer()),
                 builder.GetSize() })
      .ok());
  CHECK(state.Documents().Version() == DocumentVersion(3));
  CHECK(state.Departures().GetRows().empty());
}

TEST_CASE("a departure whose phase is not one of a leaving server is refused")
{
  const std::string text = EncodeCommand(
    { milliseconds(5), Departure("i-1", 5, 6, ServerPhase::Ready) });
  CHECK_FALSE(DecodeCommand(text).ok());
}

TEST_CASE("a command without a body is refused")
{
  flatbuffers::FlatBufferBuilder builder;
  // Built by hand because the generated builder asserts that there is a body.
  const auto start = builder.StartTable();
  builder.AddElement<uint8_t>(
    wire::Command::VT_BODY_TYPE,
    static_cast<uint8_t>(wire::CommandBody::AdoptDocument),
    0);
  builder.Finish(flatbuffers::Offset<wire::Command>(builder.EndTable(start)));
  CHECK_FALSE(
    DecodeCommand({ reinterpret_cast<const char*>(builder.GetBufferPointer()),
                    builder.GetSize() })
      .ok());
}
