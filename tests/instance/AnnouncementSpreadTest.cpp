#include "instance/AnnouncementSpreadState.h"
#include "instance/SpreadTree.h"
#include "policy/AnnouncementRegistry.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace foxtail;

namespace {

constexpr milliseconds kTickInterval{ 50 };
constexpr milliseconds kAnnounceInterval{ 1000 };

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
// virtual time. The membership views are set by the test.
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
    std::string receiver_;
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
    std::vector<std::string> receivers;
    for (const auto& [name, node] : nodes_) {
      if (node.zone_ == ZoneName(aZone)) {
        receivers.push_back(name);
      }
    }
    for (int i = 0; i < aCount; ++i) {
      servers_[aZone + "-b" + std::to_string(i)] = {
        aZone,
        receivers[random_.NextBelow(receivers.size())],
        0,
        BackendState::Ready,
        true
      };
    }
  }

  // Sets the membership view of each node: the nodes that are up and reachable.
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
    Node& receiver = nodes_.at(server.receiver_);
    if (!server.isUp_ || !receiver.isUp_) {
      return;
    }
    const Announcement announcement =
      MakeAnnouncement(aName, server.zone_, ++server.sequence_, server.state_);
    receiver.registry_->Apply(announcement, now_);
    receiver.state_->OnServerAnnouncement(announcement, now_);
    ApplyEffects(receiver);
  }

  void Run(Duration aTime)
  {
    const TimePoint end = now_ + aTime;
    while (now_ < end) {
      now_ += kTickInterval;
      for (auto& [name, server] : servers_) {
        if ((now_.time_since_epoch() % kAnnounceInterval) == Duration::zero()) {
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

  // Whether each registry holds as many servers as are up.
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

TEST_CASE("a dissemination tree reaches every member once")
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

TEST_CASE("announcements reach every instance, and changes do within 500 ms")
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

TEST_CASE("renewals keep every server known without being sent to every "
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
  // The servers per instance are equal, so that only the number of instances
  // differs.
  const double small = bytesPerSecond(4, 16);
  const double large = bytesPerSecond(40, 160);
  MESSAGE("bytes/s with 4 instances: ", small, ", with 40: ", large);
  CHECK(large < small * 3);
}

TEST_CASE("after each fault, the registries hold the running servers again")
{
  struct Row
  {
    const char* name_;
    std::function<void(Fleet&)> fault_;
    /// Time in which all registries have to settle, without loss.
    milliseconds within_;
    /// Whether any instance may withdraw a server after the fault.
    bool mayWithdraw_;
  };
  const Row rows[] = {
    { "a server stops without deregistration",
      [](Fleet& aFleet) { aFleet.servers_.at("z0-b0").isUp_ = false; },
      milliseconds(5000),
      true },
    { "a server deregisters",
      [](Fleet& aFleet) {
        aFleet.servers_.at("z0-b0").state_ = BackendState::Gone;
        aFleet.Announce("z0-b0");
        aFleet.servers_.at("z0-b0").isUp_ = false;
      },
      milliseconds(500),
      true },
    { "an owner stops",
      [](Fleet& aFleet) {
        const std::string owner =
          aFleet.servers_.at("z0-b0").receiver_ == "z0-1" ? "z0-2" : "z0-1";
        for (auto& row : aFleet.servers_) {
          if (row.second.receiver_ == owner) {
            row.second.receiver_ = "z0-0";
          }
        }
        aFleet.nodes_.at(owner).isUp_ = false;
        aFleet.Run(seconds(2));
        aFleet.UpdateViews();
      },
      milliseconds(5000),
      false },
    { "all owners stop, then the servers",
      [](Fleet& aFleet) {
        for (auto& row : aFleet.servers_) {
          if (row.second.zone_ == "z0") {
            row.second.receiver_ = "z0-0";
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
    { "an instance restarts without state",
      [](Fleet& aFleet) {
        aFleet.AddNode("z1-1", "z1");
        aFleet.UpdateViews();
      },
      milliseconds(8000),
      false },
    { "the instances of a zone cannot reach each other for a while",
      [](Fleet& aFleet) {
        aFleet.SetCut([](const Fleet::Node& aFrom, const Fleet::Node& aTo) {
          const auto isInZone2 = [](const Fleet::Node& aNode) {
            return aNode.registry_ != nullptr && aNode.zone_ == ZoneName("z2");
          };
          return isInZone2(aFrom) && isInZone2(aTo);
        });
        aFleet.UpdateViews();
        aFleet.Run(seconds(20));
        aFleet.SetCut(nullptr);
        aFleet.UpdateViews();
      },
      milliseconds(20000),
      true },
    { "a zone is partitioned from the others for a while",
      [](Fleet& aFleet) {
        aFleet.SetCut([](const Fleet::Node& aFrom, const Fleet::Node& aTo) {
          return (aFrom.zone_ == ZoneName("z2")) !=
                 (aTo.zone_ == ZoneName("z2"));
        });
        aFleet.UpdateViews();
        aFleet.Run(seconds(20));
        // The servers of the own side stay, those of the other side expire.
        CHECK(aFleet.nodes_.at("z2-0").registry_->Size() == 6);
        CHECK(aFleet.nodes_.at("z0-0").registry_->Size() == 12);
        aFleet.SetCut(nullptr);
        aFleet.UpdateViews();
      },
      milliseconds(8000),
      false },
    { "a server stops and another starts in a partitioned zone",
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
      // Lost messages are repaired by anti-entropy, which takes some rounds.
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

TEST_CASE("an instance that receives a server's announcements corrects a wrong "
          "withdrawal")
{
  Fleet fleet(1, 3);
  fleet.AddServers(1, "z0");
  REQUIRE(fleet.RunUntil([&] { return fleet.IsSettled(); }, seconds(5)));
  fleet.Run(seconds(3));
  AnnouncementMessage wrongWithdrawal;
  wrongWithdrawal.kind_ = AnnouncementMessageKind::Spread;
  wrongWithdrawal.endpoint_ = "z0-1";
  wrongWithdrawal.origin_ = InstanceId("z0-1");
  wrongWithdrawal.withdrawals_ = { { BackendId("z0-b0"), Incarnation(1), 1 } };
  Fleet::Node& receiver = fleet.nodes_.at(fleet.servers_.at("z0-b0").receiver_);
  receiver.state_->OnMessage(wrongWithdrawal, fleet.now_);
  receiver.state_->OnTick(fleet.now_);
  size_t sentRows = 0;
  for (const OutgoingAnnouncements& outgoing :
       receiver.state_->TakeEffects().messages_) {
    sentRows += outgoing.message_.rows_.size();
  }
  CHECK(sentRows == 2);
}

TEST_CASE("outdated rows and withdrawals that arrive late change nothing")
{
  Fleet fleet(1, 3);
  fleet.AddServers(1, "z0");
  REQUIRE(fleet.RunUntil([&] { return fleet.IsSettled(); }, seconds(5)));
  fleet.servers_.at("z0-b0").state_ = BackendState::Draining;
  fleet.Announce("z0-b0");
  fleet.Run(seconds(1));
  AnnouncementMessage outdated;
  outdated.kind_ = AnnouncementMessageKind::Spread;
  outdated.endpoint_ = "z0-1";
  outdated.origin_ = InstanceId("z0-1");
  outdated.rows_ = { { MakeAnnouncement("z0-b0", "z0", 1), ZoneName("z0") } };
  outdated.withdrawals_ = { { BackendId("z0-b0"), Incarnation(1), 1 } };
  Fleet::Node& node = fleet.nodes_.at("z0-0");
  node.state_->OnMessage(outdated, fleet.now_);
  const AnnouncementEffects effects = node.state_->TakeEffects();
  CHECK(effects.changed_.empty());
  CHECK(effects.withdrawn_.empty());
  fleet.Run(seconds(5));
  CHECK(fleet.Everywhere([&](const Fleet::Node& aNode) {
    return Fleet::HasState(aNode, "z0-b0", BackendState::Draining);
  }));
}

// An owner that received a renewal before the change that it follows gave the
// content of before a higher sequence, and ignored the change from then on.
TEST_CASE("a change applies after a renewal that overtook it")
{
  const ZoneName zone("z0");
  const TimePoint now = TimePoint() + std::chrono::hours(1);
  auto view = std::make_shared<MembershipView>();
  view->zone_ = zone;
  for (const char* name : { "owner", "receiver" }) {
    Member member;
    member.instance_ = InstanceId(name);
    member.zone_ = zone;
    member.endpoint_ = name;
    view->members_.push_back(member);
  }
  const auto makeState = [&](const char* aName) {
    auto state = std::make_unique<AnnouncementSpreadState>(
      AnnouncementSpreadSettings{}, InstanceId(aName), zone, aName, 1);
    state->SetView(view, now);
    return state;
  };
  const auto owner = makeState("owner");
  const auto receiver = makeState("receiver");
  const auto rowOf = [&](uint64_t aSequence, BackendState aState) {
    AnnouncementMessage message;
    message.kind_ = AnnouncementMessageKind::Spread;
    message.endpoint_ = "receiver";
    message.origin_ = InstanceId("receiver");
    message.rows_ = { { MakeAnnouncement("b", "z0", aSequence, aState),
                        zone } };
    return message;
  };
  owner->OnMessage(rowOf(1, BackendState::Ready), now);
  REQUIRE(owner->TakeEffects().changed_.size() == 1);
  for (const uint64_t sequence : { 10, 11 }) {
    receiver->OnServerAnnouncement(
      MakeAnnouncement("b", "z0", sequence, BackendState::Draining), now);
  }
  receiver->OnTick(now);
  size_t renewals = 0;
  for (const OutgoingAnnouncements& outgoing :
       receiver->TakeEffects().messages_) {
    if (outgoing.message_.kind_ == AnnouncementMessageKind::Renewals) {
      ++renewals;
      const auto received =
        DecodeAnnouncements(EncodeAnnouncements(outgoing.message_));
      REQUIRE(received.ok());
      owner->OnMessage(*received, now);
    }
  }
  REQUIRE(renewals == 1);
  owner->OnMessage(rowOf(10, BackendState::Draining), now);
  CHECK(owner->TakeEffects().changed_.size() == 1);
}

TEST_CASE("malformed announcement messages are refused or decoded to valid "
          "rows")
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
  const bool isDecoderSafe = rc::check([&](uint16_t aPosition, uint8_t aBits) {
    std::string damaged = good;
    damaged[aPosition % damaged.size()] ^= static_cast<char>(aBits);
    const auto result = DecodeAnnouncements(damaged);
    bool areRowsValid = true;
    for (size_t i = 0; result.ok() && i < result->rows_.size(); ++i) {
      const Announcement& row = result->rows_[i].announcement_;
      areRowsValid = areRowsValid && row.shard_.Value() < row.shardCount_;
    }
    RC_ASSERT(areRowsValid);
  });
  CHECK(isDecoderSafe);
}
