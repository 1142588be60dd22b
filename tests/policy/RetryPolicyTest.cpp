#include "policy/RetryPolicy.h"

#include <doctest/doctest.h>
#include <string>

using namespace foxtail;

namespace {

RetryInput Failed(FailureKind aFailure)
{
  RetryInput input;
  input.failure_ = aFailure;
  input.hasUntriedReplica_ = true;
  input.timeLeft_ = seconds(1);
  input.typicalLatency_ = milliseconds(5);
  return input;
}

} // namespace

TEST_CASE("retry: which failures are retried")
{
  struct Row
  {
    FailureKind failure_;
    RetryVerdict query_;
    RetryVerdict action_;
  };
  const Row rows[] = {
    { FailureKind::ConnectFailed, RetryVerdict::Retry, RetryVerdict::Retry },
    { FailureKind::ConnectionLost, RetryVerdict::Retry, RetryVerdict::Action },
    { FailureKind::Timeout, RetryVerdict::Retry, RetryVerdict::Action },
    { FailureKind::ServerError, RetryVerdict::Retry, RetryVerdict::Action },
    { FailureKind::BadReply, RetryVerdict::Retry, RetryVerdict::Action },
    { FailureKind::RefusedOverloaded,
      RetryVerdict::Retry,
      RetryVerdict::Retry },
    { FailureKind::RefusedDraining, RetryVerdict::Retry, RetryVerdict::Retry },
    { FailureKind::RefusedVersion, RetryVerdict::Retry, RetryVerdict::Retry },
    { FailureKind::RefusedDeadline, RetryVerdict::Retry, RetryVerdict::Retry },
    { FailureKind::HedgeLost,
      RetryVerdict::NotNeeded,
      RetryVerdict::NotNeeded },
  };
  CHECK(std::size(rows) == EnumTable<FailureKind>::kRows.size());
  RandomSource random(1);
  for (const Row& row : rows) {
    CAPTURE(std::string(NameOf(row.failure_)));
    RetryPolicy policy({});
    RetryInput input = Failed(row.failure_);
    CHECK(policy.Decide(input, random).verdict_ == row.query_);
    input.isAction_ = true;
    CHECK(policy.Decide(input, random).verdict_ == row.action_);
  }
}

TEST_CASE("retry: conditions that prevent a retry")
{
  using Change = void (*)(RetryInput&);
  struct Row
  {
    std::string name_;
    Change change_;
    RetryVerdict verdict_;
  };
  const Row rows[] = {
    { "no replica left",
      [](RetryInput& aInput) { aInput.hasUntriedReplica_ = false; },
      RetryVerdict::NoOtherReplica },
    { "no time for a reply",
      [](RetryInput& aInput) { aInput.timeLeft_ = milliseconds(5); },
      RetryVerdict::NoTime },
    { "maximum number of attempts",
      [](RetryInput& aInput) { aInput.attempts_ = 4; },
      RetryVerdict::MaxAttempts },
  };
  RandomSource random(1);
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    RetryInput input = Failed(FailureKind::Timeout);
    row.change_(input);
    CHECK(RetryPolicy({}).Decide(input, random).verdict_ == row.verdict_);
  }
}

TEST_CASE("retry: the second attempt is sent at once, later ones after a delay")
{
  RandomSource random(1);
  RetryPolicy policy({});
  RetryInput input = Failed(FailureKind::RefusedOverloaded);
  CHECK(policy.Decide(input, random).delay_ == Duration::zero());
  input.attempts_ = 3;
  for (int i = 0; i < 20; ++i) {
    const auto decision = policy.Decide(input, random);
    CHECK(decision.delay_ <= milliseconds(10));
  }
}

TEST_CASE("retry: failing servers get a bounded number of extra attempts")
{
  // Every attempt fails. Without a budget each request would cost 4 attempts.
  RandomSource random(1);
  for (const FailureKind failure :
       { FailureKind::Timeout, FailureKind::RefusedOverloaded }) {
    RetryPolicy policy({});
    constexpr int kRequests = 10000;
    int attempts = 0;
    for (int i = 0; i < kRequests; ++i) {
      policy.OnSent();
      RetryInput input = Failed(failure);
      for (input.attempts_ = 1;; ++input.attempts_) {
        ++attempts;
        if (policy.Decide(input, random).verdict_ != RetryVerdict::Retry) {
          break;
        }
      }
    }
    MESSAGE("attempts per request while all attempts fail: " << attempts /
                                                                  10000.0);
    CHECK(attempts <= kRequests * 1.1 + RetrySettings().burst_);
  }
}

TEST_CASE("retry: all requests of a lost server are retried on other replicas")
{
  RandomSource random(1);
  RetryPolicy policy({});
  // 40 attempts were in flight, then 1000 connections are refused before the
  // routing table is updated.
  for (int i = 0; i < 40; ++i) {
    CHECK(policy.Decide(Failed(FailureKind::ConnectionLost), random).verdict_ ==
          RetryVerdict::Retry);
  }
  for (int i = 0; i < 1000; ++i) {
    REQUIRE(
      policy.Decide(Failed(FailureKind::ConnectFailed), random).verdict_ ==
      RetryVerdict::Retry);
  }
}
