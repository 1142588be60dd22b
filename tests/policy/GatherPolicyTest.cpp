#include "policy/GatherPolicy.h"

#include <doctest/doctest.h>

using namespace foxtail;

namespace {

const TimePoint kStart{ seconds(10) };
const TimePoint kObjective = kStart + milliseconds(200);
const TimePoint kFinal = kStart + milliseconds(2000);

} // namespace

TEST_CASE("gather: number of shards required for a success")
{
  CHECK(RequiredShards(10, 0.89) == 9);
  CHECK(RequiredShards(15, 0.89) == 14);
  CHECK(RequiredShards(100, 0.89) == 89);
  CHECK(RequiredShards(10, 0.75) == 8);
  CHECK(RequiredShards(10, 0) == 1);
  CHECK(RequiredShards(10, 1) == 10);
  CHECK(RequiredShards(36, 0.95) == 35);
}

TEST_CASE("gather: when a query is answered")
{
  struct Row
  {
    const char* name_;
    uint32_t answered_;
    uint32_t givenUp_;
    milliseconds at_;
    GatherVerdict verdict_;
  };
  const Row rows[] = {
    { "no shard answered", 0, 0, milliseconds(10), GatherVerdict::Wait },
    { "all answered, early",
      10,
      0,
      milliseconds(10),
      GatherVerdict::AnswerWhole },
    { "all answered, late",
      10,
      0,
      milliseconds(900),
      GatherVerdict::AnswerWhole },
    { "enough answered, the last one may be in time",
      9,
      0,
      milliseconds(100),
      GatherVerdict::Wait },
    { "enough answered, the last one failed",
      9,
      1,
      milliseconds(100),
      GatherVerdict::AnswerPartial },
    { "enough answered at the objective",
      9,
      0,
      milliseconds(200),
      GatherVerdict::AnswerPartial },
    { "too few answered at the objective",
      8,
      0,
      milliseconds(200),
      GatherVerdict::Wait },
    { "enough answered after the objective",
      9,
      0,
      milliseconds(400),
      GatherVerdict::AnswerPartial },
    { "too few can still answer: fail at once",
      3,
      2,
      milliseconds(10),
      GatherVerdict::Fail },
    { "too few answered at the deadline",
      8,
      0,
      milliseconds(2000),
      GatherVerdict::Fail },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    const GatherProgress progress{ 10,   row.answered_, row.givenUp_,
                                   0.89, kObjective,    kFinal };
    const TimePoint now = kStart + row.at_;
    CHECK(EvaluateGather(progress, now) == row.verdict_);
    // While the verdict is Wait, the next evaluation lies ahead, so that no
    // decision by time alone is missed.
    if (row.verdict_ == GatherVerdict::Wait) {
      CHECK(NextGatherEvaluation(progress, now) > now);
    }
  }
}

TEST_CASE(
  "gather: shards whose servers refuse connections, as after a power loss")
{
  struct Row
  {
    const char* name_;
    uint32_t answered_;
    uint32_t refused_;
    milliseconds at_;
    GatherVerdict verdict_;
  };
  const Row rows[] = {
    { "too few without them: wait, also after the objective",
      7,
      3,
      milliseconds(400),
      GatherVerdict::Wait },
    { "enough without them: answer at once",
      9,
      1,
      milliseconds(30),
      GatherVerdict::AnswerPartial },
    { "another shard is still outstanding",
      9,
      0,
      milliseconds(30),
      GatherVerdict::Wait },
    { "too few at the deadline",
      7,
      3,
      milliseconds(2000),
      GatherVerdict::Fail },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    const GatherProgress progress{ 10,         row.answered_, 0,           0.89,
                                   kObjective, kFinal,        row.refused_ };
    CHECK(EvaluateGather(progress, kStart + row.at_) == row.verdict_);
  }
}
