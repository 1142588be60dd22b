#ifndef TESTS_CONTROL_CONTROLMEMBER_H
#define TESTS_CONTROL_CONTROLMEMBER_H

#include "../Support.h"
#include "consensus/FileLogStorage.h"
#include "control/CommandServer.h"
#include "control/EvacuationLog.h"
#include "control/ReplicatedControl.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <doctest/doctest.h>
#include <filesystem>
#include <mutex>

namespace foxtail {

/// A control instance with its own data folder, removed by the destructor.
class ControlMember
{
public:
  /// @param aSeeds the control instances in its settings.
  /// @param aPort also names the data folder; the same one restarts a member.
  ControlMember(const char* aName,
                const std::vector<const ControlMember*>& aSeeds,
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
    , commands_(control_, frames_, metrics_)
    , evacuations_(control_, frames_, metrics_)
  {
    control_.OnDocument([this](DocumentVersion aVersion,
                               std::shared_ptr<const std::string>,
                               bool) {
      const std::lock_guard lock(mutex_);
      notifiedVersions_.push_back(aVersion);
    });
    control_.OnEvacuations([this](const EvacuatedZones& aZones) {
      const std::lock_guard lock(mutex_);
      notified_.push_back(aZones);
    });
  }
  ~ControlMember()
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
  absl::Status Commit(uint64_t aVersion, std::string aText = "routes")
  {
    auto submission = control_.Submit(
      AdoptDocument{ DocumentVersion(aVersion), std::move(aText) }, seconds(1));
    return boost::asio::co_spawn(
             pool_.Context(0), std::move(submission), boost::asio::use_future)
      .get()
      .status();
  }

  /// Cuts the instance off: it neither sends nor receives frames any more.
  void CutOff() { frames_.Stop(); }

  /// @return the outcome of one order that this instance receives.
  EvacuationOutcome Receive(const EvacuationOrder& aOrder)
  {
    auto commit = evacuations_.Commit(aOrder, Now() + milliseconds(850));
    return boost::asio::co_spawn(
             pool_.Context(0), std::move(commit), boost::asio::use_future)
      .get();
  }
  /// Sends an order to this instance, and sends it again with the number of
  /// known orders that the instance states, at most twice.
  ///
  /// @return whether it was confirmed.
  absl::Status Evacuate(const char* aZone, bool aIsEvacuated)
  {
    EvacuationOrder order{ ZoneName(aZone), aIsEvacuated, std::nullopt };
    for (int sent = 0; sent < 3; ++sent) {
      const EvacuationOutcome outcome = Receive(order);
      if (std::holds_alternative<EvacuationCommitted>(outcome)) {
        return absl::OkStatus();
      }
      const auto* unproved = std::get_if<EvacuationUnproved>(&outcome);
      if (unproved == nullptr) {
        break;
      }
      order.knownOrders_ = unproved->knownOrders_;
    }
    return absl::UnavailableError("not confirmed");
  }
  /// @return the evacuations of which the listener was last notified; unknown
  /// if it was not.
  EvacuatedZones Notified()
  {
    const std::lock_guard lock(mutex_);
    return notified_.empty() ? EvacuatedZones{} : notified_.back();
  }

  /// @return the versions of which the listener was notified, in their order.
  std::vector<DocumentVersion> NotifiedVersions()
  {
    const std::lock_guard lock(mutex_);
    return notifiedVersions_;
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

  ControlSettings SettingsOf(
    const std::vector<const ControlMember*>& aSeeds) const
  {
    ControlSettings settings;
    settings.instance_ = InstanceId(name_);
    settings.endpoint_ = Endpoint();
    settings.goal_.voters_ = 3;
    settings.bootstrapDelay_ = milliseconds(10);
    settings.snapshotBytes_ = 64 * 1024;
    settings.consensus_.electionTimeout_ = milliseconds(300);
    for (const ControlMember* seed : aSeeds) {
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
  CommandServer commands_;
  EvacuationLog evacuations_;
  std::mutex mutex_;
  std::vector<EvacuatedZones> notified_;
  std::vector<DocumentVersion> notifiedVersions_;
};

/// A group of three control instances. The first one creates it and leads.
class ControlGroup
{
public:
  ControlGroup()
  {
    for (const char* name : kNames) {
      std::vector<const ControlMember*> seeds;
      for (const auto& member : members_) {
        seeds.push_back(member.get());
      }
      members_.push_back(std::make_unique<ControlMember>(name, seeds));
      members_.back()->Start(seeds.empty());
      const size_t count = members_.size();
      REQUIRE(WaitUntil([&] { return members_[0]->Voters() == count; }));
    }
    for (size_t i = 0; i < members_.size(); ++i) {
      std::vector<ControlPeer> seeds;
      for (size_t other = 0; other < members_.size(); ++other) {
        if (other != i) {
          seeds.push_back(members_[other]->AsSeed());
        }
      }
      members_[i]->SetSeeds(std::move(seeds));
    }
    REQUIRE(WaitUntil([&] { return members_[0]->Commit(1).ok(); }));
  }

  ControlMember& Leader() { return *members_[0]; }
  ControlMember& Follower(size_t aNumber) { return *members_[aNumber]; }
  std::vector<std::unique_ptr<ControlMember>>& Members() { return members_; }

  /// Ends all members, the leader last, and makes them anew with their data
  /// folders. They are not started.
  void Restart()
  {
    std::vector<uint16_t> ports;
    for (const auto& member : members_) {
      ports.push_back(member->Port());
      member->KeepFolder();
    }
    while (!members_.empty()) {
      members_.pop_back();
    }
    for (size_t i = 0; i < ports.size(); ++i) {
      std::vector<const ControlMember*> seeds;
      if (i > 0) {
        seeds.push_back(members_[0].get());
      }
      members_.push_back(
        std::make_unique<ControlMember>(kNames.at(i), seeds, ports[i]));
    }
  }

private:
  static constexpr std::array<const char*, 3> kNames{ "control-1",
                                                      "control-2",
                                                      "control-3" };
  std::vector<std::unique_ptr<ControlMember>> members_;
};

} // namespace foxtail

#endif // TESTS_CONTROL_CONTROLMEMBER_H
