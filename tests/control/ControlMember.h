#ifndef TESTS_CONTROL_CONTROLMEMBER_H
#define TESTS_CONTROL_CONTROLMEMBER_H

#include "../Support.h"
#include "consensus/FileLogStorage.h"
#include "control/CommandServer.h"
#include "control/EvacuationLog.h"
#include "control/ReplicatedControl.h"

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
  absl::Status Commit(uint64_t aVersion)
  {
    auto submission = control_.Submit(
      AdoptDocument{ DocumentVersion(aVersion), "routes" }, seconds(1));
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
};

} // namespace foxtail

#endif // TESTS_CONTROL_CONTROLMEMBER_H
