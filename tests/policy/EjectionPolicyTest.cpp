#include "policy/EjectionPolicy.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace foxtail;

namespace {

constexpr TimePoint kStart{};
constexpr ShardHealth kWhole{ 3, 0 };

/// @return the failures in a row until it is ejected; 0 when it never is.
int FailuresToEject(FailureKind aKind, const ShardHealth& aShard = kWhole)
{
  const EjectionPolicy policy({});
  RandomSource random(1);
  ReplicaHealth health;
  for (int i = 1; i <= 20; ++i) {
    if (policy.OnFailure(health, aKind, aShard, random, kStart) ==
        EjectionVerdict::Ejected) {
      return i;
    }
  }
  return 0;
}

ReplicaHealth MakeEjected(const EjectionPolicy& aPolicy)
{
  RandomSource random(1);
  ReplicaHealth health;
  for (int i = 0; i < 3; ++i) {
    aPolicy.OnFailure(health, FailureKind::ServerError, kWhole, random, kStart);
  }
  return health;
}

} // namespace

TEST_CASE("ejection: failures in a row, by kind")
{
  struct Row
  {
    FailureKind kind_;
    int failures_;
  };
  const Row rows[] = {
    { FailureKind::ConnectFailed, 3 },   { FailureKind::ConnectionLost, 3 },
    { FailureKind::Timeout, 5 },         { FailureKind::ServerError, 3 },
    { FailureKind::BadReply, 3 },        { FailureKind::RefusedOverloaded, 0 },
    { FailureKind::RefusedDraining, 0 }, { FailureKind::RefusedVersion, 0 },
    { FailureKind::RefusedDeadline, 0 }, { FailureKind::HedgeLost, 5 },
  };
  CHECK(std::size(rows) == EnumTable<FailureKind>::kRows.size());
  for (const Row& row : rows) {
    CAPTURE(std::string(NameOf(row.kind_)));
    CHECK(FailuresToEject(row.kind_) == row.failures_);
  }
}

TEST_CASE("ejection: never most of a shard's replicas")
{
  struct Row
  {
    ShardHealth shard_;
    bool isEjected_;
  };
  const Row rows[] = {
    { { 1, 0 }, false }, { { 2, 0 }, true },  { { 2, 1 }, false },
    { { 3, 0 }, true },  { { 3, 1 }, false }, { { 5, 1 }, true },
    { { 5, 2 }, false },
  };
  for (const Row& row : rows) {
    CAPTURE(row.shard_.replicas_);
    CAPTURE(row.shard_.ejected_);
    const int failures = FailuresToEject(FailureKind::ServerError, row.shard_);
    CHECK((failures > 0) == row.isEjected_);
  }
}

TEST_CASE("ejection: a good reply in between starts the count again")
{
  const EjectionPolicy policy({});
  RandomSource random(1);
  ReplicaHealth health;
  for (int i = 0; i < 100; ++i) {
    policy.OnFailure(health, FailureKind::Timeout, kWhole, random, kStart);
    policy.OnFailure(health, FailureKind::Timeout, kWhole, random, kStart);
    policy.OnReply(health, milliseconds(5), kStart);
  }
  CHECK_FALSE(policy.IsEjected(health));
}

TEST_CASE("ejection: returns by one probing request, later after each failure")
{
  const EjectionPolicy policy({});
  RandomSource random(1);
  ReplicaHealth health = MakeEjected(policy);
  REQUIRE(policy.IsEjected(health));
  CHECK_FALSE(policy.IsProbeDue(health, kStart + milliseconds(700)));
  // The reply of a request sent before the ejection does not end it.
  CHECK(policy.OnReply(health, milliseconds(5), kStart) ==
        EjectionVerdict::None);
  TimePoint now = kStart;
  Duration last{};
  for (int i = 0; i < 8; ++i) {
    now = health.ejectedUntil_;
    REQUIRE(policy.IsProbeDue(health, now));
    policy.OnProbeSent(health, now);
    CHECK_FALSE(policy.IsProbeDue(health, now));
    CHECK(
      policy.OnFailure(health, FailureKind::Timeout, { 3, 1 }, random, now) ==
      EjectionVerdict::Ejected);
    const Duration time = health.ejectedUntil_ - now;
    CHECK(time > last / 2);
    CHECK(time <= seconds(36));
    last = time;
  }
  CHECK(last >= seconds(24));
  now = health.ejectedUntil_;
  policy.OnProbeSent(health, now);
  CHECK(policy.OnReply(health, milliseconds(5), now) ==
        EjectionVerdict::Returned);
  CHECK_FALSE(policy.IsEjected(health));
}

TEST_CASE("ejection: a probe that is refused returns it, a lost one is due "
          "again")
{
  const EjectionPolicy policy({});
  RandomSource random(1);
  ReplicaHealth health = MakeEjected(policy);
  const TimePoint due = health.ejectedUntil_;
  policy.OnProbeSent(health, due);
  CHECK_FALSE(policy.IsProbeDue(health, due + seconds(4)));
  CHECK(policy.IsProbeDue(health, due + seconds(5)));
  CHECK(policy.OnFailure(
          health, FailureKind::RefusedOverloaded, { 3, 1 }, random, due) ==
        EjectionVerdict::Returned);
}

TEST_CASE("ejection: latency outliers")
{
  struct Row
  {
    std::string name_;
    milliseconds latency_;
    milliseconds peers_;
    int samples_;
    EjectionVerdict verdict_;
  };
  const Row rows[] = {
    { "crawls",
      milliseconds(100),
      milliseconds(5),
      30,
      EjectionVerdict::Ejected },
    { "a little slower",
      milliseconds(15),
      milliseconds(5),
      30,
      EjectionVerdict::None },
    { "too few samples",
      milliseconds(100),
      milliseconds(5),
      10,
      EjectionVerdict::None },
    { "all crawl",
      milliseconds(100),
      milliseconds(90),
      30,
      EjectionVerdict::None },
    { "all are fast",
      milliseconds(8),
      milliseconds(1),
      30,
      EjectionVerdict::None },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    const EjectionPolicy policy({});
    RandomSource random(1);
    ReplicaHealth health;
    for (int i = 0; i < row.samples_; ++i) {
      policy.OnReply(health, row.latency_, kStart);
    }
    CHECK(policy.CheckLatency(health, row.peers_, kWhole, random, kStart) ==
          row.verdict_);
  }
}

TEST_CASE("ejection: hints of health endpoints never decide")
{
  const EjectionPolicy policy({});
  RandomSource random(1);
  ReplicaHealth well;
  for (int i = 0; i < 100; ++i) {
    policy.OnHealthHint(well, false, kStart);
  }
  CHECK_FALSE(policy.IsEjected(well));
  ReplicaHealth hanging = MakeEjected(policy);
  policy.OnHealthHint(hanging, true, kStart);
  CHECK(policy.IsEjected(hanging));
  // An ill server that fails as well is ejected one failure sooner.
  const auto fail = [&](TimePoint aNow) {
    return policy.OnFailure(
      well, FailureKind::ServerError, kWhole, random, aNow);
  };
  CHECK(fail(kStart) == EjectionVerdict::None);
  CHECK(fail(kStart) == EjectionVerdict::Ejected);
}
