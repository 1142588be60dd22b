#include "policy/EjectionPolicy.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace foxtail;

namespace {

constexpr TimePoint kStart{};
constexpr ShardHealth kNoneEjected{ 3, 0 };

/// @return the number of consecutive failures until the ejection; 0 if there is
/// none.
int FailuresToEject(FailureKind aKind, const ShardHealth& aShard = kNoneEjected)
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
    aPolicy.OnFailure(
      health, FailureKind::ServerError, kNoneEjected, random, kStart);
  }
  return health;
}

} // namespace

TEST_CASE("ejection: consecutive failures until ejection, by kind")
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

TEST_CASE("ejection: at most half of a shard's replicas")
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

TEST_CASE("ejection: a valid reply resets the count of failures")
{
  const EjectionPolicy policy({});
  RandomSource random(1);
  ReplicaHealth health;
  for (int i = 0; i < 100; ++i) {
    policy.OnFailure(
      health, FailureKind::Timeout, kNoneEjected, random, kStart);
    policy.OnFailure(
      health, FailureKind::Timeout, kNoneEjected, random, kStart);
    policy.OnReply(health, milliseconds(5), kStart);
  }
  CHECK_FALSE(policy.IsEjected(health));
}

TEST_CASE(
  "ejection: ends by a successful probe; each failed probe lengthens it")
{
  const EjectionPolicy policy({});
  RandomSource random(1);
  ReplicaHealth health = MakeEjected(policy);
  REQUIRE(policy.IsEjected(health));
  CHECK_FALSE(policy.IsProbeDue(health, kStart + milliseconds(700)));
  // The reply to a request sent before the ejection does not end it.
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

TEST_CASE("ejection: a refused probe ends it, a lost probe is sent again")
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
    { "much slower than its peers",
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
    { "all are slow",
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
    CHECK(policy.CheckLatency(
            health, row.peers_, kNoneEjected, random, kStart) == row.verdict_);
  }
}

TEST_CASE("ejection: health endpoints alone neither cause nor end it")
{
  const EjectionPolicy policy({});
  RandomSource random(1);
  ReplicaHealth healthy;
  for (int i = 0; i < 100; ++i) {
    policy.OnHealthHint(healthy, false, kStart);
  }
  CHECK_FALSE(policy.IsEjected(healthy));
  ReplicaHealth ejected = MakeEjected(policy);
  policy.OnHealthHint(ejected, true, kStart);
  CHECK(policy.IsEjected(ejected));
  // A server that is reported unhealthy is ejected one failure sooner.
  const auto fail = [&](TimePoint aNow) {
    return policy.OnFailure(
      healthy, FailureKind::ServerError, kNoneEjected, random, aNow);
  };
  CHECK(fail(kStart) == EjectionVerdict::None);
  CHECK(fail(kStart) == EjectionVerdict::Ejected);
}
