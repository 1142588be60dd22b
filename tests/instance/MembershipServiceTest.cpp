#include "instance/MembershipService.h"

#include "instance/Endpoint.h"

#include <doctest/doctest.h>
#include <thread>

using namespace foxtail;

namespace {

struct Node
{
  Node(const std::string& aName,
       const std::string& aZone,
       const std::vector<std::string>& aSeeds)
    : pool_(1)
    , transport_(TransportOf(aName), pool_)
    , membership_(SettingsOf(aSeeds), SelfOf(aName, aZone), transport_, pool_)
  {
    membership_.Attach();
    REQUIRE(transport_.Start().ok());
    pool_.Start();
    membership_.Start();
  }
  ~Node()
  {
    transport_.Stop();
    pool_.Stop();
  }

  static FrameTransportSettings TransportOf(const std::string& aName)
  {
    FrameTransportSettings settings;
    settings.instance_ = InstanceId(aName);
    settings.deploymentKey_ = "key of the tests";
    return settings;
  }
  static MembershipSettings SettingsOf(const std::vector<std::string>& aSeeds)
  {
    MembershipSettings settings;
    settings.seeds_ = aSeeds;
    return settings;
  }
  static Member SelfOf(const std::string& aName, const std::string& aZone)
  {
    Member self;
    self.instance_ = InstanceId(aName);
    self.zone_ = ZoneName(aZone);
    return self;
  }
  std::string Endpoint() const
  {
    return "127.0.0.1:" + std::to_string(transport_.Port());
  }

  WorkerPool pool_;
  FrameTransport transport_;
  MembershipService membership_;
};

bool WaitUntil(const std::function<bool()>& aCondition)
{
  const TimePoint deadline = Now() + seconds(30);
  while (!aCondition() && Now() < deadline) {
    std::this_thread::sleep_for(milliseconds(10));
  }
  return aCondition();
}

} // namespace

TEST_CASE("endpoints are parsed from text and formatted back")
{
  for (const char* text : { "127.0.0.1:7101", "[::1]:80" }) {
    REQUIRE(ToEndpoint(text));
    CHECK(ToText(*ToEndpoint(text)) == text);
  }
  for (const char* text : { "", "x", "127.0.0.1", "host:1", "1.1.1.1:0" }) {
    CHECK(!ToEndpoint(text));
  }
}

TEST_CASE(
  "services over sockets converge to one view, and remove a stopped one")
{
  Node first("a", "north", {});
  Node second("b", "north", { first.Endpoint() });
  Node third("c", "south", { first.Endpoint() });
  const auto allCount = [&](uint32_t aCount) {
    return first.membership_.LiveEntryCount() == aCount &&
           second.membership_.LiveEntryCount() == aCount &&
           third.membership_.LiveEntryCount() == aCount;
  };
  CHECK(WaitUntil([&] { return allCount(3); }));
  CHECK(second.membership_.View()->OwnZoneEntryCount() == 2);
  CHECK(third.membership_.View()->OwnZoneEntryCount() == 1);
  second.membership_.Stop();
  CHECK(WaitUntil([&] {
    return first.membership_.LiveEntryCount() == 2 &&
           third.membership_.LiveEntryCount() == 2;
  }));
  Metrics metrics;
  first.membership_.Export(metrics);
  CHECK(metrics.ToText().find("foxtail_membership_live_entries 2") !=
        std::string::npos);
}
