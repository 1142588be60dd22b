#include "policy/SlowServerBoard.h"

#include "policy/SlowServerReporter.h"
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
  CHECK(firstPublished <= 700);
  // Published again each 1.5 s, not for each report.
  CHECK(publications <= 6);
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
  SUBCASE("a pause that 20 instances meet, and a long request before and after")
  {
    SlowServerBoard board;
    CHECK_FALSE(Report(board, 30, 0));
    for (int i = 0; i < 20; ++i) {
      CHECK_FALSE(Report(board, i, 600 + i * 15));
    }
    CHECK_FALSE(Report(board, 31, 1500));
  }
  SUBCASE("one instance that lies, and a pause")
  {
    SlowServerBoard board;
    for (int i = 0; i < 30; ++i) {
      CHECK_FALSE(Report(board, 1, i * 60, 30));
    }
    for (int i = 2; i < 20; ++i) {
      CHECK_FALSE(Report(board, i, 1800 + i * 10));
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
  Report(board, 1, 0, 4);
  Report(board, 2, 100, 1000);
  Report(board, 3, 550, 4);
  CHECK(Report(board, 4, 600, 5));
  REQUIRE(board.PublishedSince(0, kStart + seconds(1)).size() == 1);
  CHECK(board.PublishedSince(0, kStart + seconds(1))[0].ratio_ == 5);
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
  const bool holds =
    rc::check("each publication has four recent reporters", [] {
      SlowServerBoard board;
      const auto reports =
        *rc::gen::container<std::vector<std::pair<int, int>>>(
          rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(0, 400)));
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
            recent += now - at <= seconds(2) ? 1 : 0;
          }
          RC_ASSERT(recent >= 4);
          RC_ASSERT(now - kStart >= milliseconds(400));
        }
      }
    });
  CHECK(holds);
}

TEST_CASE("slow servers: an instance that is slow itself reports none")
{
  struct Row
  {
    const char* name_;
    /// Slow requests of each 20.
    int slow_;
    bool isReported_;
  };
  const Row rows[] = {
    { "no slow server", 0, false },
    { "three of 20 servers are slow", 3, true },
    { "the instance's link is full: most replies are late", 12, false },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    int reports = 0;
    SlowServerReporter reporter;
    reporter.SetCallback([&](const SlowServerReport&) { ++reports; });
    for (int i = 0; i < 400; ++i) {
      const bool isSlow = i % 20 < row.slow_;
      const int before = reports;
      reporter.OnLatency({ kServer, isSlow ? 8.0 : 1.0, kStart });
      // After the first requests, the part of slow ones is known.
      if (i >= 200 && isSlow) {
        CHECK((reports > before) == row.isReported_);
      }
    }
    CHECK((reports > 0) == (row.slow_ > 0));
  }
}
