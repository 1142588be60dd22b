#include "policy/ServerPace.h"
#include "core/RandomSource.h"
#include "policy/LatencyPredictor.h"
#include "policy/SlownessEstimator.h"

#include <algorithm>
#include <cmath>
#include <doctest/doctest.h>
#include <functional>
#include <queue>
#include <vector>

using namespace foxtail;

namespace {

using Seconds = std::chrono::duration<double>;

const TimePoint kStart{ seconds(1000) };
constexpr double kWorkSeconds = 0.02;
constexpr milliseconds kObjective{ 80 };
constexpr size_t kServers = 3;
constexpr uint32_t kSlots = 4;
constexpr double kRequestsPerSecond = 99;

TimePoint At(double aSeconds)
{
  return kStart + duration_cast<Duration>(Seconds(aSeconds));
}

struct Scenario
{
  uint32_t instances_ = 82;
  bool isPaced_ = true;
  /// Slowness of a server at a time, in seconds since the start.
  std::function<double(size_t, double)> slowness_;
  /// Servers whose ramp begins, and when, in seconds since the start.
  std::vector<std::pair<size_t, double>> begins_;
  double duration_ = 12;
};

struct Outcome
{
  struct Request
  {
    double at_ = 0;
    size_t server_ = 0;
    bool isLate_ = false;
  };
  std::vector<Request> requests_{};

  /// @return the number of requests to a server in a time.
  size_t Sent(size_t aServer, double aFrom, double aTo) const
  {
    return static_cast<size_t>(std::count_if(
      requests_.begin(), requests_.end(), [&](const Request& aRequest) {
        return aRequest.server_ == aServer && aRequest.at_ >= aFrom &&
               aRequest.at_ < aTo;
      }));
  }
  size_t Late(double aFrom, double aTo) const
  {
    return static_cast<size_t>(std::count_if(
      requests_.begin(), requests_.end(), [&](const Request& aRequest) {
        return aRequest.isLate_ && aRequest.at_ >= aFrom && aRequest.at_ < aTo;
      }));
  }
};

/// State of one server at one instance.
struct View
{
  explicit View(const ServerPaceSettings& aSettings)
    : pace_(aSettings)
  {
  }
  SlownessEstimator slowness_;
  ServerPace pace_;
  std::vector<TimePoint> sent_;
};

struct Reply
{
  TimePoint at_;
  TimePoint sentAt_;
  size_t instance_ = 0;
  size_t server_ = 0;

  bool operator>(const Reply& aOther) const { return at_ > aOther.at_; }
};

/// Simulates one shard: instances choose as they do, servers work in order of
/// arrival with kSlots slots.
Outcome Run(const Scenario& aScenario, uint64_t aSeed)
{
  RandomSource random(aSeed);
  ServerPaceSettings settings;
  settings.isEnabled_ = aScenario.isPaced_;
  std::vector<std::vector<View>> views(
    aScenario.instances_, std::vector<View>(kServers, View(settings)));
  std::vector<std::vector<double>> slotFreeAt(kServers,
                                              std::vector<double>(kSlots, 0));
  std::priority_queue<Reply, std::vector<Reply>, std::greater<>> replies;
  auto begins = aScenario.begins_;
  Outcome outcome;
  const auto applyReplies = [&](TimePoint aUntil) {
    while (!replies.empty() && replies.top().at_ <= aUntil) {
      const Reply reply = replies.top();
      replies.pop();
      View& view = views[reply.instance_][reply.server_];
      view.sent_.erase(
        std::find(view.sent_.begin(), view.sent_.end(), reply.sentAt_));
      const double ratio =
        Seconds(reply.at_ - reply.sentAt_).count() / kWorkSeconds;
      view.slowness_.OnReply(ratio, reply.sentAt_, reply.at_);
      view.pace_.OnReply(ratio, reply.sentAt_, reply.at_);
    }
  };
  double now = 0;
  while (now < aScenario.duration_) {
    now -= std::log(1 - random.NextDouble()) / kRequestsPerSecond;
    const TimePoint time = At(now);
    applyReplies(time);
    std::erase_if(begins, [&](const auto& aBegin) {
      if (aBegin.second > now) {
        return false;
      }
      for (auto& instance : views) {
        instance[aBegin.first].pace_.Begin(time);
      }
      return true;
    });
    const auto instance =
      static_cast<size_t>(random.NextDouble() * aScenario.instances_);
    std::vector<ReplicaCandidate> candidates;
    std::vector<size_t> servers;
    for (const bool isFiltered : { true, false }) {
      for (size_t i = 0; i < kServers && candidates.size() < kServers; ++i) {
        View& view = views[instance][i];
        if (isFiltered && random.NextDouble() >= view.pace_.Share(time)) {
          continue;
        }
        ReplicaCandidate candidate;
        candidate.roundTrip_ = milliseconds(1);
        candidate.slowness_ = view.slowness_.Slowness(time);
        candidate.slots_ = kSlots;
        candidate.inFlight_ = static_cast<uint32_t>(view.sent_.size());
        if (!view.sent_.empty()) {
          candidate.oldestWait_ = time - view.sent_.front();
        }
        candidates.push_back(candidate);
        servers.push_back(i);
      }
      if (!candidates.empty()) {
        break;
      }
    }
    const auto choice =
      ChooseByLatency({},
                      candidates,
                      duration_cast<Duration>(Seconds(kWorkSeconds)),
                      0,
                      random);
    const size_t server = servers[choice->index_];
    auto& slot =
      *std::min_element(slotFreeAt[server].begin(), slotFreeAt[server].end());
    slot = std::max(slot, now) + kWorkSeconds * (0.5 + random.NextDouble()) *
                                   aScenario.slowness_(server, now);
    views[instance][server].sent_.push_back(time);
    replies.push({ At(slot), time, instance, server });
    outcome.requests_.push_back({ now, server, At(slot) - time > kObjective });
  }
  return outcome;
}

constexpr size_t kNew = 2;

Scenario OneCold(uint32_t aInstances, bool aIsPaced)
{
  return { aInstances,
           aIsPaced,
           [](size_t aServer, double aAt) {
             return aServer == kNew && aAt < 4 ? 6.0 : 1.0;
           },
           { { kNew, 0 } } };
}

} // namespace

// Guards against instances that each send a new server its share before any of
// them has had a reply from it.
TEST_CASE("pace: a cold server among warm ones makes fewer requests late")
{
  for (const uint32_t instances : { 6, 24, 82 }) {
    size_t latePaced = 0;
    size_t lateUnpaced = 0;
    size_t sentPaced = 0;
    size_t sentUnpaced = 0;
    for (uint64_t seed = 1; seed <= 10; ++seed) {
      const Outcome paced = Run(OneCold(instances, true), seed);
      const Outcome unpaced = Run(OneCold(instances, false), seed);
      latePaced += paced.Late(0, 4);
      lateUnpaced += unpaced.Late(0, 4);
      sentPaced += paced.Sent(kNew, 0, 1);
      sentUnpaced += unpaced.Sent(kNew, 0, 1);
      // It gets its share once it is warm.
      CHECK(paced.Sent(kNew, 8, 12) > 80);
    }
    MESSAGE(instances,
            " instances, 10 seeds: requests to the cold server in its first "
            "second ",
            sentUnpaced,
            " without pace, ",
            sentPaced,
            " with it; late in 4 s ",
            lateUnpaced,
            ", ",
            latePaced);
    CHECK(latePaced < lateUnpaced);
  }
}

// Guards against a service whose servers have all started and are left idle.
TEST_CASE("pace: servers that are all cold get all requests")
{
  for (const bool isPaced : { false, true }) {
    const Outcome outcome =
      Run({ 82,
            isPaced,
            [](size_t, double aAt) { return aAt < 4 ? 2.0 : 1.0; },
            { { 0, 0 }, { 1, 0 }, { 2, 0 } } },
          1);
    for (size_t i = 0; i < kServers; ++i) {
      CHECK(outcome.Sent(i, 0, 1) >= 15);
      CHECK(outcome.Sent(i, 4, 12) > 160);
    }
  }
}

// Guards against a new server that is fast and left idle.
TEST_CASE("pace: a new server that is fast has its share within 4 s")
{
  const Outcome outcome =
    Run({ 82, true, [](size_t, double) { return 1.0; }, { { kNew, 0 } } }, 1);
  CHECK(outcome.Sent(kNew, 0, 1) >= 5);
  CHECK(outcome.Sent(kNew, 4, 12) > 200);
}

TEST_CASE("pace: a server that is slow for good is measured but not loaded")
{
  Scenario scenario{ 82,
                     true,
                     [](size_t aServer, double) {
                       return aServer == kNew ? 6.0 : 1.0;
                     },
                     { { kNew, 0 } } };
  const Outcome paced = Run(scenario, 1);
  scenario.isPaced_ = false;
  const Outcome unpaced = Run(scenario, 1);
  CHECK(paced.Sent(kNew, 4, 12) > 0);
  CHECK(paced.Late(0, 12) <= unpaced.Late(0, 12));
}

TEST_CASE("pace: a server that turns cold while in use")
{
  Scenario scenario{ 24,
                     true,
                     [](size_t aServer, double aAt) {
                       return aServer == kNew && aAt >= 4 && aAt < 7 ? 6.0
                                                                     : 1.0;
                     },
                     { { kNew, 4 } } };
  size_t latePaced = 0;
  size_t lateUnpaced = 0;
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    scenario.isPaced_ = true;
    const Outcome paced = Run(scenario, seed);
    CHECK(paced.Sent(kNew, 9, 12) > 40);
    latePaced += paced.Late(4, 7);
    scenario.isPaced_ = false;
    lateUnpaced += Run(scenario, seed).Late(4, 7);
  }
  CHECK(latePaced < lateUnpaced);
}

TEST_CASE("pace: a server that recovers from failures")
{
  ServerPaceSettings settings;
  settings.isEnabled_ = true;
  ServerPace pace(settings);
  pace.Begin(kStart);
  CHECK(pace.Share(kStart) == doctest::Approx(settings.initialShare_));
  pace.OnReply(1, At(0.1), At(0.2));
  const double grown = pace.Share(At(0.2));
  CHECK(grown > settings.initialShare_);
  pace.OnFailure(At(0.3), At(0.4));
  const double reduced = pace.Share(At(0.4));
  CHECK(reduced < grown / 2);
  // The failure of a request that was outstanding with it.
  pace.OnFailure(At(0.35), At(0.41));
  CHECK(pace.Share(At(0.41)) >= reduced);
  for (int i = 0; i < 100; ++i) {
    pace.OnFailure(At(1 + i * 0.01), At(1.001 + i * 0.01));
  }
  CHECK(pace.Share(At(2)) >= settings.minShare_);
  CHECK(pace.Share(At(19)) > 0.9);
  CHECK(pace.Share(At(21)) == 1);
  SUBCASE("off by default")
  {
    ServerPace off;
    off.Begin(kStart);
    CHECK(off.Share(kStart) == 1);
  }
}
