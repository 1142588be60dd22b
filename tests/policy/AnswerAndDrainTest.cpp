#include "policy/DrainPolicy.h"
#include "policy/PartialAnswerPolicy.h"
#include "policy/PolicySettings.h"

#include <doctest/doctest.h>
#include <string>

using namespace foxtail;

namespace {

constexpr TimePoint kStart{};

PartialAnswerInput Query(bool aIsPrompt, uint32_t aAnswered, uint32_t aGivenUp)
{
  PartialAnswerInput input;
  input.isPrompt_ = aIsPrompt;
  input.startedAt_ = kStart;
  input.softDeadline_ = kStart + milliseconds(200);
  input.deadline_ = kStart + milliseconds(1000);
  input.shards_ = 25;
  input.answered_ = aAnswered;
  input.givenUp_ = aGivenUp;
  return input;
}

} // namespace

TEST_CASE("answer: conditions for answering a query")
{
  struct Row
  {
    std::string name_;
    PartialAnswerInput input_;
    int nowMs_;
    AnswerVerdict verdict_;
    int nextDecisionMs_;
  };
  PartialAnswerInput enough = Query(true, 20, 0);
  enough.minCoveragePercent_ = 80;
  PartialAnswerInput tooLittle = Query(true, 19, 0);
  tooLittle.minCoveragePercent_ = 80;
  const Row rows[] = {
    { "all answered", Query(false, 25, 0), 10, AnswerVerdict::Whole, 0 },
    { "all answered, prompt", Query(true, 25, 0), 10, AnswerVerdict::Whole, 0 },
    { "remaining shards given up",
      Query(false, 24, 1),
      10,
      AnswerVerdict::Settled,
      0 },
    { "patient, early", Query(false, 24, 0), 300, AnswerVerdict::Wait, 995 },
    { "patient, response deadline",
      Query(false, 24, 0),
      995,
      AnswerVerdict::Deadline,
      0 },
    { "prompt, early", Query(true, 24, 0), 100, AnswerVerdict::Wait, 200 },
    { "prompt, soft deadline",
      Query(true, 24, 0),
      200,
      AnswerVerdict::SoftDeadline,
      0 },
    { "prompt, no shard at the soft deadline",
      Query(true, 0, 0),
      200,
      AnswerVerdict::Wait,
      995 },
    { "prompt, no shard at the response deadline",
      Query(true, 0, 0),
      996,
      AnswerVerdict::Deadline,
      0 },
    { "prompt, enough coverage", enough, 200, AnswerVerdict::SoftDeadline, 0 },
    { "prompt, not enough coverage", tooLittle, 200, AnswerVerdict::Wait, 995 },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    const auto decision =
      DecideAnswer({}, row.input_, kStart + milliseconds(row.nowMs_));
    CHECK(decision.verdict_ == row.verdict_);
    CHECK(decision.nextDecisionAt_ ==
          kStart + milliseconds(row.nextDecisionMs_));
  }
}

TEST_CASE("drain: which servers get no new requests")
{
  // Times in ms after the start; -1 means never. The announcement is of
  // incarnation 2.
  struct Row
  {
    std::string name_;
    BackendState state_;
    int announced_;
    int marked_;
    uint64_t markedIncarnation_;
    int failed_;
    int now_;
    DrainVerdict verdict_;
  };
  const BackendState ready = BackendState::Ready;
  const Row rows[] = {
    { "ready", ready, 0, -1, 0, -1, 1000, DrainVerdict::TakesWork },
    { "cold",
      BackendState::Starting,
      0,
      -1,
      0,
      -1,
      0,
      DrainVerdict::TakesWork },
    { "announced",
      BackendState::Draining,
      0,
      -1,
      0,
      -1,
      0,
      DrainVerdict::Announced },
    { "marked on a reply", ready, 0, 1, 2, -1, 2, DrainVerdict::Marked },
    { "a delayed announcement does not clear the mark",
      ready,
      900,
      1,
      2,
      -1,
      1000,
      DrainVerdict::Marked },
    { "an announcement after the hold time clears the mark",
      ready,
      5002,
      1,
      2,
      -1,
      5003,
      DrainVerdict::TakesWork },
    { "mark of an earlier incarnation",
      ready,
      0,
      1,
      1,
      -1,
      2,
      DrainVerdict::TakesWork },
    { "no announcements, no failure",
      ready,
      0,
      -1,
      0,
      -1,
      2500,
      DrainVerdict::TakesWork },
    { "failure with recent announcements",
      ready,
      0,
      -1,
      0,
      100,
      1400,
      DrainVerdict::TakesWork },
    { "no announcements, and a failure",
      ready,
      0,
      -1,
      0,
      1600,
      1600,
      DrainVerdict::Silent },
    { "failure, then no announcements",
      ready,
      0,
      -1,
      0,
      100,
      1500,
      DrainVerdict::Silent },
    { "announcement after the failure",
      ready,
      200,
      -1,
      0,
      100,
      2000,
      DrainVerdict::TakesWork },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    const auto at = [](int aMs) { return kStart + milliseconds(aMs); };
    Announcement announcement;
    announcement.state_ = row.state_;
    announcement.incarnation_ = Incarnation(2);
    DrainEvidence evidence;
    evidence.lastAnnouncementAt_ = at(row.announced_);
    evidence.markedIncarnation_ = Incarnation(row.markedIncarnation_);
    if (row.marked_ >= 0) {
      evidence.markedAt_ = at(row.marked_);
    }
    if (row.failed_ >= 0) {
      evidence.failedAt_ = at(row.failed_);
    }
    CHECK(DecideDrain({}, announcement, evidence, at(row.now_)) ==
          row.verdict_);
  }
}

TEST_CASE("settings: each is read, and faults are reported with their paths")
{
  const auto value = boost::json::parse(
    R"({"snapshot":{"settle_ms":7},"replan":{},"replica":{"spill_full":1},)"
    R"("ramp":{},"hedge":{"quantile":2},"retry":{},"in_flight":{},)"
    R"("connection_share":{},"admission":{"concurrency":0},"ejection":{},)"
    R"("partial_answer":{},"drain":{"silense_ms":1}})");
  JsonFaults faults;
  JsonReader reader(value, "", faults);
  const PolicySettings settings = PolicySettings::Read(reader);
  reader.Finish();
  CHECK(settings.snapshot_.settle_ == milliseconds(7));
  std::vector<std::string> paths;
  for (const JsonFault& fault : faults.List()) {
    paths.push_back(fault.path_);
  }
  CHECK(paths == std::vector<std::string>{ "/replica/spill_full",
                                           "/hedge/quantile",
                                           "/admission/concurrency",
                                           "/drain/silense_ms" });
}
