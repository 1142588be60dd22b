#include "../Support.h"
#include "consensus/FileLogStorage.h"
#include "control/ReplicatedControl.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <doctest/doctest.h>
#include <filesystem>
#include <thread>

using namespace foxtail;

namespace {

/// A control instance with its own data folder, removed by the destructor.
class Member
{
public:
  /// @param aSeeds the control instances in its settings.
  /// @param aPort also names the data folder; the same one restarts a member.
  Member(const char* aName,
         const std::vector<const Member*>& aSeeds,
         uint16_t aPort = FreePort())
    : name_(aName)
    , port_(aPort)
    , folder_(std::filesystem::temp_directory_path() /
              ("foxtail-join-" + std::to_string(port_)))
    , pool_(1)
    , frames_(FramesOf(), pool_)
    , control_(SettingsOf(aSeeds),
               *DataFolder::Open(folder_.string()),
               std::make_unique<FileLogStorage>(folder_.string()),
               frames_,
               metrics_)
  {
  }
  ~Member()
  {
    control_.Stop();
    frames_.Stop();
    pool_.Stop();
    if (!isFolderKept_) {
      std::filesystem::remove_all(folder_);
    }
  }

  void Start(bool aIsFounder)
  {
    REQUIRE(control_.Start(aIsFounder).ok());
    REQUIRE(frames_.Start().ok());
    pool_.Start();
  }

  bool IsLeader() const { return control_.IsLeader(); }
  ControlPeer AsSeed() const { return { InstanceId(name_), Endpoint() }; }
  void SetSeeds(std::vector<ControlPeer> aSeeds)
  {
    control_.SetSeeds(std::move(aSeeds));
  }

  /// Keeps the data folder for a restart.
  void KeepFolder() { isFolderKept_ = true; }
  uint16_t Port() const { return port_; }
  /// @return the outcome of a command.
  absl::Status Commit(uint64_t aVersion)
  {
    auto submission = control_.Submit(
      AdoptDocument{ DocumentVersion(aVersion), "routes" }, seconds(1));
    return boost::asio::co_spawn(
             pool_.Context(0), std::move(submission), boost::asio::use_future)
      .get()
      .status();
  }

  /// @return the number of voters in this member's latest membership.
  size_t Voters()
  {
    auto inspection =
      control_.Inspect([](const ConsensusNode& aNode, const ControlState&) {
        return aNode.CurrentMembership().VoterCount();
      });
    return boost::asio::co_spawn(
             pool_.Context(0), std::move(inspection), boost::asio::use_future)
      .get();
  }

private:
  std::string Endpoint() const { return "127.0.0.1:" + std::to_string(port_); }

  FrameTransportSettings FramesOf() const
  {
    FrameTransportSettings settings;
    settings.instance_ = InstanceId(name_);
    settings.deploymentKey_ = "key of the tests";
    settings.port_ = port_;
    return settings;
  }

  ControlSettings SettingsOf(const std::vector<const Member*>& aSeeds) const
  {
    ControlSettings settings;
    settings.instance_ = InstanceId(name_);
    settings.endpoint_ = Endpoint();
    settings.goal_.voters_ = 3;
    settings.bootstrapDelay_ = milliseconds(10);
    settings.consensus_.electionTimeout_ = milliseconds(300);
    for (const Member* seed : aSeeds) {
      settings.seeds_.push_back({ InstanceId(seed->name_), seed->Endpoint() });
    }
    return settings;
  }

  bool isFolderKept_ = false;
  const std::string name_;
  const uint16_t port_;
  const std::filesystem::path folder_;
  Metrics metrics_;
  WorkerPool pool_;
  FrameTransport frames_;
  ReplicatedControl control_;
};

} // namespace

TEST_CASE(
  "join: an instance whose seeds do not include the leader is added to the "
  "group")
{
  Member first("control-1", {});
  Member second("control-2", { &first });
  first.Start(true);
  REQUIRE(WaitUntil([&] { return first.IsLeader(); }));
  second.Start(false);
  REQUIRE(WaitUntil([&] { return second.Voters() == 2; }));
  Member third("control-3", { &second });
  third.Start(false);
  CHECK(WaitUntil([&] { return first.Voters() == 3; }));
  CHECK(first.IsLeader());
}

TEST_CASE(
  "join: an instance that is not a member sends join requests to changed "
  "seeds")
{
  Member first("control-1", {});
  Member unreachable("control-9", {});
  first.Start(true);
  REQUIRE(WaitUntil([&] { return first.IsLeader(); }));
  Member second("control-2", { &unreachable });
  second.Start(false);
  std::this_thread::sleep_for(milliseconds(600));
  CHECK(first.Voters() == 1);
  second.SetSeeds({ first.AsSeed() });
  CHECK(WaitUntil([&] { return first.Voters() == 2; }));
}

// A group of one voter, restarted before the others had joined, accepted
// documents on one disk; with that disk they were lost, and the group never
// accepted another.
TEST_CASE("join: a new group accepts nothing before it has all its voters")
{
  auto first =
    std::make_unique<Member>("control-1", std::vector<const Member*>{});
  const uint16_t port = first->Port();
  first->Start(true);
  REQUIRE(WaitUntil([&] { return first->IsLeader(); }));
  CHECK_FALSE(first->Commit(1).ok());
  first->KeepFolder();
  first.reset();
  Member restarted("control-1", {}, port);
  restarted.Start(false);
  REQUIRE(WaitUntil([&] { return restarted.IsLeader(); }));
  CHECK_FALSE(restarted.Commit(2).ok());
  Member second("control-2", { &restarted });
  second.Start(false);
  REQUIRE(WaitUntil([&] { return restarted.Voters() == 2; }));
  const absl::Status status = restarted.Commit(3);
  CHECK(KindOf(status) == ErrorKind::NoQuorum);
  CHECK(std::string(status.message()).find("2 of its 3 voters") !=
        std::string::npos);
  {
    Member third("control-3", { &restarted });
    third.Start(false);
    REQUIRE(WaitUntil([&] { return restarted.Voters() == 3; }));
    CHECK(restarted.Commit(4).ok());
  }
  // A complete group accepts with a quorum of its voters.
  CHECK(restarted.Commit(5).ok());
}
