#ifndef TESTS_INSTANCE_FAKENETWORK_H
#define TESTS_INSTANCE_FAKENETWORK_H

#include "core/RandomSource.h"
#include "instance/MembershipCodec.h"
#include "instance/MembershipState.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace foxtail {

/// Simulates the network between MembershipStates in one thread and in virtual
/// time, with seeded loss, delay, partitions and process pauses.
class FakeNetwork
{
public:
  struct Node
  {
    std::unique_ptr<MembershipState> state_;
    std::string endpoint_;
    ZoneName zone_;
    bool isUp_ = false;
    TimePoint pausedUntil_{};
    uint64_t bytesSent_ = 0;
    std::vector<MembershipEvent> events_;
    /// Actions deferred by a pause. The tick comes first, which is the worst
    /// order: timeouts run before the received answers.
    std::vector<std::function<void()>> deferred_;
  };

  explicit FakeNetwork(uint64_t aSeed)
    : random_(aSeed)
  {
  }

  void Add(const std::string& aName,
           const std::string& aZone,
           const std::vector<std::string>& aSeeds,
           uint64_t aIncarnation = 1)
  {
    Node& node = nodes_[aName];
    MembershipSettings settings;
    settings.seeds_ = aSeeds;
    Member self;
    self.instance_ = InstanceId(aName);
    self.zone_ = ZoneName(aZone);
    self.endpoint_ = aName;
    self.incarnation_ = Incarnation(aIncarnation);
    node.state_ =
      std::make_unique<MembershipState>(settings, self, random_.Next());
    node.endpoint_ = aName;
    node.zone_ = self.zone_;
    node.isUp_ = true;
    node.events_.clear();
    const uint64_t generation = ++generations_[aName];
    At(now_ + milliseconds(random_.NextBelow(kTickInterval.count())),
       [this, aName, generation] { Tick(aName, generation); });
  }

  void Kill(const std::string& aName) { nodes_.at(aName).isUp_ = false; }

  void Pause(const std::string& aName, milliseconds aTime)
  {
    Node& node = nodes_.at(aName);
    node.pausedUntil_ = now_ + aTime;
    At(node.pausedUntil_, [this, aName] { Resume(aName); });
  }

  void Leave(const std::string& aName)
  {
    Deliver(nodes_.at(aName), nodes_.at(aName).state_->Leave());
    Kill(aName);
  }

  /// @param aIsPartitioned returns whether messages from the first node to the
  /// second are lost.
  void SetPartition(
    std::function<bool(const Node&, const Node&)> aIsPartitioned)
  {
    isPartitioned_ = std::move(aIsPartitioned);
  }
  void SetLoss(double aLoss) { loss_ = aLoss; }
  void SetDelay(milliseconds aLocal, milliseconds aFar)
  {
    localDelay_ = aLocal;
    farDelay_ = aFar;
  }

  void Run(Duration aTime)
  {
    const TimePoint end = now_ + aTime;
    while (!queue_.empty() && queue_.begin()->first <= end) {
      now_ = queue_.begin()->first;
      const auto action = std::move(queue_.begin()->second);
      queue_.erase(queue_.begin());
      action();
    }
    now_ = end;
  }

  /// Advances virtual time until the condition holds.
  ///
  /// @return the virtual time elapsed, or nothing when it exceeds @p aLimit.
  std::optional<Duration> RunUntil(const std::function<bool()>& aCondition,
                                   Duration aLimit)
  {
    const TimePoint start = now_;
    while (now_ - start <= aLimit) {
      if (aCondition()) {
        return now_ - start;
      }
      Run(milliseconds(20));
    }
    return std::nullopt;
  }

  MembershipView ViewOf(const std::string& aName)
  {
    return nodes_.at(aName).state_->MakeView(now_);
  }
  size_t CountEvents(MembershipEventKind aKind) const
  {
    size_t count = 0;
    for (const auto& row : nodes_) {
      for (const MembershipEvent& event : row.second.events_) {
        count += event.kind_ == aKind ? 1 : 0;
      }
    }
    return count;
  }
  /// @return whether the view of every running node contains exactly the
  /// running nodes of its zone, and counts @p aLiveEntries entry instances in
  /// all zones.
  bool HasConverged(uint32_t aLiveEntries)
  {
    std::map<ZoneName, std::set<InstanceId>> up;
    for (const auto& [name, node] : nodes_) {
      if (node.isUp_) {
        up[node.zone_].insert(InstanceId(name));
      }
    }
    for (const auto& [name, node] : nodes_) {
      if (!node.isUp_) {
        continue;
      }
      const MembershipView view = ViewOf(name);
      std::set<InstanceId> known;
      for (const Member& member : view.members_) {
        known.insert(member.instance_);
      }
      if (known != up[node.zone_] || view.LiveEntryCount() != aLiveEntries) {
        return false;
      }
    }
    return true;
  }

  std::map<std::string, Node> nodes_;
  TimePoint now_ = TimePoint() + std::chrono::hours(1);
  RandomSource random_;

private:
  static constexpr milliseconds kTickInterval{ 50 };

  void At(TimePoint aTime, std::function<void()> aAction)
  {
    queue_.emplace(aTime, std::move(aAction));
  }

  void Tick(const std::string& aName, uint64_t aGeneration)
  {
    if (generations_[aName] != aGeneration || !nodes_.at(aName).isUp_) {
      return;
    }
    Node& node = nodes_.at(aName);
    if (now_ < node.pausedUntil_) {
      node.deferred_.insert(node.deferred_.begin(), [this, aName, aGeneration] {
        Tick(aName, aGeneration);
      });
      return;
    }
    Deliver(node, node.state_->OnTick(now_));
    At(now_ + kTickInterval,
       [this, aName, aGeneration] { Tick(aName, aGeneration); });
  }

  void Resume(const std::string& aName)
  {
    for (const auto& action : std::exchange(nodes_.at(aName).deferred_, {})) {
      action();
    }
  }

  void Deliver(Node& aFrom, const MembershipState::Messages& aMessages)
  {
    for (MembershipEvent& event : aFrom.state_->TakeEvents()) {
      aFrom.events_.push_back(std::move(event));
    }
    for (const OutgoingMembershipMessage& outgoing : aMessages) {
      const std::string payload = EncodeMembership(outgoing.message_);
      aFrom.bytesSent_ += payload.size();
      const auto found = nodes_.find(outgoing.to_);
      if (found == nodes_.end() ||
          (isPartitioned_ && isPartitioned_(aFrom, found->second)) ||
          random_.Chance(loss_)) {
        continue;
      }
      const bool isLocal = found->second.zone_ == aFrom.zone_;
      At(now_ + (isLocal ? localDelay_ : farDelay_),
         [this,
          to = outgoing.to_,
          generation = generations_[outgoing.to_],
          payload] { Receive(to, generation, payload); });
    }
  }

  void Receive(const std::string& aTo,
               uint64_t aGeneration,
               const std::string& aPayload)
  {
    Node& node = nodes_.at(aTo);
    if (!node.isUp_ || generations_[aTo] != aGeneration) {
      return;
    }
    if (now_ < node.pausedUntil_) {
      node.deferred_.push_back([this, aTo, aGeneration, aPayload] {
        Receive(aTo, aGeneration, aPayload);
      });
      return;
    }
    const auto message = DecodeMembership(aPayload);
    Deliver(node, node.state_->OnMessage(*message, now_));
  }

  std::multimap<TimePoint, std::function<void()>> queue_;
  std::map<std::string, uint64_t> generations_;
  std::function<bool(const Node&, const Node&)> isPartitioned_;
  double loss_ = 0;
  milliseconds localDelay_{ 1 };
  milliseconds farDelay_{ 10 };
};

} // namespace foxtail

#endif // TESTS_INSTANCE_FAKENETWORK_H
