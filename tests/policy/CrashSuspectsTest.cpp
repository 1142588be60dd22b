#include "policy/CrashSuspects.h"

#include <doctest/doctest.h>
#include <string>

using namespace foxtail;

namespace {

constexpr TimePoint kStart{ seconds(1000) };
const RequestFingerprint kRequest(1);

/// Attempt of the request that was sent and ended at these times after kStart.
struct Attempt
{
  const char* server_;
  milliseconds sentAt_;
  milliseconds endedAt_;
  /// Whether the server replied; else it crashed.
  bool isAnswered_ = false;
  bool hasReachedServer_ = true;
};

RequestCrash CrashOf(const Attempt& aAttempt)
{
  return { kRequest,
           BackendId(aAttempt.server_),
           7,
           kStart + aAttempt.sentAt_,
           kStart + aAttempt.endedAt_,
           aAttempt.hasReachedServer_ };
}

void Play(CrashSuspects& aSuspects, const std::vector<Attempt>& aAttempts)
{
  for (const Attempt& attempt : aAttempts) {
    const TimePoint endedAt = kStart + attempt.endedAt_;
    if (attempt.isAnswered_) {
      aSuspects.OnAnswered(kRequest, endedAt);
    } else {
      aSuspects.OnUnanswered(kRequest, endedAt);
      aSuspects.OnCrash(CrashOf(attempt), endedAt);
    }
  }
}

std::optional<SuspectTreatment> TreatmentAt(
  const CrashSuspects& aSuspects,
  Duration aAt,
  RequestFingerprint aRequest = kRequest)
{
  const auto found = aSuspects.Find(aRequest, kStart + aAt);
  return found ? std::optional(found->treatment_) : std::nullopt;
}

} // namespace

TEST_CASE("which requests are blamed for crashes of servers")
{
  using std::chrono::milliseconds;
  struct Row
  {
    const char* name_;
    std::vector<Attempt> attempts_;
    std::optional<SuspectTreatment> before_;
    std::optional<SuspectTreatment> afterReview_;
  };
  constexpr auto kProbe = SuspectTreatment::Probe;
  constexpr auto kRefuse = SuspectTreatment::Refuse;
  constexpr auto kSend = std::nullopt;
  const auto at = [](int aMs) { return milliseconds(aMs); };
  const Row rows[] = {
    { "three servers in turn",
      { { "a", at(0), at(50) },
        { "b", at(50), at(90) },
        { "c", at(900), at(950) } },
      kRefuse,
      kRefuse },
    { "two servers",
      { { "a", at(0), at(50) }, { "b", at(50), at(90) } },
      kSend,
      kSend },
    { "many servers that crash together, as in a loss of power",
      { { "a", at(0), at(50) },
        { "b", at(0), at(50) },
        { "c", at(0), at(50) },
        { "d", at(0), at(51) } },
      kProbe,
      kSend },
    { "the same, and a retry that crashes one more",
      { { "a", at(0), at(50) },
        { "b", at(0), at(50) },
        { "c", at(0), at(50) },
        { "d", at(50), at(99) } },
      kRefuse,
      kRefuse },
    { "the same, and retries to servers that had crashed too",
      { { "a", at(0), at(50) },
        { "b", at(0), at(50) },
        { "c", at(0), at(50) },
        { "d", at(50), at(50), false, false },
        { "e", at(52), at(71), false, false } },
      kProbe,
      kSend },
    { "the same, and a retry that is replied to",
      { { "a", at(0), at(50) },
        { "b", at(0), at(50) },
        { "c", at(0), at(50) },
        { "e", at(50), at(80), true },
        { "d", at(50), at(99) } },
      kSend,
      kSend },
    { "one server that crashes again and again is known once",
      { { "a", at(0), at(50) },
        { "a", at(50), at(90) },
        { "a", at(99), at(120) } },
      kSend,
      kSend },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    CrashSuspects suspects;
    Play(suspects, row.attempts_);
    CHECK(TreatmentAt(suspects, milliseconds(1000)) == row.before_);
    CHECK(suspects.QuarantinedSince(0, kStart + seconds(1)).size() ==
          (row.before_ ? 1 : 0));
    // Later than the probing.
    suspects.Review(kStart + seconds(4));
    CHECK(TreatmentAt(suspects, seconds(4)) == row.afterReview_);
  }
}

TEST_CASE(
  "a reply that arrives before the crash is confirmed clears the request")
{
  CrashSuspects suspects;
  const Attempt lost{ "a", milliseconds(0), milliseconds(50) };
  suspects.OnUnanswered(kRequest, kStart + lost.endedAt_);
  suspects.OnAnswered(kRequest, kStart + milliseconds(70));
  CHECK_FALSE(suspects.OnCrash(CrashOf(lost), kStart + milliseconds(100)));
}

TEST_CASE("the end of a refusal")
{
  CrashSuspectsSettings settings;
  settings.refusal_ = seconds(10);
  CrashSuspects suspects(settings);
  Play(suspects,
       { { "a", milliseconds(0), milliseconds(50) },
         { "b", milliseconds(50), milliseconds(90) },
         { "c", milliseconds(90), milliseconds(99) } });
  suspects.Review(kStart + seconds(1));
  REQUIRE(TreatmentAt(suspects, seconds(10)) == SuspectTreatment::Refuse);
  CHECK_FALSE(TreatmentAt(suspects, seconds(12)));
  SUBCASE("one more crash begins another")
  {
    Play(suspects, { { "d", seconds(12), seconds(13) } });
    CHECK(TreatmentAt(suspects, seconds(14)) == SuspectTreatment::Refuse);
  }
  SUBCASE("a reply ends the suspicion")
  {
    Play(suspects,
         { { "d", seconds(12), seconds(13), true },
           { "e", seconds(14), seconds(15) } });
    CHECK_FALSE(TreatmentAt(suspects, seconds(16)));
  }
}

TEST_CASE("an instance that is alone refuses for long what it blames again")
{
  CrashSuspects suspects;
  Play(suspects,
       { { "a", milliseconds(0), milliseconds(50) },
         { "b", milliseconds(50), milliseconds(90) },
         { "c", milliseconds(90), milliseconds(99) } });
  CHECK(TreatmentAt(suspects, seconds(1)) == SuspectTreatment::Refuse);
  CHECK_FALSE(TreatmentAt(suspects, seconds(3)));
  Play(suspects, { { "d", seconds(3), seconds(4) } });
  CHECK(TreatmentAt(suspects, seconds(100)) == SuspectTreatment::Refuse);
}

TEST_CASE("a quarantine of other instances is taken, for a bounded time")
{
  CrashSuspects suspects;
  const CrashSuspectsSettings settings;
  suspects.Apply(RequestQuarantine{ kRequest, kStart + seconds(9999) }, kStart);
  CHECK(suspects.Find(kRequest, kStart)->until_ == kStart + settings.refusal_);
  const uint64_t revision = suspects.Revision();
  // A report that comes back from other instances is not published again.
  suspects.Apply(RequestQuarantine{ kRequest, kStart + seconds(301) }, kStart);
  CHECK(suspects.Revision() == revision);
}

TEST_CASE("a refusal that is reported again is not extended")
{
  CrashSuspects suspects;
  Play(suspects,
       { { "a", milliseconds(0), milliseconds(50) },
         { "b", milliseconds(50), milliseconds(90) },
         { "c", milliseconds(90), milliseconds(99) } });
  suspects.Review(kStart + seconds(1));
  const TimePoint until = suspects.Find(kRequest, kStart + seconds(1))->until_;
  // A restarted entry instance reports what it received.
  suspects.OnQuarantine({ kRequest, until }, kStart + seconds(100));
  suspects.Review(kStart + seconds(101));
  CHECK(suspects.Find(kRequest, kStart + seconds(101))->until_ == until);
}

TEST_CASE("memory of suspects is bounded and keeps quarantined requests")
{
  CrashSuspectsSettings settings;
  settings.maxRequests_ = 10;
  CrashSuspects suspects(settings);
  suspects.OnQuarantine({ kRequest, kStart + seconds(100) }, kStart);
  for (uint64_t i = 2; i < 100; ++i) {
    suspects.OnUnanswered(RequestFingerprint(i), kStart);
  }
  CHECK(TreatmentAt(suspects, seconds(0)));
}

TEST_CASE("a refused connect distinguishes a crash from a lost connection")
{
  const UnansweredRequest request{ kRequest, kStart, kStart };
  CrashDetector detector;
  detector.OnUnanswered(request, kStart);
  SUBCASE("refused soon")
  {
    CHECK(detector.IsUndecided(kStart + milliseconds(50)));
    CHECK(detector.OnConnectRefused(kStart + milliseconds(60)).size() == 1);
    CHECK(detector.OnConnectRefused(kStart + milliseconds(70)).empty());
  }
  SUBCASE("refused too late")
  {
    CHECK(detector.OnConnectRefused(kStart + seconds(10)).empty());
  }
  SUBCASE("a connection was opened meanwhile")
  {
    detector.OnAlive();
    CHECK(detector.OnConnectRefused(kStart + milliseconds(60)).empty());
  }
}

TEST_CASE("a request that shares its crashes with a worse one is not blamed")
{
  const RequestFingerprint worse(2);
  CrashSuspects suspects;
  const auto crash =
    [&](RequestFingerprint aRequest, int aServer, int aSentMs) {
      const TimePoint sentAt = kStart + milliseconds(aSentMs);
      suspects.OnCrash({ aRequest,
                         BackendId(std::to_string(aServer)),
                         7,
                         sentAt,
                         sentAt + milliseconds(50) },
                       sentAt + milliseconds(60));
    };
  const auto crashWorse = [&] {
    for (int server = 0; server < 6; ++server) {
      crash(worse, server, server < 5 ? 0 : 50);
    }
  };
  const auto crashVictim = [&] {
    for (int server = 0; server < 4; ++server) {
      crash(kRequest, server, server < 2 ? 0 : 50);
    }
  };
  SUBCASE("known before: it is sent as usual")
  {
    crashWorse();
    crashVictim();
    CHECK_FALSE(TreatmentAt(suspects, seconds(1)));
  }
  SUBCASE("known later: its refusal is not extended")
  {
    crashVictim();
    CHECK(TreatmentAt(suspects, seconds(1)) == SuspectTreatment::Refuse);
    crashWorse();
  }
  suspects.Review(kStart + seconds(1));
  CHECK_FALSE(TreatmentAt(suspects, seconds(5)));
  CHECK(TreatmentAt(suspects, seconds(5), worse) == SuspectTreatment::Refuse);
  // Three servers that only this request crashes.
  for (int server = 10; server < 13; ++server) {
    crash(kRequest, server, 3000);
  }
  CHECK(TreatmentAt(suspects, milliseconds(3100)));
}
