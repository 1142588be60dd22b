#include "allowance/AllowanceLedger.h"
#include "allowance/ControlChoice.h"
#include "allowance/HeldPermits.h"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <queue>
#include <random>
#include <rapidcheck.h>

using namespace foxtail;

namespace {

constexpr TimePoint kStart{ seconds(1000) };
const AllowanceSettings kSettings;

double Bound(const AllowanceLimit& aLimit)
{
  const double window =
    std::chrono::duration<double>(kSettings.window_).count();
  return (aLimit.perSecond_ * window + aLimit.burst_) *
           (1 + kSettings.overage_) +
         kSettings.slack_;
}

/// Exchange of messages between the ledgers and entry instances of 3 regions
/// with 2 zones each, one control instance and two entry instances a zone.
class Exchange
{
public:
  static constexpr size_t kZones = 6;
  static constexpr size_t kEntries = 12;
  static constexpr int kRounds = 3;

  Exchange(AllowanceLimit aLimit, uint64_t aSeed)
    : limit_(std::move(aLimit))
    , random_(aSeed)
    , entries_(kEntries)
  {
    for (size_t zone = 0; zone < kZones; ++zone) {
      controls_.emplace_back();
      Restart(zone);
    }
  }

  void At(Duration aTime, std::function<void()> aAction)
  {
    events_.push({ kStart + aTime, ++sequence_, std::move(aAction) });
  }
  /// Requests at random times, at random entry instances of the zones.
  void Demand(Duration aFrom,
              Duration aUntil,
              double aPerSecond,
              std::vector<size_t> aZones)
  {
    std::exponential_distribution<double> gap(aPerSecond);
    double at = std::chrono::duration<double>(aFrom).count();
    while ((at += gap(random_)) <
           std::chrono::duration<double>(aUntil).count()) {
      const size_t zone = aZones[random_() % aZones.size()];
      const size_t entry = zone * 2 + random_() % 2;
      At(duration_cast<Duration>(std::chrono::duration<double>(at)),
         [this, entry] { Arrive(entry); });
    }
  }
  void Run()
  {
    while (!events_.empty()) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at_;
      event.action_();
    }
  }

  void Restart(size_t aControl)
  {
    Control& control = controls_[aControl];
    ++control.process_;
    control.ledger_ = std::make_unique<AllowanceLedger>(kSettings);
    control.ledger_->SetMembers(members_, aControl < members_, now_);
    control.ledger_->SetLimits(DocumentVersion(1), { limit_ }, now_);
    Contact(aControl);
  }
  void RestartEntry(size_t aEntry)
  {
    std::destroy_at(&entries_[aEntry]);
    std::construct_at(&entries_[aEntry]);
  }
  /// Adds or removes the last control instances.
  void SetMembers(size_t aMembers)
  {
    members_ = aMembers;
    for (size_t i = 0; i < kZones; ++i) {
      if (!IsCut(i)) {
        controls_[i].ledger_->SetMembers(members_, i < members_, now_);
      }
    }
  }
  void Pause(size_t aControl, Duration aTime)
  {
    controls_[aControl].pausedUntil_ = now_ + aTime;
  }
  void PauseEntry(size_t aEntry, Duration aTime)
  {
    entries_[aEntry].pausedUntil_ = now_ + aTime;
  }
  /// Separates the zones below aFirst from the others.
  void Partition(size_t aFirst) { partition_ = aFirst; }
  void LoseReplies(double aShare) { lossShare_ = aShare; }
  void SetLimit(AllowanceLimit aLimit)
  {
    limit_ = std::move(aLimit);
    for (Control& control : controls_) {
      control.ledger_->SetLimits(DocumentVersion(2), { limit_ }, now_);
    }
  }

  /// @return the largest number of requests in a sliding window.
  size_t Largest(Duration aFrom = {}) const
  {
    size_t largest = 0;
    auto first = std::lower_bound(used_.begin(), used_.end(), kStart + aFrom);
    for (auto last = first; last != used_.end(); ++last) {
      while (*last - *first >= kSettings.window_) {
        ++first;
      }
      largest = std::max<size_t>(largest, last - first + 1);
    }
    return largest;
  }
  double RefusedShare() const
  {
    return static_cast<double>(refused_ + unanswered_) /
           static_cast<double>(refused_ + unanswered_ + used_.size());
  }

  std::vector<TimePoint> used_;
  size_t refused_ = 0;
  size_t unanswered_ = 0;
  size_t messages_ = 0;
  size_t returnEvery_ = 0;

private:
  struct Event
  {
    TimePoint at_;
    uint64_t order_ = 0;
    std::function<void()> action_;
    bool operator<(const Event& aOther) const
    {
      return std::tie(at_, order_) > std::tie(aOther.at_, aOther.order_);
    }
  };
  struct Control
  {
    std::unique_ptr<AllowanceLedger> ledger_;
    uint64_t process_ = 0;
    TimePoint pausedUntil_{};
  };
  struct Entry
  {
    HeldPermits held_{ kSettings };
    ControlChoice choice_{ kSettings };
    std::deque<TimePoint> waiting_;
    bool isAsking_ = false;
    TimePoint pausedUntil_{};
  };

  /// Zones 0-1, 2-3 and 4-5 are regions.
  static Duration Latency(size_t aFrom, size_t aTo)
  {
    return aFrom == aTo           ? microseconds(200)
           : aFrom / 2 == aTo / 2 ? microseconds(500)
                                  : Duration(milliseconds(8));
  }
  bool IsCut(size_t aZone) const { return aZone < partition_; }
  bool AreCut(size_t aLeft, size_t aRight) const
  {
    return IsCut(aLeft) != IsCut(aRight);
  }
  void Contact(size_t aControl)
  {
    const size_t reached = IsCut(aControl) ? partition_ : kZones - partition_;
    if (reached * 2 > members_) {
      controls_[aControl].ledger_->OnMajorityContact(now_);
    }
  }
  void Send(size_t aFrom, size_t aTo, std::function<void()> aAction)
  {
    ++messages_;
    std::uniform_real_distribution<double> share;
    if (!AreCut(aFrom, aTo) && share(random_) >= lossShare_) {
      events_.push(
        { now_ + Latency(aFrom, aTo), ++sequence_, std::move(aAction) });
    }
  }
  /// Runs the action at the control instance's next free time, if its process
  /// is still the same.
  void ToControl(size_t aFrom,
                 size_t aTo,
                 std::function<void(AllowanceLedger&)> aAction)
  {
    Send(aFrom, aTo, [this, aTo, aAction] {
      OnControl(aTo, controls_[aTo].process_, aAction);
    });
  }
  void OnControl(size_t aControl,
                 uint64_t aProcess,
                 const std::function<void(AllowanceLedger&)>& aAction)
  {
    Control& control = controls_[aControl];
    if (control.process_ != aProcess) {
      return;
    }
    if (now_ < control.pausedUntil_) {
      events_.push({ control.pausedUntil_, ++sequence_, [=, this] {
                      OnControl(aControl, aProcess, aAction);
                    } });
      return;
    }
    Contact(aControl);
    aAction(*control.ledger_);
  }

  void Arrive(size_t aEntry)
  {
    Entry& entry = entries_[aEntry];
    if (now_ < entry.pausedUntil_) {
      events_.push({ entry.pausedUntil_, ++sequence_, [this, aEntry] {
                      Arrive(aEntry);
                    } });
      return;
    }
    const auto decision = entry.held_.Take(limit_.name_, now_);
    if (const auto* permit = std::get_if<Permit>(&decision)) {
      Use(entry, *permit);
    } else if (std::holds_alternative<PermitRefused>(decision)) {
      ++refused_;
    } else {
      entry.waiting_.push_back(now_ + milliseconds(37));
      Ask(aEntry);
    }
  }
  void Use(Entry& aEntry, const Permit& aPermit)
  {
    CHECK(aPermit.expiresAt_ > now_);
    if (returnEvery_ != 0 && random_() % returnEvery_ == 0) {
      aEntry.held_.Return(limit_.name_, aPermit, now_);
      return;
    }
    used_.push_back(now_);
  }
  void Ask(size_t aEntry)
  {
    Entry& entry = entries_[aEntry];
    if (entry.isAsking_ || entry.waiting_.empty()) {
      return;
    }
    const size_t zone = aEntry / 2;
    std::vector<AllowanceControl> controls;
    for (size_t i = 0; i < members_; ++i) {
      controls.push_back({ std::to_string(i),
                           i == zone           ? 0
                           : i / 2 == zone / 2 ? 1
                                               : 2 });
    }
    const AllowanceControl* chosen = entry.choice_.Choose(controls, now_);
    if (chosen == nullptr) {
      unanswered_ += std::exchange(entry.waiting_, {}).size();
      return;
    }
    entry.isAsking_ = true;
    const std::string endpoint = chosen->endpoint_;
    const size_t to = std::stoul(endpoint);
    entry.choice_.OnSent(endpoint);
    const auto ask =
      entry.held_.MakeAsk(limit_.name_, entry.waiting_.size(), now_);
    const auto isDone = std::make_shared<bool>(false);
    const TimePoint askedAt = now_;
    events_.push({ now_ + kSettings.callTimeout_, ++sequence_, [=, this] {
                    if (!std::exchange(*isDone, true)) {
                      Entry& sender = entries_[aEntry];
                      sender.choice_.OnFailure(endpoint, now_);
                      sender.isAsking_ = false;
                      EndWaits(sender, false);
                      Ask(aEntry);
                    }
                  } });
    ToControl(zone, to, [=, this](AllowanceLedger&) {
      Handle(to, ask, [=, this](const AllowanceGrant& aGrant) {
        Send(to, zone, [=, this] {
          OnReply(aEntry, aGrant, askedAt, endpoint, isDone);
        });
      });
    });
  }
  void OnReply(size_t aEntry,
               const AllowanceGrant& aGrant,
               TimePoint aAskedAt,
               const std::string& aEndpoint,
               const std::shared_ptr<bool>& aIsDone)
  {
    Entry& entry = entries_[aEntry];
    if (now_ < entry.pausedUntil_) {
      events_.push({ entry.pausedUntil_, ++sequence_, [=, this] {
                      OnReply(aEntry, aGrant, aAskedAt, aEndpoint, aIsDone);
                    } });
      return;
    }
    // Also a late reply has permits that are valid for a while.
    entry.held_.OnGrant(aGrant, aAskedAt, now_);
    if (!std::exchange(*aIsDone, true)) {
      entry.choice_.OnReply(aEndpoint, now_ - aAskedAt);
      entry.isAsking_ = false;
    }
    EndWaits(entry, aGrant.outcome_ == AllowanceOutcome::Refused);
    Ask(aEntry);
  }
  void EndWaits(Entry& aEntry, bool aIsRefused)
  {
    while (!aEntry.waiting_.empty()) {
      if (aEntry.waiting_.front() <= now_) {
        ++unanswered_;
      } else if (const auto permit =
                   aEntry.held_.TakeForWaiting(limit_.name_, now_)) {
        Use(aEntry, *permit);
      } else if (aIsRefused) {
        ++refused_;
      } else {
        return;
      }
      aEntry.waiting_.pop_front();
    }
  }

  /// Decides on an entry instance's ask, after asking peers if needed.
  void Handle(size_t aControl,
              const AllowanceAsk& aAsk,
              const std::function<void(const AllowanceGrant&)>& aReply)
  {
    AllowanceLedger& ledger = *controls_[aControl].ledger_;
    ledger.OnDemand(aAsk, now_);
    Decide(aControl, aAsk, now_ + milliseconds(20), kRounds, aReply);
    for (const PeerAsk& ask :
         ledger.PlanAhead(limit_.name_, PeersOf(aControl), now_)) {
      Borrow(aControl, ask, [](AllowanceLedger&) {});
    }
  }
  void Decide(size_t aControl,
              const AllowanceAsk& aAsk,
              TimePoint aUntil,
              int aRounds,
              const std::function<void(const AllowanceGrant&)>& aReply)
  {
    AllowanceLedger& ledger = *controls_[aControl].ledger_;
    const auto asks = ledger.PlanAsks(aAsk, PeersOf(aControl), now_);
    const auto grant =
      ledger.Grant(aAsk, DocumentVersion(1), asks.empty(), now_);
    if (aRounds == 0 || now_ >= aUntil ||
        grant.outcome_ != AllowanceOutcome::Short) {
      aReply(grant);
      return;
    }
    const uint64_t process = controls_[aControl].process_;
    const auto left = std::make_shared<size_t>(asks.size());
    const auto next = [=, this](AllowanceLedger&) {
      if (*left > 0 && (--*left == 0 || now_ >= aUntil)) {
        *left = 0;
        Decide(aControl, aAsk, aUntil, aRounds - 1, aReply);
      }
    };
    events_.push({ aUntil, ++sequence_, [=, this] {
                    OnControl(aControl, process, next);
                  } });
    for (const PeerAsk& ask : asks) {
      Borrow(aControl, ask, next);
    }
  }
  void Borrow(size_t aControl,
              const PeerAsk& aAsk,
              const std::function<void(AllowanceLedger&)>& aNext)
  {
    const size_t peer = std::stoul(aAsk.endpoint_);
    const TimePoint askedAt = now_;
    const uint64_t process = controls_[aControl].process_;
    ToControl(aControl, peer, [=, this](AllowanceLedger& aPeer) {
      const auto lent = aPeer.Lend(aAsk.ask_, now_);
      Send(peer, aControl, [=, this] {
        OnControl(aControl, process, [=, this](AllowanceLedger& aLedger) {
          aLedger.OnBorrowed(aAsk.endpoint_, lent, askedAt, now_);
          aNext(aLedger);
        });
      });
    });
  }
  std::vector<AllowancePeer> PeersOf(size_t aControl) const
  {
    std::vector<AllowancePeer> peers;
    for (size_t i = 0; i < members_; ++i) {
      if (i != aControl) {
        peers.push_back({ std::to_string(i), 2 * Latency(aControl, i) });
      }
    }
    return peers;
  }

  AllowanceLimit limit_;
  std::mt19937_64 random_;
  std::deque<Control> controls_;
  std::deque<Entry> entries_;
  std::priority_queue<Event> events_;
  uint64_t sequence_ = 0;
  TimePoint now_ = kStart;
  size_t members_ = kZones;
  size_t partition_ = 0;
  double lossShare_ = 0;
};

const AllowanceLimit kLarge{ "large", 47, 47 };
const AllowanceLimit kSmall{ "small", 0.32, 0.32 };
const std::vector<size_t> kAllZones{ 0, 1, 2, 3, 4, 5 };

} // namespace

TEST_CASE("allowance: moved permits are spent first, oldest first, and expire")
{
  AllowanceAccount account(kSettings, { "a", 6, 6 }, 6, kStart);
  CHECK(account.Available(kStart) == doctest::Approx(5.0 / 6));
  account.MoveIn(1, kStart + milliseconds(200), kStart);
  account.MoveIn(1, kStart + milliseconds(100), kStart);
  CHECK(account.Take(1.5, kStart) == doctest::Approx(1.5));
  CHECK(account.Own(kStart) == doctest::Approx(5.0 / 6));
  CHECK(account.Available(kStart) == doctest::Approx(5.0 / 6 + 0.5));
  const TimePoint later = kStart + milliseconds(200);
  CHECK(account.Available(later) == doctest::Approx(5.0 / 6 + 0.2));
  CHECK(account.TakeExpired() == doctest::Approx(0.5));
  CHECK(account.Available(kStart + seconds(100)) ==
        doctest::Approx((1.1 * 6 + 10) / 6));
  account.SetLimit(kSettings, { "a", 0.6, 0 }, 6, kStart + seconds(100));
  CHECK(account.Own(kStart + seconds(100)) == doctest::Approx(10.0 / 6));
}

TEST_CASE("allowance: a removed control instance may run on for ten seconds")
{
  AllowanceLedger ledger(kSettings);
  ledger.SetMembers(6, true, kStart);
  CHECK_FALSE(ledger.Gives(kStart));
  ledger.OnMajorityContact(kStart);
  CHECK(ledger.Gives(kStart));
  ledger.SetMembers(4, true, kStart);
  CHECK(ledger.Instances(kStart + milliseconds(9999)) == 6);
  CHECK(ledger.Instances(kStart + seconds(10)) == 4);
  CHECK_FALSE(ledger.Gives(kStart + seconds(10)));
  ledger.OnMajorityContact(kStart + seconds(10));
  ledger.SetMembers(7, false, kStart + seconds(10));
  CHECK(ledger.Instances(kStart + seconds(10)) == 7);
  CHECK_FALSE(ledger.Gives(kStart + seconds(10)));
}

TEST_CASE("allowance: memberships read one by one create no permits")
{
  AllowanceLedger ledger(kSettings);
  ledger.SetLimits(DocumentVersion(1), { { "a", 0.06, 0 } }, kStart);
  for (size_t members = 1; members <= 6; ++members) {
    ledger.SetMembers(members, true, kStart);
  }
  ledger.OnMajorityContact(kStart);
  CHECK(ledger.Lend({ "a", 100 }, kStart).amount_ == doctest::Approx(5.0 / 6));
  ledger.SetLimits(DocumentVersion(2), {}, kStart);
  CHECK(ledger.Grant({ "a", 1 }, DocumentVersion(2), true, kStart).outcome_ ==
        AllowanceOutcome::Unlimited);
  CHECK(ledger.Grant({ "a", 1 }, DocumentVersion(3), true, kStart).outcome_ ==
        AllowanceOutcome::Refused);
  ledger.SetLimits(DocumentVersion(3), { { "a", 0.06, 0 } }, kStart);
  CHECK(ledger.Lend({ "a", 100 }, kStart).amount_ < 0.01);
}

// The quota of a first document of version 0 did not bind at instances that had
// no document.
TEST_CASE("allowance: a ledger without the asker's document grants nothing")
{
  struct Case
  {
    std::string name_;
    std::optional<DocumentVersion> ledger_;
    std::optional<DocumentVersion> asker_;
    AllowanceOutcome outcome_;
  };
  const std::optional<DocumentVersion> none;
  const std::optional<DocumentVersion> zero = DocumentVersion(0);
  const std::optional<DocumentVersion> one = DocumentVersion(1);
  for (const Case& row :
       { Case{ "none, 0", none, zero, AllowanceOutcome::Refused },
         Case{ "none, 1", none, one, AllowanceOutcome::Refused },
         Case{ "0, 1", zero, one, AllowanceOutcome::Refused },
         Case{ "0, 0", zero, zero, AllowanceOutcome::Unlimited },
         Case{ "1, 0", one, zero, AllowanceOutcome::Unlimited },
         Case{ "0, none", zero, none, AllowanceOutcome::Unlimited } }) {
    CAPTURE(row.name_);
    AllowanceLedger ledger;
    if (row.ledger_) {
      ledger.SetLimits(*row.ledger_, {}, kStart);
    }
    CHECK(ledger.Grant({ "a", 1 }, row.asker_, true, kStart).outcome_ ==
          row.outcome_);
  }
}

TEST_CASE("allowance: a refusal states when a permit is expected")
{
  AllowanceLedger ledger(kSettings);
  ledger.SetMembers(1, true, kStart);
  ledger.SetLimits(DocumentVersion(1), { { "a", 0.5, 0 } }, kStart);
  ledger.OnMajorityContact(kStart);
  CHECK(ledger.Grant({ "a", 9 }, DocumentVersion(1), true, kStart).amount_ ==
        5);
  const auto refused =
    ledger.Grant({ "a", 1 }, DocumentVersion(1), true, kStart);
  CHECK(refused.expectedIn_ == milliseconds(2000));
  HeldPermits held(kSettings);
  CHECK(std::holds_alternative<PermitMissing>(held.Take("a", kStart)));
  held.OnGrant(refused, kStart, kStart);
  CHECK(std::get<PermitRefused>(held.Take("a", kStart)).until_ ==
        kStart + seconds(2));
  CHECK(
    std::holds_alternative<PermitMissing>(held.Take("a", kStart + seconds(2))));
}

TEST_CASE("allowance: ten thousand idle teams leave no state at an entry")
{
  HeldPermits held(kSettings);
  for (int i = 0; i < 10000; ++i) {
    held.Take(std::to_string(i), kStart);
  }
  held.Take("last", kStart + seconds(30));
  CHECK(held.Size() == 1);
}

TEST_CASE("allowance: eight times the rate stays within the bound")
{
  for (const AllowanceLimit& limit : { kLarge, kSmall }) {
    const std::pair<const char*, std::vector<std::vector<size_t>>> rows[] = {
      { "one zone", { { 2 } } },
      { "all zones", { kAllZones } },
      { "alternating zones", { { 0 }, { 5 }, { 3 } } },
    };
    for (const auto& [name, zones] : rows) {
      CAPTURE(std::string(name));
      CAPTURE(limit.name_);
      Exchange exchange(limit, 7);
      for (int i = 0; i < 30; ++i) {
        exchange.Demand(seconds(20 + i),
                        seconds(21 + i),
                        8 * limit.perSecond_,
                        zones[static_cast<size_t>(i) % zones.size()]);
      }
      exchange.Run();
      CHECK(static_cast<double>(exchange.Largest()) <= Bound(limit));
      // The quota is not only kept but can be used.
      CHECK(static_cast<double>(exchange.used_.size()) >
            0.85 * 30 * limit.perSecond_);
      MESSAGE(limit.name_ << " from " << std::string(name)
                          << ": largest window " << exchange.Largest() << " of "
                          << Bound(limit) << ", used " << exchange.used_.size()
                          << ", messages " << exchange.messages_);
    }
  }
}

TEST_CASE("allowance: the bound holds under faults in any order")
{
  CHECK(rc::check("sum of all instances in every window", [] {
    const bool isLarge = *rc::gen::arbitrary<bool>();
    const AllowanceLimit limit = isLarge ? kLarge : kSmall;
    Exchange exchange(limit, *rc::gen::arbitrary<uint64_t>());
    exchange.returnEvery_ = 5;
    for (int second = 0; second < 16; second += 2) {
      const auto zone = *rc::gen::inRange<size_t>(0, Exchange::kZones + 1);
      exchange.Demand(seconds(second),
                      seconds(second + 2),
                      8 * limit.perSecond_,
                      zone < Exchange::kZones ? std::vector<size_t>{ zone }
                                              : kAllZones);
    }
    const auto faults = *rc::gen::inRange<size_t>(0, 12);
    for (size_t i = 0; i < faults; ++i) {
      const milliseconds at(*rc::gen::inRange(0, 16000));
      const milliseconds length(*rc::gen::inRange(1, 6000));
      const auto target = *rc::gen::inRange<size_t>(0, Exchange::kZones);
      const auto kind = *rc::gen::inRange(0, 6);
      exchange.At(at, [&exchange, target, kind, length, at] {
        switch (kind) {
          case 0:
            exchange.RestartEntry(target);
            break;
          case 1:
            exchange.Pause(target, length);
            exchange.PauseEntry(target, length / 2);
            break;
          case 2:
            exchange.Partition(target);
            exchange.At(at + length, [&exchange] { exchange.Partition(0); });
            break;
          case 3:
            exchange.LoseReplies(0.3);
            exchange.At(at + length, [&exchange] { exchange.LoseReplies(0); });
            break;
          default:
            exchange.SetMembers(3 + target % 4);
        }
      });
    }
    // Two restarts of any control instances within one window.
    const auto restartAt = *rc::gen::inRange(0, 16000);
    const auto subset = *rc::gen::inRange(0, 64);
    for (const int at : { restartAt, restartAt + 3000 }) {
      exchange.At(milliseconds(at), [&exchange, subset] {
        for (size_t i = 0; i < Exchange::kZones; ++i) {
          if ((subset >> i & 1) != 0) {
            exchange.Restart(i);
          }
        }
      });
    }
    exchange.Run();
    RC_ASSERT(static_cast<double>(exchange.Largest()) <= Bound(limit));
  }));
}

TEST_CASE("allowance: a lower limit holds one window after it is in force")
{
  Exchange exchange(kLarge, 3);
  exchange.Demand(seconds(0), seconds(30), 300, kAllZones);
  const AllowanceLimit lower{ "large", 5, 5 };
  exchange.At(seconds(10), [&] { exchange.SetLimit(lower); });
  exchange.Run();
  CHECK(static_cast<double>(exchange.Largest(seconds(10))) <= Bound(lower));
}

TEST_CASE("allowance: demand below the quota is served")
{
  struct Row
  {
    const char* name_;
    AllowanceLimit limit_;
    std::vector<size_t> before_;
    std::vector<size_t> after_;
  };
  const Row rows[] = {
    { "all zones", kLarge, kAllZones, kAllZones },
    { "moves to another zone", kLarge, { 0 }, { 5 } },
    { "moves within its region", kLarge, { 2 }, { 3 } },
    { "small team at random instances", kSmall, kAllZones, kAllZones },
    { "small team in one zone", kSmall, { 1 }, { 4 } },
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name_));
    const double perSecond = row.limit_.perSecond_ / 1.6;
    const seconds half(row.limit_.perSecond_ > 1 ? 30 : 3000);
    Exchange exchange(row.limit_, 11);
    exchange.Demand(seconds(20), seconds(20) + half, perSecond, row.before_);
    exchange.Demand(
      seconds(20) + half, seconds(20) + 2 * half, perSecond, row.after_);
    exchange.Run();
    MESSAGE(std::string(row.name_)
            << ": refused " << exchange.refused_ << ", unanswered "
            << exchange.unanswered_ << ", used " << exchange.used_.size()
            << ", messages " << exchange.messages_);
    CHECK(exchange.RefusedShare() < 0.01);
  }
}

TEST_CASE("allowance: a control instance that does not reply is skipped")
{
  ControlChoice choice(kSettings);
  const std::vector<AllowanceControl> controls{ { "far", 2 },
                                                { "same", 0 },
                                                { "near", 1 } };
  CHECK(choice.Choose(controls, kStart)->endpoint_ == "same");
  choice.OnSent("same");
  choice.OnSent("same");
  CHECK_FALSE(choice.MaySend("same"));
  choice.OnFailure("same", kStart);
  CHECK(choice.MaySend("same"));
  CHECK(choice.Choose(controls, kStart)->endpoint_ == "near");
  CHECK(choice.Choose(controls, kStart + seconds(1))->endpoint_ == "same");
}
