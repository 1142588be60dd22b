#ifndef CONTROL_REPLICATEDCONTROL_H
#define CONTROL_REPLICATEDCONTROL_H

#include "consensus/ConsensusNode.h"
#include "consensus/DataFolder.h"
#include "consensus/LogStorage.h"
#include "control/ControlSettings.h"
#include "control/ControlState.h"
#include "core/Metrics.h"
#include "instance/FrameTransport.h"
#include "policy/EvacuatedZones.h"

#include <absl/status/statusor.h>
#include <atomic>
#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace foxtail {

/// Called with the accepted document once this instance has applied what a
/// leader had committed after the start of this process, after each change, and
/// again by each new leader. Versions that are applied together are notified as
/// one. Runs on the control thread, so it must not block.
using DocumentListener = std::function<
  void(DocumentVersion, std::shared_ptr<const std::string>, bool aIsLeader)>;

/// Called with a departure of a backend server that was committed, and with all
/// departures of a snapshot that replaces the state. Runs on the control
/// thread, so it must not block.
using DepartureListener = std::function<void(const ServerAnnouncement&)>;

/// Called with the evacuated zones once this instance has applied what its
/// leader has committed, and after each change. Runs on the control thread, so
/// it must not block.
using EvacuationListener = std::function<void(const EvacuatedZones&)>;

/// Runs one member of the control group. One thread, the control thread, drives
/// the consensus node, its storage, its messages and the control state.
/// Requests received while a batch is being synced go into the next batch.
/// Public functions are thread safe, except Start() and Stop().
class ReplicatedControl
{
public:
  /// @param aFrames must not have been started; the constructor registers
  /// handlers for consensus and join frames.
  ReplicatedControl(ControlSettings aSettings,
                    DataFolder aFolder,
                    std::unique_ptr<LogStorage> aStorage,
                    FrameTransport& aFrames,
                    Metrics& aMetrics);
  ~ReplicatedControl();
  ReplicatedControl(const ReplicatedControl&) = delete;
  ReplicatedControl& operator=(const ReplicatedControl&) = delete;

  /// Call before Start().
  void OnDocument(DocumentListener aListener);
  /// Call before Start().
  void OnDeparture(DepartureListener aListener);
  /// Call before Start().
  void OnEvacuations(EvacuationListener aListener);
  /// The listener runs on the control thread when the members have changed, and
  /// must not block. Call before Start().
  void OnMembership(std::function<void(const Membership&)> aListener);
  /// The listener is called once when the storage has failed and the control
  /// thread ends. Call before Start().
  void OnFailure(std::function<void()> aListener);

  /// Loads the state and starts the thread.
  ///
  /// @param aIsBootstrap creates a new group with this instance as its first
  /// member when the data folder is empty, unless a seed replies that it has a
  /// group already.
  /// @return Storage when the stored data is damaged or unreadable.
  absl::Status Start(bool aIsBootstrap);
  /// Transfers leadership to another member, then stops the thread.
  void Stop();
  /// Replaces the control instances that receive this one's join requests. An
  /// instance sends them while it is not a member or has lost the leader.
  void SetSeeds(std::vector<ControlPeer> aSeeds);

  /// Commits a command and applies it.
  ///
  /// @return NoQuorum or Overloaded when the command was certainly not
  /// appended; DeadlineExceeded or Unavailable when its outcome is unknown.
  boost::asio::awaitable<absl::StatusOr<CommandResult>> Submit(
    CommandBody aBody,
    milliseconds aTimeout);

  /// Removes a permanently lost instance from the membership.
  ///
  /// @return NotFound when this incarnation is no member.
  boost::asio::awaitable<absl::Status> RemoveMember(MemberId aMember,
                                                    milliseconds aTimeout);

  /// Linearizable read: calls @p aVisit(const ControlState&) on the control
  /// thread once a quorum has confirmed that no newer entry was committed
  /// before the call.
  ///
  /// @return NoQuorum when this member does not lead, or no quorum replies
  /// before the timeout.
  template<typename Visit>
  auto Read(Visit aVisit, milliseconds aTimeout) -> boost::asio::awaitable<
    absl::StatusOr<std::invoke_result_t<Visit, const ControlState&>>>
  {
    using Value = std::invoke_result_t<Visit, const ControlState&>;
    using Result = absl::StatusOr<Value>;
    auto start = [this, aTimeout, visit = std::move(aVisit)](auto aHandler) {
      auto complete = WrapHandler<Result>(std::move(aHandler));
      PostRead(
        [visit, complete](const absl::Status& aStatus,
                          const ControlState& aState) {
          complete(aStatus.ok() ? Result(visit(aState)) : Result(aStatus));
        },
        aTimeout);
    };
    return boost::asio::async_initiate<const boost::asio::use_awaitable_t<>,
                                       void(Result)>(
      std::move(start), boost::asio::use_awaitable);
  }

  /// Calls @p aVisit(const ConsensusNode&, const ControlState&) on the control
  /// thread with this member's local state, without a quorum; the state may be
  /// stale.
  template<typename Visit>
  auto Inspect(Visit aVisit) -> boost::asio::awaitable<
    std::invoke_result_t<Visit, const ConsensusNode&, const ControlState&>>
  {
    using Result =
      std::invoke_result_t<Visit, const ConsensusNode&, const ControlState&>;
    auto start = [this, visit = std::move(aVisit)](auto aHandler) {
      auto complete = WrapHandler<Result>(std::move(aHandler));
      PostInspect([visit, complete](const ConsensusNode& aNode,
                                    const ControlState& aState) {
        complete(visit(aNode, aState));
      });
    };
    return boost::asio::async_initiate<const boost::asio::use_awaitable_t<>,
                                       void(Result)>(
      std::move(start), boost::asio::use_awaitable);
  }

  /// @return whether this member leads, by its local state.
  bool IsLeader() const { return isLeader_; }
  /// @return whether the state has held, at some time since the start of this
  /// process, all that a leader had committed. Before, it comes from this
  /// instance's disk alone and may lack changes that were acknowledged.
  bool HasCaughtUp() const { return hasCaughtUp_; }
  const ControlSettings& Settings() const { return settings_; }

private:
  using SubmitHandler = std::function<void(absl::StatusOr<CommandResult>)>;
  using ReadHandler =
    std::function<void(const absl::Status&, const ControlState&)>;
  using InspectHandler =
    std::function<void(const ConsensusNode&, const ControlState&)>;

  struct CommandRequest
  {
    CommandBody body_;
    TimePoint deadline_;
    SubmitHandler handler_;
  };
  struct ReadRequest
  {
    ReadHandler handler_;
    TimePoint deadline_;
  };
  struct InspectRequest
  {
    InspectHandler handler_;
  };
  struct JoinMessage
  {
    GroupMember member_;
    /// The sender: the instance described by member_, or a member that
    /// forwarded its request.
    InstanceId from_;
    /// A leader's reply to a joiner, with the leader's endpoint in member_.
    bool isLeaderReply_ = false;
  };
  struct RemoveMemberRequest
  {
    MemberId member_;
    TimePoint deadline_;
    SubmitHandler handler_;
  };
  struct FinishedSnapshot
  {
    LogIndex index_ = 0;
    std::shared_ptr<const std::string> data_;
  };
  struct TransferLeadershipRequest
  {};
  struct SeedsUpdate
  {
    std::vector<ControlPeer> seeds_;
  };
  using Input = std::variant<ConsensusMessage,
                             CommandRequest,
                             ReadRequest,
                             InspectRequest,
                             JoinMessage,
                             RemoveMemberRequest,
                             FinishedSnapshot,
                             TransferLeadershipRequest,
                             SeedsUpdate>;
  struct InputVisitor;
  struct PendingProposal
  {
    Term term_ = 0;
    TimePoint deadline_;
    SubmitHandler handler_;
  };
  struct Joiner
  {
    GroupMember member_;
    TimePoint lastRequestReceived_;
  };

  /// Wraps an asio handler so that it runs on its associated executor.
  template<typename Result, typename Handler>
  static std::function<void(Result)> WrapHandler(Handler aHandler)
  {
    auto shared = std::make_shared<Handler>(std::move(aHandler));
    return [shared](Result aResult) {
      auto executor = boost::asio::get_associated_executor(*shared);
      boost::asio::post(executor,
                        [shared, result = std::move(aResult)]() mutable {
                          (*shared)(std::move(result));
                        });
    };
  }

  void Post(Input aInput);
  void PostRead(ReadHandler aHandler, milliseconds aTimeout);
  void PostInspect(InspectHandler aHandler);

  // The functions below run on the control thread.
  void Run();
  void ProcessInputs(std::vector<Input> aInputs);
  void Handle(const ConsensusMessage& aMessage);
  void Handle(CommandRequest aRequest);
  void Handle(ReadRequest aRequest);
  void Handle(const InspectRequest& aRequest);
  void Handle(const JoinMessage& aMessage);
  void Handle(RemoveMemberRequest aRequest);
  void Handle(FinishedSnapshot aSnapshot);
  void Handle(TransferLeadershipRequest);
  void Handle(SeedsUpdate aSeeds);
  void TrackProposal(const Proposal& aProposal,
                     TimePoint aDeadline,
                     SubmitHandler aHandler);
  /// Creates a group once the bootstrap delay has passed without a reply from
  /// an existing one.
  ///
  /// @return false when the storage has failed.
  bool Bootstrap();
  void Tick();
  /// @return false when the storage has failed.
  bool ProcessOutput();
  void Apply(const LogEntry& aEntry);
  void Restore(const Snapshot& aSnapshot);
  void SendMessage(const ConsensusMessage& aMessage);
  void UpdateRole();
  void UpdateMetrics();
  void NotifyDeparture(const Command& aCommand);
  void NotifyMembership();
  /// @return whether the state holds all that was committed up to some time
  /// after the start of this process.
  bool HoldsLeaderState() const;
  /// Notifies the listeners of the document and the evacuations if these have
  /// changed, but never of a state from the disk alone.
  void NotifyState();
  void NotifyDocument();
  void NotifyEvacuations();
  /// A group accepts its first command when it has the number of voters in
  /// goal_: with fewer, one lost disk may be the only one with the command, or
  /// leave the group without a quorum for good. Later a voter is removed only
  /// as another one replaces it.
  ///
  /// @return whether the group has not had its voters yet.
  bool IsAwaitingVoters() const;
  void ExpirePending();
  void RequestJoin();
  bool IsMember(const InstanceId& aInstance) const;
  /// @return the membership row of this instance.
  GroupMember OwnMember(VotingRole aRole) const;
  /// Sends a request to add @p aSubject to the group; with @p aIsLeaderReply,
  /// sends the endpoint of @p aSubject, the leader, to a joiner.
  void SendJoin(const InstanceId& aTo,
                const GroupMember& aSubject,
                bool aIsLeaderReply);
  void ProposeMembers();
  void StartSnapshot();
  void FailPendingRequests(const absl::Status& aStatus);
  const std::string* EndpointOf(const InstanceId& aInstance) const;

  void OnConsensusFrame(const InstanceId& aFrom, const Frame& aFrame);
  void OnJoinFrame(const InstanceId& aFrom, const Frame& aFrame);

  ControlSettings settings_;
  DataFolder folder_;
  std::unique_ptr<LogStorage> storage_;
  FrameTransport& frames_;
  DocumentListener onDocument_;
  DepartureListener onDeparture_;
  EvacuationListener onEvacuations_;
  std::function<void()> onFailure_;
  std::function<void(const Membership&)> onMembership_;
  MemberId self_;

  std::mutex mutex_;
  std::condition_variable inputReady_;
  std::vector<Input> inbox_;
  bool isStopping_ = false;
  std::atomic<bool> isLeader_{ false };
  std::atomic<bool> hasCaughtUp_{ false };
  std::thread thread_;
  std::thread snapshotThread_;

  // Accessed by the control thread only.
  std::unique_ptr<ConsensusNode> node_;
  ControlState state_;
  TimePoint now_{};
  TimePoint startedAt_{};
  TimePoint nextTick_{};
  TimePoint nextJoinRequest_{};
  TimePoint lastLeaderKnown_{};
  std::optional<TimePoint> bootstrapAt_;
  /// Whether the group has accepted a command, by the log and the snapshot.
  bool hasAcceptedCommands_ = false;
  Membership notifiedMembership_;
  LogIndex appliedIndex_ = 0;
  /// Term of the last applied entry.
  Term appliedTerm_ = 0;
  /// Latest commit index received from a leader, and that leader's term.
  LogIndex leaderCommit_ = 0;
  Term leaderCommitTerm_ = 0;
  /// Version of which the listener was notified.
  std::optional<DocumentVersion> notifiedVersion_;
  /// Revision of EvacuatedZones of which the listener was notified; 0: none.
  uint64_t notifiedEvacuationRevision_ = 0;
  uint64_t bytesSinceSnapshot_ = 0;
  uint64_t lastSnapshotBytes_ = 0;
  bool isSnapshotRunning_ = false;
  std::map<LogIndex, PendingProposal> proposals_;
  std::map<ReadId, ReadRequest> reads_;
  std::map<InstanceId, Joiner> joiners_;
  /// Endpoints for frames of joiners and, on a joiner, of the leader.
  std::map<InstanceId, std::string> endpoints_;
  ConsensusRole lastRole_ = ConsensusRole::Follower;
  Term lastTerm_ = 0;
  bool hasNotifiedAsLeader_ = false;

  prometheus::Gauge& leaderGauge_;
  prometheus::Gauge& termGauge_;
  prometheus::Gauge& commitGauge_;
  prometheus::Gauge& versionGauge_;
  prometheus::Gauge& claimsGauge_;
  prometheus::Gauge& evacuatedZonesGauge_;
  prometheus::Counter& batches_;
  prometheus::Counter& entries_;
  prometheus::Counter& electionsWon_;
  prometheus::Histogram& syncSeconds_;
};

} // namespace foxtail

#endif // CONTROL_REPLICATEDCONTROL_H
