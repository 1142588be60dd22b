#include "instance/AnnouncementSpreadState.h"
#include "instance/SpreadTree.h"
#include "policy/AnnouncementRegistry.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace foxtail;

namespace {

constexpr milliseconds kTickInterval{ 50 };
constexpr milliseconds kRenew{ 1000 };

Announcement MakeAnnouncement(const std::string& aServer,
                              const std::string& aZone,
                              uint64_t aSequence,
                              BackendState aState = BackendState::Ready)
{
  Announcement result;
  result.server_ = BackendId(aServer);
  result.incarnation_ = Incarnation(1);
  result.sequence_ = aSequence;
  result.service_ = ServiceName("s");
  result.catalogue_ = CatalogueName("c");
  result.version_ = IndexVersion(1);
  result.shardCount_ = 2;
  result.zone_ = ZoneName(aZone);
  result.address_ = "127.0.0.1:1";
  result.state_ = aState;
  return result;
}

// Entry instances of a few zones with a registry each, in one thread and in
// virtual time. Views are given, not learned.
class Fleet
{
public:
  struct Node
  {
    std::unique_ptr<AnnouncementSpreadState> state_;
    std::unique_ptr<AnnouncementRegistry> registry_;
    std::string name_;
    ZoneName zone_;
    bool isUp_ = true;
    uint64_t bytes_ = 0;
    size_t withdrawn_ = 0;
  };
  struct Server
  {
    std::string zone_;
    std::string hearer_;
    uint64_t sequence_ = 0;
    BackendState state_ = BackendState::Ready;
    bool isUp_ = true;
  };

  Fleet(int aZones, int aNodes)
  {
    for (int zone = 0; zone < aZones; ++zone) {
      for (int node = 0; node < aNodes; ++node) {
        AddNode(NameOfNode(zone, node), "z" + std::to_string(zone));
      }
    }
    UpdateViews();
  }

  static std::string NameOfNode(int aZone, int aNode)
  {
    return "z" + std::to_string(aZone) + "-" + std::to_string(aNode);
  }

  void AddNode(const std::string& aName, const std::string& aZone)
  {
    Node& node = nodes_[aName];
    node.state_ =
      std::make_unique<AnnouncementSpreadState>(AnnouncementSpreadSettings{},
                                                InstanceId(aName),
                                                ZoneName(aZone),
                                                aName,
                                                random_.Next());
    node.registry_ =
      std::make_unique<AnnouncementRegistry>(AnnouncementRegistrySettings{});
    node.name_ = aName;
    node.zone_ = ZoneName(aZone);
    node.isUp_ = true;
  }

  void AddServers(int aCount, const std::string& aZone)
  {
    std::vector<std::string> hearers;
    for (const auto& [name, node] : nodes_) {
      if (node.zone_ == ZoneName(aZone)) {
        hearers.push_back(name);
      }
    }
    for (int i = 0; i < aCount; ++i) {
      servers_[aZone + "-b" + std::to_string(i)] = {
        aZone,
        hearers[random_.NextBelow(hearers.size())],
        0,
        BackendState::Ready,
        true
      };
    }
  }

  // What membership would tell each node: who is up and can be reached.
  void UpdateViews()
  {
    for (auto& [name, node] : nodes_) {
      auto view = std::make_shared<MembershipView>();
      view->zone_ = node.zone_;
      std::map<ZoneName, ZoneSummary> zones;
      for (const auto& [otherName, other] : nodes_) {
        Member member;
        member.instance_ = InstanceId(otherName);
        member.zone_ = other.zone_;
        member.endpoint_ = otherName;
        const bool isReachable = other.isUp_ && !IsCut(node, other);
        if (other.zone_ == node.zone_) {
          if (isReachable) {
            view->members_.push_back(member);
          }
          continue;
        }
        ZoneSummary& summary = zones[other.zone_];
        summary.zone_ = other.zone_;
        summary.isReachable_ = isReachable;
        summary.delegates_.push_back(member);
      }
      for (auto& row : zones) {
        view->zones_.push_back(row.second);
      }
      node.state_->SetView(view, now_);
    }
  }

  void SetCut(std::function<bool(const Node&, const Node&)> aIsCut)
  {
    isCut_ = std::move(aIsCut);
  }

  bool IsCut(const Node& aFrom, const Node& aTo) const
  {
    return isCut_ && (isCut_(aFrom, aTo) || isCut_(aTo, aFrom));
  }

  void Announce(const std::string& aName)
  {
    Server& server = servers_.at(aName);
    Node& hearer = nodes_.at(server.hearer_);
    if (!server.isUp_ || !hearer.isUp_) {
      return;
    }
    const Announcement announcement =
      MakeAnnouncement(aName, server.zone_, ++server.sequence_, server.state_);
    hearer.registry_->Apply(announcement, now_);
    hearer.state_->OnServerAnnouncement(announcement, now_);
    ApplyEffects(hearer);
  }

  void Run(Duration aTime)
  {
    const TimePoint end = now_ + aTime;
    while (now_ < end) {
      now_ += kTickInterval;
      for (auto& [name, server] : servers_) {
        if ((now_.time_since_epoch() % kRenew) == Duration::zero()) {
          Announce(name);
        }
      }
      for (auto& row : nodes_) {
        if (row.second.isUp_) {
          row.second.state_->OnTick(now_);
          ApplyEffects(row.second);
          row.second.registry_->Expire(now_);
        }
      }
      Deliver();
    }
  }

  std::optional<Duration> RunUntil(const std::function<bool()>& aCondition,
                                   Duration aLimit)
  {
    const TimePoint start = now_;
    while (now_ - start <= aLimit) {
      if (aCondition()) {
        return now_ - start;
      }
      Run(kTickInterval);
    }
    return std::nullopt;
  }

  // Whether all registries hold exactly the servers that are up.
  bool IsSettled() const
  {
    size_t up = 0;
    for (const auto& row : servers_) {
      up += row.second.isUp_ ? 1 : 0;
    }
    return Everywhere(
      [&](const Node& aNode) { return aNode.registry_->Size() == up; });
  }

  bool Everywhere(const std::function<bool(const Node&)>& aCondition) const
  {
    return std::all_of(nodes_.begin(), nodes_.end(), [&](const auto& aRow) {
      return !aRow.second.isUp_ || aCondition(aRow.second);
    });
  }

  static bool HasState(const Node& aNode,
                       const std::string& aServer,
                       BackendState aState)
  {
    const auto table = aNode.registry_->MakeTable();
    for (const Replica& replica : table->Replicas()) {
      if (replica.announcement_.server_ == BackendId(aServer)) {
        return replica.announcement_.state_ == aState;
      }
    }
    return aState == BackendState::Gone;
  }

  std::map<std::string, Node> nodes_;
  std::map<std::string, Server> servers_;
  double loss_ = 0;
  TimePoint now_ = TimePoint() + std::chrono::hours(1);
  RandomSource random_{ 5 };

private:
  struct Packet
  {
    std::string from_;
    std::string to_;
    std::string payload_;
  };

  void ApplyEffects(Node& aNode)
  {
    AnnouncementEffects effects = aNode.state_->TakeEffects();
    for (const Announcement& announcement : effects.changed_) {
      aNode.registry_->Apply(announcement, now_);
    }
    for (const Announcement& announcement : effects.renewed_) {
      aNode.registry_->RenewFromPeer(announcement, now_);
    }
    for (const Withdrawal& withdrawal : effects.withdrawn_) {
      ++aNode.withdrawn_;
      aNode.registry_->Withdraw(withdrawal.server_,
                                withdrawal.incarnation_,
                                withdrawal.sequence_,
                                now_);
    }
    for (const OutgoingAnnouncements& outgoing : effects.messages_) {
      std::string payload = EncodeAnnouncements(outgoing.message_);
      aNode.bytes_ += payload.size();
      if (!random_.Chance(loss_)) {
        packets_.push_back({ aNode.name_, outgoing.to_, std::move(payload) });
      }
    }
  }

  void Deliver()
  {
    const auto packets = std::exchange(packets_, {});
    for (const Packet& packet : packets) {
      Node& to = nodes_.at(packet.to_);
      if (to.isUp_ && !(isCut_ && isCut_(nodes_.at(packet.from_), to))) {
        const auto message = DecodeAnnouncements(packet.payload_);
        to.state_->OnMessage(*message, now_);
        ApplyEffects(to);
      }
    }
  }

  std::vector<Packet> packets_;
  std::function<bool(const Node&, const Node&)> isCut_;
};

} // namespace

TEST_CASE("a tree reaches every member once")
{
  std::vector<Member> members(50);
  for (size_t i = 0; i < members.size(); ++i) {
    members[i].instance_ = InstanceId("e" + std::to_string(i));
  }
  std::map<InstanceId, int> reached;
  for (const Member& member : members) {
    for (const Member* child :
         TreeChildren(InstanceId("e7"), member.instance_, members, 4)) {
      ++reached[child->instance_];
    }
  }
  CHECK(reached.size() == 49);
  CHECK(!reached.contains(InstanceId("e7")));
  for (const auto& row : reached) {
    CHECK(row.second == 1);
  }
}

TEST_CASE("announcements reach every instance, and changes soon")
{
  Fleet fleet(3, 20);
  for (int zone = 0; zone < 3; ++zone) {
    fleet.AddServers(10, "z" + std::to_string(zone));
  }
  CHECK(fleet.RunUntil([&] { return fleet.IsSettled(); }, seconds(3)));
  fleet.servers_.at("z1-b3").state_ = BackendState::Draining;
  fleet.Announce("z1-b3");
  const auto time = fleet.RunUntil(
    [&] {
      return fleet.Everywhere([&](const Fleet::Node& aNode) {
        return Fleet::HasState(aNode, "z1-b3", BackendState::Draining);
      });
    },
    seconds(3));
  REQUIRE(time);
  CHECK(*time <= milliseconds(500));
}

TEST_CASE("renewals keep every server known without travelling to every "
          "instance")
{
  const auto bytesPerSecond = [](int aNodes, int aServers) {
    Fleet fleet(1, aNodes);
    fleet.AddServers(aServers, "z0");
    REQUIRE(fleet.RunUntil([&] { return fleet.IsSettled(); }, seconds(10)));
    uint64_t bytes = 0;
    for (auto& row : fleet.nodes_) {
      row.second.bytes_ = 0;
    }
    constexpr int kSeconds = 20;
    for (int i = 0; i < kSeconds * 2; ++i) {
      fleet.Run(milliseconds(500));
      CHECK(fleet.IsSettled());
    }
    for (const auto& row : fleet.nodes_) {
      bytes += row.second.bytes_;
    }
    return static_cast<double>(bytes) / kSeconds / aNodes;
  };
  // As many servers per instance, so that only the fleet's size differs.
  const double small = bytesPerSecond(4, 16);
  const double large = bytesPerSecond(40, 160);
  MESSAGE("bytes/s with 4 instances: ", small, ", with 40: ", large);
  CHECK(large < small * 3);
}

TEST_CASE("leases end and hold as they should after each fault")
{
  struct Row
  {
    const char* name_;
    std::function<void(Fleet&)> fault_;
    /// Within this time all registries are right.
    milliseconds within_;
    /// Withdrawals that are allowed anywhere; a server that lives has none.
    bool mayWithdraw_;
  };
  const Row rows[] = {
    { "a server dies",
      [](Fleet& aFleet) { aFleet.servers_.at("z0-b0").isUp_ = false; },
      milliseconds(5000),
      true },
    { "a server says that it is gone",
      [](Fleet& aFleet) {
        aFleet.servers_.at("z0-b0").state_ = BackendState::Gone;
        aFleet.Announce("z0-b0");
        aFleet.servers_.at("z0-b0").isUp_ = false;
      },
      milliseconds(500),
      true },
    { "an owner dies",
      [](Fleet& aFleet) {
        const std::string owner =
          aFleet.servers_.at("z0-b0").hearer_ == "z0-1" ? "z0-2" : "z0-1";
        for (auto& row : aFleet.servers_) {
          if (row.second.hearer_ == owner) {
            row.second.hearer_ = "z0-0";
          }
        }
        aFleet.nodes_.at(owner).isUp_ = false;
        aFleet.Run(seconds(2));
        aFleet.UpdateViews();
      },
      milliseconds(5000),
      false },
    { "all owners die, then the servers",
      [](Fleet& aFleet) {
        for (auto& row : aFleet.servers_) {
          if (row.second.zone_ == "z0") {
            row.second.hearer_ = "z0-0";
          }
        }
        aFleet.nodes_.at("z0-1").isUp_ = false;
        aFleet.nodes_.at("z0-2").isUp_ = false;
        aFleet.Run(seconds(2));
        aFleet.UpdateViews();
        aFleet.Run(seconds(2));
        for (auto& row : aFleet.servers_) {
          row.second.isUp_ = row.second.zone_ != "z0";
        }
      },
      milliseconds(6000),
      true },
    { "an instance restarts empty",
      [](Fleet& aFleet) {
        aFleet.AddNode("z1-1", "z1");
        aFleet.UpdateViews();
      },
      milliseconds(8000),
      false },
    { "an instance is alone for a while",
      [](Fleet& aFleet) {
        aFleet.SetCut([](const Fleet::Node& aFrom, const Fleet::Node& aTo) {
          const auto isLonely = [](const Fleet::Node& aNode) {
            return aNode.registry_ != nullptr && aNode.zone_ == ZoneName("z2");
          };
          return isLonely(aFrom) && isLonely(aTo);
        });
        aFleet.UpdateViews();
        aFleet.Run(seconds(20));
        aFleet.SetCut(nullptr);
        aFleet.UpdateViews();
      },
      milliseconds(20000),
      true },
    { "a zone is cut off for a while",
      [](Fleet& aFleet) {
        aFleet.SetCut([](const Fleet::Node& aFrom, const Fleet::Node& aTo) {
          return (aFrom.zone_ == ZoneName("z2")) !=
                 (aTo.zone_ == ZoneName("z2"));
        });
        aFleet.UpdateViews();
        aFleet.Run(seconds(20));
        // The own servers stay, the far ones are gone.
        CHECK(aFleet.nodes_.at("z2-0").registry_->Size() == 6);
        CHECK(aFleet.nodes_.at("z0-0").registry_->Size() == 12);
        aFleet.SetCut(nullptr);
        aFleet.UpdateViews();
      },
      milliseconds(8000),
      false },
    { "a server dies and another joins behind a cut",
      [](Fleet& aFleet) {
        aFleet.SetCut([](const Fleet::Node& aFrom, const Fleet::Node& aTo) {
          return (aFrom.zone_ == ZoneName("z2")) !=
                 (aTo.zone_ == ZoneName("z2"));
        });
        aFleet.UpdateViews();
        aFleet.servers_.at("z2-b1").isUp_ = false;
        aFleet.servers_["z2-new"] = {
          "z2", "z2-0", 0, BackendState::Ready, true
        };
        aFleet.Run(seconds(20));
        aFleet.SetCut(nullptr);
        aFleet.UpdateViews();
      },
      milliseconds(30000),
      true },
  };
  for (const Row& row : rows) {
    for (const double loss : { 0.0, 0.1 }) {
      INFO(std::string(row.name_));
      CAPTURE(loss);
      Fleet fleet(3, 3);
      for (int zone = 0; zone < 3; ++zone) {
        fleet.AddServers(6, "z" + std::to_string(zone));
      }
      REQUIRE(fleet.RunUntil([&] { return fleet.IsSettled(); }, seconds(10)));
      fleet.loss_ = loss;
      row.fault_(fleet);
      // What was lost is repaired by comparing, which takes some rounds.
      const Duration limit = loss > 0 ? Duration(seconds(60)) : row.within_;
      CHECK(fleet.RunUntil([&] { return fleet.IsSettled(); }, limit));
      if (!row.mayWithdraw_ && loss == 0) {
        for (const auto& node : fleet.nodes_) {
          CHECK(node.second.withdrawn_ == 0);
        }
      }
    }
  }
}

TEST_CASE("a wrong withdrawal is answered by who hears the server")
{
  Fleet fleet(1, 3);
  fleet.AddServers(1, "z0");
  REQUIRE(fleet.RunUntil([&] { return fleet.IsSettled(); }, seconds(5)));
  fleet.Run(seconds(3));
  AnnouncementMessage wrong;
  wrong.kind_ = AnnouncementMessageKind::Spread;
  wrong.endpoint_ = "z0-1";
  wrong.origin_ = InstanceId("z0-1");
  wrong.withdrawals_ = { { BackendId("z0-b0"), Incarnation(1), 1 } };
  Fleet::Node& hearer = fleet.nodes_.at(fleet.servers_.at("z0-b0").hearer_);
  hearer.state_->OnMessage(wrong, fleet.now_);
  hearer.state_->OnTick(fleet.now_);
  size_t told = 0;
  for (const OutgoingAnnouncements& outgoing :
       hearer.state_->TakeEffects().messages_) {
    told += outgoing.message_.rows_.size();
  }
  CHECK(told == 2);
}

TEST_CASE("old news that arrives late changes nothing")
{
  Fleet fleet(1, 3);
  fleet.AddServers(1, "z0");
  REQUIRE(fleet.RunUntil([&] { return fleet.IsSettled(); }, seconds(5)));
  fleet.servers_.at("z0-b0").state_ = BackendState::Draining;
  fleet.Announce("z0-b0");
  fleet.Run(seconds(1));
  AnnouncementMessage late;
  late.kind_ = AnnouncementMessageKind::Spread;
  late.endpoint_ = "z0-1";
  late.origin_ = InstanceId("z0-1");
  late.rows_ = { { MakeAnnouncement("z0-b0", "z0", 1), ZoneName("z0") } };
  late.withdrawals_ = { { BackendId("z0-b0"), Incarnation(1), 1 } };
  Fleet::Node& node = fleet.nodes_.at("z0-0");
  node.state_->OnMessage(late, fleet.now_);
  const AnnouncementEffects effects = node.state_->TakeEffects();
  CHECK(effects.changed_.empty());
  CHECK(effects.withdrawn_.empty());
  fleet.Run(seconds(5));
  CHECK(fleet.Everywhere([&](const Fleet::Node& aNode) {
    return Fleet::HasState(aNode, "z0-b0", BackendState::Draining);
  }));
}

TEST_CASE("malformed announcement messages are refused or read as something "
          "whole")
{
  AnnouncementMessage message;
  message.rows_ = { { MakeAnnouncement("b", "z", 1), ZoneName("y") } };
  message.withdrawals_ = { { BackendId("b"), Incarnation(1), 1 } };
  message.renewals_.resize(2);
  message.digests_.resize(2);
  message.bucketHashes_ = { 1, 2 };
  const std::string good = EncodeAnnouncements(message);
  const auto decoded = DecodeAnnouncements(good);
  REQUIRE(decoded.ok());
  CHECK(decoded->rows_.front().homeZone_ == ZoneName("y"));
  CHECK(decoded->rows_.front().announcement_.IsSameContent(
    message.rows_.front().announcement_));
  CHECK(!DecodeAnnouncements("").ok());
  CHECK(!DecodeAnnouncements(good.substr(0, 24)).ok());
  const bool areSafe = rc::check([&](uint16_t aPlace, uint8_t aBits) {
    std::string damaged = good;
    damaged[aPlace % damaged.size()] ^= static_cast<char>(aBits);
    const auto result = DecodeAnnouncements(damaged);
    bool isWhole = true;
    for (size_t i = 0; result.ok() && i < result->rows_.size(); ++i) {
      const Announcement& row = result->rows_[i].announcement_;
      isWhole = isWhole && row.shard_.Value() < row.shardCount_;
    }
    RC_ASSERT(isWhole);
  });
  CHECK(areSafe);
}
