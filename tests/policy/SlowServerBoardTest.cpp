#include "policy/SlowServerBoard.h"

#include "policy/SlownessEstimator.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace foxtail;

namespace {

const TimePoint kStart{ seconds(100) };
const BackendId kServer("i-1");

InstanceId Reporter(int aNumber)
{
  return InstanceId("entry-" + std::to_string(aNumber));
}

/// Reports a request that was sent @p aSentMs after the start and reported
/// 200 ms later.
bool Report(SlowServerBoard& aBoard,
            int aReporter,
            int aSentMs,
            double aRatio = 10)
{
  const TimePoint sentAt = kStart + milliseconds(aSentMs);
  return aBoard.OnReport(Reporter(aReporter),
                         { kServer, aRatio, sentAt },
                         sentAt + milliseconds(200));
}

} // namespace

TEST_CASE("slow servers: met by 50 instances at 0.3 requests/s each")
{
  // A zone of 50 instances sends the server 16 requests a second for 8 s.
  SlowServerBoard board;
  int firstPublished = -1;
  int publications = 0;
  for (int i = 0; i < 128; ++i) {
    const int sentMs = i * 62;
    if (Report(board, i % 50, sentMs)) {
      firstPublished = firstPublished < 0 ? sentMs : firstPublished;
      ++publications;
    }
  }
  CHECK(firstPublished >= 400);
  CHECK(firstPublished <= 600);
  // Published again each second, not for each report.
  CHECK(publications <= 9);
  const TimePoint end = kStart + seconds(8);
  REQUIRE(board.PublishedSince(0, end).size() == 1);
  CHECK(board.PublishedSince(0, end)[0].ratio_ == 10);
  CHECK(board.PublishedSince(board.Revision(), end).empty());
  CHECK(board.PublishedSince(0, end + seconds(4)).empty());
}

TEST_CASE("slow servers: what does not take a healthy server out")
{
  SUBCASE("a pause of 300 ms that 20 instances meet")
  {
    SlowServerBoard board;
    for (int i = 0; i < 20; ++i) {
      CHECK_FALSE(Report(board, i, i * 15));
    }
  }
  SUBCASE("pauses 6 s apart")
  {
    SlowServerBoard board;
    for (int pause = 0; pause < 5; ++pause) {
      for (int i = 0; i < 4; ++i) {
        CHECK_FALSE(Report(board, i, pause * 6000 + i * 60));
      }
    }
  }
  SUBCASE("one instance that lies without end")
  {
    SlowServerBoard board;
    for (int i = 0; i < 100; ++i) {
      CHECK_FALSE(Report(board, 1, i * 100, 30));
    }
  }
  SUBCASE("reports of requests sent long ago, or in the future")
  {
    SlowServerBoard board;
    const TimePoint now = kStart + seconds(10);
    CHECK_FALSE(board.OnReport(Reporter(1), { kServer, 9, kStart }, now));
    CHECK_FALSE(
      board.OnReport(Reporter(2), { kServer, 9, now + seconds(1) }, now));
    CHECK(board.PublishedSince(0, now).empty());
  }
}

TEST_CASE("slow servers: a lying instance cannot raise the ratio")
{
  SlowServerBoard board;
  Report(board, 1, 0, 1000);
  CHECK(Report(board, 2, 500, 4));
  REQUIRE(board.PublishedSince(0, kStart + seconds(1)).size() == 1);
  CHECK(board.PublishedSince(0, kStart + seconds(1))[0].ratio_ == 4);
}

TEST_CASE("slow servers: a shared report fades, and own replies outrank it")
{
  SlownessEstimator estimator;
  estimator.OnShared(10, kStart);
  CHECK(estimator.Slowness(kStart + milliseconds(600)) > 5);
  CHECK(estimator.Slowness(kStart + seconds(10)) < 1.5);
  // The server has recovered: the first typical reply to a later request.
  estimator.OnReply(1, kStart + seconds(1), kStart + milliseconds(1020));
  CHECK(estimator.Slowness(kStart + milliseconds(1030)) < 1.5);
}

TEST_CASE("slow servers: never confirmed by fewer instances than required")
{
  const bool holds = rc::check("each publication has two recent reporters", [] {
    SlowServerBoard board;
    const auto reports = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(0, 900)));
    std::map<int, TimePoint> last;
    TimePoint now = kStart;
    for (const auto& [reporter, step] : reports) {
      now += milliseconds(step);
      const bool isPublished =
        board.OnReport(Reporter(reporter), { kServer, 5, now }, now);
      last[reporter] = now;
      if (isPublished) {
        int recent = 0;
        for (const auto& [other, at] : last) {
          recent += now - at <= seconds(3) ? 1 : 0;
        }
        RC_ASSERT(recent >= 2);
        RC_ASSERT(now - kStart >= milliseconds(400));
      }
    }
  });
  CHECK(holds);
}
