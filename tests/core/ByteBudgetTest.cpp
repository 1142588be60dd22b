#include "core/ByteBudget.h"
#include "core/ConnectionEviction.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace foxtail;

TEST_CASE("peers never hold more bytes than the budget, and all are released")
{
  CHECK(rc::check([] {
    const auto budget = std::make_shared<ByteBudget>(1000);
    {
      std::vector<std::unique_ptr<ByteCharge>> charges;
      for (int i = 0; i < 5; ++i) {
        charges.push_back(std::make_unique<ByteCharge>(budget));
      }
      const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 5), rc::gen::inRange(0, 700)));
      for (const auto& [index, bytes] : steps) {
        const size_t before = charges[index]->Bytes();
        const bool isGranted = charges[index]->TryResize(bytes);
        RC_ASSERT(charges[index]->Bytes() ==
                  (isGranted ? static_cast<size_t>(bytes) : before));
        RC_ASSERT(isGranted || static_cast<size_t>(bytes) > before);
        RC_ASSERT(budget->InUse() <= budget->Limit());
      }
    }
    RC_ASSERT(budget->InUse() == 0U);
  }));
}

TEST_CASE(
  "an answer that exists is charged beyond the budget, and nothing else "
  "is granted until it is released")
{
  const auto budget = std::make_shared<ByteBudget>(100);
  ByteCharge answer(budget);
  answer.Resize(150);
  ByteCharge other(budget);
  CHECK_FALSE(other.TryResize(1));
  CHECK(budget->Excess(1) == 51);
  answer.Resize(0);
  CHECK(other.TryResize(100));
  CHECK(budget->Excess(0) == 0);
}

TEST_CASE("connections that stall are closed before those that make progress")
{
  const TimePoint now = TimePoint{} + seconds(100);
  const TimePoint waiting = now - seconds(2);
  // Index, held bytes, recent bytes, waiting since, whether served.
  const ConnectionProgress sender{ 0, 262143, 90000, waiting, false };
  const ConnectionProgress stalled{ 1, 262143, 0, waiting, false };
  const ConnectionProgress trickling{ 2, 262143, 20, waiting, false };
  const ConnectionProgress small{ 3, 4096, 0, waiting, false };
  const ConnectionProgress fresh{ 4, 262143, 0, now, false };
  const ConnectionProgress served{ 5, 262143, 0, waiting, true };
  const std::vector<ConnectionProgress> all{ sender, stalled, trickling,
                                             small,  fresh,   served };
  struct Row
  {
    const char* name_;
    size_t bytes_;
    std::vector<size_t> chosen_;
  };
  const Row rows[] = {
    { "a descriptor", 0, { 1 } },
    { "one body", 200000, { 1 } },
    { "two bodies", 300000, { 1, 3, 2 } },
    { "more than the slow ones hold", 800000, { 1, 3, 2, 0 } },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    CHECK(ConnectionEviction::Choose(all, row.bytes_, now) == row.chosen_);
  }
  CHECK(ConnectionEviction::Choose({ fresh, served }, 1, now).empty());
}

TEST_CASE("progress is that of the last second at most")
{
  RecentProgress progress;
  const TimePoint begin = TimePoint{} + seconds(100);
  progress.Add(100, begin);
  progress.Add(50, begin + milliseconds(499));
  CHECK(progress.Bytes(begin + milliseconds(499)) == 150);
  CHECK(progress.Bytes(begin + milliseconds(999)) == 150);
  CHECK(progress.Bytes(begin + milliseconds(1000)) == 0);
  progress.Add(7, begin + milliseconds(600));
  CHECK(progress.Bytes(begin + milliseconds(600)) == 157);
  progress.Add(1, begin + seconds(5));
  CHECK(progress.Bytes(begin + seconds(5)) == 1);
}
