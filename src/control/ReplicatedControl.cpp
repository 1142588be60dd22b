#include "control/ReplicatedControl.h"

#include "consensus/MembershipPlan.h"
#include "consensus/MessageCodec.h"
#include "control/control_generated.h"
#include "core/Log.h"
#include "core/RandomSource.h"
#include "http/HttpClient.h"
#include "instance/Endpoint.h"
#include "instance/WireCodec.h"

#include <algorithm>
#include <set>
#include <utility>

namespace foxtail {
namespace {

/// Ticks per heartbeat interval.
constexpr int kTicksPerHeartbeat = 4;
/// Interval between the join requests of an instance.
constexpr milliseconds kJoinRequestInterval{ 250 };
/// Time without a known leader after which a member sends join requests again.
constexpr milliseconds kLeaderlessBeforeJoin{ 3000 };
/// Time after which the leader drops a join request that is not repeated.
constexpr milliseconds kJoinRequestLifetime{ 3000 };
/// Time that a stopping leader waits for the leadership transfer.
constexpr milliseconds kLeadershipTransferTimeout{ 1000 };

milliseconds WallMilliseconds()
{
  return duration_cast<milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
}

absl::Status NotLeaderError()
{
  return MakeError(ErrorKind::NoQuorum,
                   "this control instance is not the leader; send the request "
                   "to the leader, or, if there is none, check that a majority "
                   "of the control instances run and reach each other");
}

absl::Status OutcomeUnknownError()
{
  return MakeError(ErrorKind::DeadlineExceeded,
                   "no quorum confirmed the request in time, so its outcome is "
                   "unknown; resend it with the same id");
}

} // namespace

struct ReplicatedControl::InputVisitor
{
  ReplicatedControl& control_;

  template<typename T>
  void operator()(T&& aInput) const
  {
    control_.Handle(std::forward<T>(aInput));
  }
};

ReplicatedControl::ReplicatedControl(ControlSettings aSettings,
                                     DataFolder aFolder,
                                     std::unique_ptr<LogStorage> aStorage,
                                     FrameTransport& aFrames,
                                     Metrics& aMetrics)
  : settings_(std::move(aSettings))
  , folder_(std::move(aFolder))
  , storage_(std::move(aStorage))
  , frames_(aFrames)
  , self_{ settings_.instance_, folder_.GetIncarnation() }
  , leaderGauge_(aMetrics.Gauge("foxtail_control_leader",
                                "1 while this control instance leads"))
  , termGauge_(aMetrics.Gauge("foxtail_control_term", "Present term"))
  , commitGauge_(aMetrics.Gauge("foxtail_control_commit_index",
                                "Last committed entry that is known"))
  , versionGauge_(aMetrics.Gauge("foxtail_control_document_version",
                                 "Version of the accepted document"))
  , claimsGauge_(aMetrics.Gauge("foxtail_control_claims", "Claims kept"))
  , evacuatedZonesGauge_(
      aMetrics.Gauge("foxtail_control_evacuated_zones",
                     "Availability zones that are evacuated"))
  , batches_(aMetrics.Counter("foxtail_control_syncs_total",
                              "Batches written and synced"))
  , entries_(
      aMetrics.Counter("foxtail_control_entries_total", "Entries applied"))
  , electionsWon_(
      aMetrics.Counter("foxtail_control_elections_won_total",
                       "Times that this control instance was elected"))
  , syncSeconds_(aMetrics.SecondsHistogram("foxtail_control_sync_seconds",
                                           "Time to write and sync one batch"))
{
  settings_.goal_.maxReplyAge_ = settings_.consensus_.electionTimeout_;
  frames_.OnFrame(FrameKind::Consensus,
                  [this](const InstanceId& aFrom, const Frame& aFrame) {
                    OnConsensusFrame(aFrom, aFrame);
                  });
  frames_.OnFrame(FrameKind::ControlJoin,
                  [this](const InstanceId& aFrom, const Frame& aFrame) {
                    OnJoinFrame(aFrom, aFrame);
                  });
}

ReplicatedControl::~ReplicatedControl()
{
  Stop();
}

void ReplicatedControl::OnDocument(DocumentListener aListener)
{
  onDocument_ = std::move(aListener);
}

void ReplicatedControl::OnDeparture(DepartureListener aListener)
{
  onDeparture_ = std::move(aListener);
}

void ReplicatedControl::OnEvacuations(EvacuationListener aListener)
{
  onEvacuations_ = std::move(aListener);
}

void ReplicatedControl::OnMembership(
  std::function<void(const Membership&)> aListener)
{
  onMembership_ = std::move(aListener);
}

void ReplicatedControl::OnFailure(std::function<void()> aListener)
{
  onFailure_ = std::move(aListener);
}

absl::Status ReplicatedControl::Start(bool aIsBootstrap)
{
  auto stored = storage_->Load();
  if (!stored.ok()) {
    return stored.status();
  }
  const bool isEmpty =
    stored->entries_.empty() && stored->snapshot_.meta_.index_ == 0;
  LogLine(LogLevel::Info, "control_state_loaded")
    .Add("instance", self_.instance_)
    .Add("incarnation", self_.incarnation_)
    .Add("snapshot_index", stored->snapshot_.meta_.index_)
    .Add("entries", stored->entries_.size());
  now_ = Now();
  startedAt_ = now_;
  lastLeaderKnown_ = now_;
  hasAcceptedCommands_ =
    stored->snapshot_.meta_.index_ != 0 ||
    std::any_of(stored->entries_.begin(),
                stored->entries_.end(),
                [](const LogEntry& aEntry) {
                  return aEntry.kind_ == EntryKind::Command;
                });
  if (isEmpty && aIsBootstrap) {
    bootstrapAt_ = now_ + settings_.bootstrapDelay_;
  }
  node_ = std::make_unique<ConsensusNode>(settings_.consensus_,
                                          self_,
                                          *std::move(stored),
                                          RandomSource::SystemSeed(),
                                          now_);
  thread_ = std::thread([this] { Run(); });
  return absl::OkStatus();
}

bool ReplicatedControl::Bootstrap()
{
  if (!bootstrapAt_.has_value() || now_ < *bootstrapAt_) {
    return true;
  }
  bootstrapAt_.reset();
  if (node_->Group() != 0) {
    LogLine(LogLevel::Warning, "control_bootstrap_refused")
      .Add("group", node_->Group())
      .Add("reason",
           "an existing group replied; this instance joins it instead");
    return true;
  }
  StoredState state;
  Membership membership;
  membership.group_ = RandomSource::SystemSeed() | 1;
  membership.members_.push_back(OwnMember(VotingRole::Voter));
  state.hardState_.term_ = 1;
  state.entries_.push_back(
    { 1, 1, EntryKind::Membership, EncodeMembership(membership) });
  auto status = storage_->Write(
    { WriteHardState{ state.hardState_ }, WriteEntries{ state.entries_ } });
  if (!status.ok()) {
    LogLine(LogLevel::Error, "storage_failed").Add("error", status);
    return false;
  }
  LogLine(LogLevel::Info, "control_group_made").Add("group", membership.group_);
  node_ = std::make_unique<ConsensusNode>(settings_.consensus_,
                                          self_,
                                          std::move(state),
                                          RandomSource::SystemSeed(),
                                          now_);
  return true;
}

void ReplicatedControl::Stop()
{
  if (!thread_.joinable()) {
    return;
  }
  const TimePoint deadline = Now() + kLeadershipTransferTimeout;
  Post(TransferLeadershipRequest{});
  while (isLeader_ && Now() < deadline) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  {
    const std::lock_guard lock(mutex_);
    isStopping_ = true;
  }
  inputReady_.notify_one();
  thread_.join();
  if (snapshotThread_.joinable()) {
    snapshotThread_.join();
  }
}

boost::asio::awaitable<absl::StatusOr<CommandResult>> ReplicatedControl::Submit(
  CommandBody aBody,
  milliseconds aTimeout)
{
  using Result = absl::StatusOr<CommandResult>;
  auto start =
    [this, aTimeout, body = std::move(aBody)](auto aHandler) mutable {
      Post(CommandRequest{ std::move(body),
                           Now() + aTimeout,
                           WrapHandler<Result>(std::move(aHandler)) });
    };
  return boost::asio::async_initiate<const boost::asio::use_awaitable_t<>,
                                     void(Result)>(std::move(start),
                                                   boost::asio::use_awaitable);
}

boost::asio::awaitable<absl::Status> ReplicatedControl::RemoveMember(
  MemberId aMember,
  milliseconds aTimeout)
{
  using Result = absl::StatusOr<CommandResult>;
  auto start = [this, aTimeout, aMember](auto aHandler) {
    Post(RemoveMemberRequest{
      aMember, Now() + aTimeout, WrapHandler<Result>(std::move(aHandler)) });
  };
  const Result result =
    co_await boost::asio::async_initiate<const boost::asio::use_awaitable_t<>,
                                         void(Result)>(
      std::move(start), boost::asio::use_awaitable);
  co_return result.status();
}

void ReplicatedControl::SetSeeds(std::vector<ControlPeer> aSeeds)
{
  Post(SeedsUpdate{ std::move(aSeeds) });
}

void ReplicatedControl::Post(Input aInput)
{
  {
    const std::lock_guard lock(mutex_);
    inbox_.push_back(std::move(aInput));
  }
  inputReady_.notify_one();
}

void ReplicatedControl::PostRead(ReadHandler aHandler, milliseconds aTimeout)
{
  Post(ReadRequest{ std::move(aHandler), Now() + aTimeout });
}

void ReplicatedControl::PostInspect(InspectHandler aHandler)
{
  Post(InspectRequest{ std::move(aHandler) });
}

void ReplicatedControl::OnConsensusFrame(const InstanceId& aFrom,
                                         const Frame& aFrame)
{
  auto message = DecodeMessage(aFrame.payload_);
  if (!message.ok() || message->from_.instance_ != aFrom) {
    LogLine(LogLevel::Warning, "consensus_message_refused")
      .Add("from", aFrom)
      .Add("reason", "malformed, or the sender does not match the message");
    return;
  }
  Post(*std::move(message));
}

void ReplicatedControl::OnJoinFrame(const InstanceId& aFrom,
                                    const Frame& aFrame)
{
  const auto root = VerifyAndGetRoot<wire::ControlJoin>(aFrame.payload_);
  if (!root.ok()) {
    LogLine(LogLevel::Warning, "join_refused")
      .Add("from", aFrom)
      .Add("error", root.status());
    return;
  }
  JoinMessage message;
  message.from_ = aFrom;
  message.isLeaderReply_ = (*root)->is_greeting();
  message.member_.id_ = { InstanceId((*root)->instance()->str()),
                          Incarnation((*root)->incarnation()) };
  message.member_.endpoint_ = (*root)->endpoint()->str();
  message.member_.admin_ = (*root)->admin()->str();
  Post(std::move(message));
}

void ReplicatedControl::Run()
{
  const auto interval =
    settings_.consensus_.heartbeatInterval_ / kTicksPerHeartbeat;
  bool isRunning = ProcessOutput();
  while (isRunning) {
    std::vector<Input> inputs;
    {
      std::unique_lock lock(mutex_);
      inputReady_.wait_until(
        lock, nextTick_, [this] { return isStopping_ || !inbox_.empty(); });
      if (isStopping_) {
        break;
      }
      inputs.swap(inbox_);
    }
    now_ = Now();
    ProcessInputs(std::move(inputs));
    if (now_ >= nextTick_) {
      nextTick_ = now_ + interval;
      Tick();
    }
    isRunning = Bootstrap() && ProcessOutput();
  }
  FailPendingRequests(
    MakeError(ErrorKind::Unavailable,
              "the control instance is stopping, so the outcome is unknown; "
              "resend the request with the same id"));
  isLeader_ = false;
  if (!isRunning && onFailure_) {
    onFailure_();
  }
}

void ReplicatedControl::ProcessInputs(std::vector<Input> aInputs)
{
  for (Input& input : aInputs) {
    std::visit(InputVisitor{ *this }, std::move(input));
  }
}

void ReplicatedControl::Handle(const ConsensusMessage& aMessage)
{
  node_->Receive(aMessage, now_);
  const auto* append = std::get_if<AppendRequest>(&aMessage.body_);
  if (append != nullptr && aMessage.term_ == node_->CurrentTerm()) {
    leaderCommit_ = append->commitIndex_;
    leaderCommitTerm_ = aMessage.term_;
  }
}

bool ReplicatedControl::IsAwaitingVoters() const
{
  return !hasAcceptedCommands_ &&
         node_->CurrentMembership().VoterCount() < settings_.goal_.voters_;
}

void ReplicatedControl::Handle(CommandRequest aRequest)
{
  if (IsAwaitingVoters()) {
    aRequest.handler_(MakeError(
      ErrorKind::NoQuorum,
      "the new control group has " +
        std::to_string(node_->CurrentMembership().VoterCount()) + " of its " +
        std::to_string(settings_.goal_.voters_) +
        " voters and accepts nothing before it has all; start the "
        "other control instances, or check that they reach this one"));
    return;
  }
  const bool isClaim = std::holds_alternative<ClaimAction>(aRequest.body_);
  if (isClaim && state_.Claims().Size() >= settings_.maxClaims_) {
    aRequest.handler_(
      MakeError(ErrorKind::Overloaded,
                "the control instances hold max_claims claims; raise "
                "max_claims or shorten claim_retention_ms"));
    return;
  }
  // The retention comes from the settings here, not from the entry instance.
  if (auto* claim = std::get_if<ClaimAction>(&aRequest.body_)) {
    claim->retention_ = settings_.claimRetention_;
  } else if (auto* release = std::get_if<ReleaseAction>(&aRequest.body_)) {
    release->retention_ = settings_.claimRetention_;
  }
  const auto proposal = node_->Propose(
    EncodeCommand({ WallMilliseconds(), std::move(aRequest.body_) }));
  if (!proposal.ok()) {
    aRequest.handler_(node_->Role() == ConsensusRole::Leader
                        ? proposal.status()
                        : NotLeaderError());
    return;
  }
  TrackProposal(*proposal, aRequest.deadline_, std::move(aRequest.handler_));
}

void ReplicatedControl::Handle(ReadRequest aRequest)
{
  const auto read = node_->RequestRead();
  if (!read.ok()) {
    aRequest.handler_(NotLeaderError(), state_);
    return;
  }
  reads_[*read] = std::move(aRequest);
}

void ReplicatedControl::Handle(const InspectRequest& aRequest)
{
  aRequest.handler_(*node_, state_);
}

void ReplicatedControl::Handle(const JoinMessage& aMessage)
{
  const MemberId& joiner = aMessage.member_.id_;
  const bool isDirect = aMessage.from_ == joiner.instance_;
  if (!isDirect && !IsMember(aMessage.from_)) {
    LogLine(LogLevel::Warning, "join_refused")
      .Add("from", aMessage.from_)
      .Add("joiner", joiner.instance_)
      .Add("reason", "forwarded by an instance that is not a member");
    return;
  }
  if (aMessage.isLeaderReply_) {
    if (isDirect) {
      endpoints_[joiner.instance_] = aMessage.member_.endpoint_;
    }
    return;
  }
  if (node_->Role() == ConsensusRole::Leader) {
    endpoints_[joiner.instance_] = aMessage.member_.endpoint_;
    // The joiner may have only the endpoints of members that do not lead.
    SendJoin(joiner.instance_, OwnMember(VotingRole::Voter), true);
    joiners_.insert_or_assign(joiner.instance_,
                              Joiner{ aMessage.member_, now_ });
  } else if (node_->Group() != 0 && isDirect) {
    endpoints_[joiner.instance_] = aMessage.member_.endpoint_;
    // Any message of the group keeps an instance that waits to bootstrap from
    // creating a second one.
    SendMessage(
      { node_->Group(), self_, joiner, node_->CurrentTerm(), VoteReply{} });
    // The joiner's seeds may not include the leader.
    if (node_->Leader().has_value() && *node_->Leader() != self_) {
      SendJoin(node_->Leader()->instance_, aMessage.member_, false);
    }
  }
}

bool ReplicatedControl::IsMember(const InstanceId& aInstance) const
{
  const auto& members = node_->CurrentMembership().members_;
  return std::any_of(
    members.begin(), members.end(), [&](const GroupMember& aMember) {
      return aMember.id_.instance_ == aInstance;
    });
}

GroupMember ReplicatedControl::OwnMember(VotingRole aRole) const
{
  return { self_, aRole, settings_.endpoint_, settings_.admin_ };
}

void ReplicatedControl::SendJoin(const InstanceId& aTo,
                                 const GroupMember& aSubject,
                                 bool aIsLeaderReply)
{
  const std::string* text = EndpointOf(aTo);
  const auto to = text == nullptr ? std::nullopt : ToEndpoint(*text);
  if (!to) {
    return;
  }
  flatbuffers::FlatBufferBuilder builder;
  const auto instance = builder.CreateString(aSubject.id_.instance_.Value());
  const auto endpoint = builder.CreateString(aSubject.endpoint_);
  const auto admin = builder.CreateString(aSubject.admin_);
  builder.Finish(wire::CreateControlJoin(builder,
                                         instance,
                                         aSubject.id_.incarnation_.Value(),
                                         endpoint,
                                         admin,
                                         aIsLeaderReply));
  frames_.Send(*to, { FrameKind::ControlJoin, 0, FinishedBytes(builder) });
}

void ReplicatedControl::Handle(RemoveMemberRequest aRequest)
{
  Membership next = node_->CurrentMembership();
  const size_t removed =
    std::erase_if(next.members_, [&](const GroupMember& aMember) {
      return aMember.id_ == aRequest.member_;
    });
  if (removed == 0) {
    aRequest.handler_(MakeError(ErrorKind::NotFound,
                                "no such member; /v1/status lists the "
                                "members and their incarnations"));
    return;
  }
  const auto proposal = node_->ProposeMembership(std::move(next), now_);
  if (!proposal.ok()) {
    aRequest.handler_(proposal.status());
    return;
  }
  // Its last request to join is of before the removal.
  std::erase_if(joiners_, [&](const auto& aRow) {
    return aRow.second.member_.id_ == aRequest.member_;
  });
  LogLine(LogLevel::Info, "member_removed")
    .Add("member", ToText(aRequest.member_))
    .Add("reason", "requested by an operator");
  TrackProposal(*proposal, aRequest.deadline_, std::move(aRequest.handler_));
}

void ReplicatedControl::TrackProposal(const Proposal& aProposal,
                                      TimePoint aDeadline,
                                      SubmitHandler aHandler)
{
  PendingProposal& row = proposals_[aProposal.index_];
  if (row.handler_) {
    // The proposal is from an earlier term; another member may still have its
    // entry and commit it.
    row.handler_(OutcomeUnknownError());
  }
  row = { aProposal.term_, aDeadline, std::move(aHandler) };
}

void ReplicatedControl::Handle(FinishedSnapshot aSnapshot)
{
  isSnapshotRunning_ = false;
  lastSnapshotBytes_ = aSnapshot.data_->size();
  LogLine(LogLevel::Info, "snapshot_taken")
    .Add("index", aSnapshot.index_)
    .Add("bytes", lastSnapshotBytes_);
  node_->Compact(aSnapshot.index_, std::move(aSnapshot.data_));
}

void ReplicatedControl::Handle(TransferLeadershipRequest)
{
  node_->TransferLeadership();
}

void ReplicatedControl::Handle(SeedsUpdate aSeeds)
{
  settings_.seeds_ = std::move(aSeeds.seeds_);
}

void ReplicatedControl::Tick()
{
  node_->Tick(now_);
  ExpirePending();
  RequestJoin();
  ProposeMembers();
  NotifyMembership();
  NotifyState();
  UpdateMetrics();
}

bool ReplicatedControl::ProcessOutput()
{
  for (;;) {
    UpdateRole();
    ConsensusOutput output = node_->TakeOutput();
    if (output.IsEmpty()) {
      return true;
    }
    for (const ConsensusMessage& message : output.messages_) {
      SendMessage(message);
    }
    if (!output.writes_.empty()) {
      const TimePoint begin = Now();
      if (auto status = storage_->Write(output.writes_); !status.ok()) {
        LogLine(LogLevel::Error, "storage_failed").Add("error", status);
        return false;
      }
      now_ = Now();
      batches_.Increment();
      syncSeconds_.Observe(std::chrono::duration<double>(now_ - begin).count());
      node_->OnSynced(output.writeSequence_, now_);
    }
    if (output.installedSnapshot_.has_value()) {
      Restore(*output.installedSnapshot_);
    }
    for (const LogEntry& entry : output.committedEntries_) {
      Apply(entry);
    }
    // Before the confirmation of a read, whose reader may ask for the document.
    NotifyState();
    for (const ReadId read : output.confirmedReads_) {
      if (auto pending = reads_.extract(read)) {
        pending.mapped().handler_(absl::OkStatus(), state_);
      }
    }
    for (const ReadId read : output.failedReads_) {
      if (auto pending = reads_.extract(read)) {
        pending.mapped().handler_(NotLeaderError(), state_);
      }
    }
    StartSnapshot();
  }
}

void ReplicatedControl::Apply(const LogEntry& aEntry)
{
  appliedIndex_ = aEntry.index_;
  appliedTerm_ = aEntry.term_;
  bytesSinceSnapshot_ += aEntry.payload_.size();
  entries_.Increment();
  absl::StatusOr<CommandResult> result =
    CommandResult(ClaimUpdateResult{ true });
  if (aEntry.kind_ == EntryKind::Command) {
    hasAcceptedCommands_ = true;
    const auto command = DecodeCommand(aEntry.payload_);
    if (command.ok()) {
      result = state_.Apply(*command);
      NotifyDeparture(*command);
    } else {
      result = command.status();
    }
  } else if (aEntry.kind_ == EntryKind::Membership) {
    LogLine line(LogLevel::Info, "membership_committed");
    line.Add("index", aEntry.index_);
    for (const GroupMember& member : node_->CurrentMembership().members_) {
      line.Add(ToText(member.id_), NameOf(member.role_));
    }
  }
  auto pending = proposals_.extract(aEntry.index_);
  if (pending.empty()) {
    return;
  }
  if (pending.mapped().term_ != aEntry.term_) {
    // Another leader's entry was committed at this index, so this proposal can
    // never be committed.
    result = NotLeaderError();
  }
  pending.mapped().handler_(std::move(result));
}

void ReplicatedControl::Restore(const Snapshot& aSnapshot)
{
  const auto status = state_.Restore(*aSnapshot.data_);
  if (!status.ok()) {
    LogLine(LogLevel::Error, "snapshot_refused").Add("error", status);
    return;
  }
  hasAcceptedCommands_ = true;
  appliedIndex_ = aSnapshot.meta_.index_;
  appliedTerm_ = aSnapshot.meta_.term_;
  bytesSinceSnapshot_ = 0;
  lastSnapshotBytes_ = aSnapshot.data_->size();
  while (!proposals_.empty() && proposals_.begin()->first <= appliedIndex_) {
    auto pending = proposals_.extract(proposals_.begin());
    pending.mapped().handler_(OutcomeUnknownError());
  }
  if (onDeparture_) {
    for (const auto& [id, row] : state_.Departures().GetRows()) {
      onDeparture_(row.announcement_);
    }
  }
}

void ReplicatedControl::SendMessage(const ConsensusMessage& aMessage)
{
  const std::string* text = EndpointOf(aMessage.to_.instance_);
  if (text == nullptr) {
    return;
  }
  const auto endpoint = ParseEndpoint(*text);
  if (endpoint.ok()) {
    frames_.Send(*endpoint,
                 { FrameKind::Consensus, 0, EncodeMessage(aMessage) });
  }
}

const std::string* ReplicatedControl::EndpointOf(
  const InstanceId& aInstance) const
{
  // The settings take precedence: the address that reaches an instance from
  // here may differ from the one that the instance reports.
  for (const ControlPeer& peer : settings_.seeds_) {
    if (peer.instance_ == aInstance) {
      return &peer.endpoint_;
    }
  }
  for (const GroupMember& member : node_->CurrentMembership().members_) {
    if (member.id_.instance_ == aInstance && !member.endpoint_.empty()) {
      return &member.endpoint_;
    }
  }
  const auto found = endpoints_.find(aInstance);
  return found == endpoints_.end() ? nullptr : &found->second;
}

void ReplicatedControl::UpdateRole()
{
  const ConsensusRole role = node_->Role();
  isLeader_ = role == ConsensusRole::Leader;
  if (node_->Leader().has_value()) {
    lastLeaderKnown_ = now_;
  }
  if (role == lastRole_ && node_->CurrentTerm() == lastTerm_) {
    if (isLeader_ && !hasNotifiedAsLeader_ && HoldsLeaderState()) {
      hasNotifiedAsLeader_ = true;
      notifiedVersion_.reset();
      NotifyState();
    }
    return;
  }
  if (isLeader_ && lastRole_ != ConsensusRole::Leader) {
    electionsWon_.Increment();
    joiners_.clear();
    hasNotifiedAsLeader_ = false;
  }
  lastRole_ = role;
  lastTerm_ = node_->CurrentTerm();
  LogLine(LogLevel::Info, "consensus_role")
    .Add("role", NameOf(role))
    .Add("term", lastTerm_)
    .Add("commit", node_->CommitIndex())
    .Add("last", node_->Log().LastIndex());
}

void ReplicatedControl::UpdateMetrics()
{
  leaderGauge_.Set(isLeader_ ? 1 : 0);
  termGauge_.Set(static_cast<double>(node_->CurrentTerm()));
  commitGauge_.Set(static_cast<double>(node_->CommitIndex()));
  if (const auto version = state_.Documents().Version()) {
    versionGauge_.Set(static_cast<double>(version->Value()));
  }
  claimsGauge_.Set(static_cast<double>(state_.Claims().Size()));
  evacuatedZonesGauge_.Set(
    static_cast<double>(state_.Evacuations().GetRows().zones_.size()));
}

void ReplicatedControl::NotifyDeparture(const Command& aCommand)
{
  const auto* departure = std::get_if<RecordDeparture>(&aCommand.body_);
  if (onDeparture_ && departure != nullptr) {
    onDeparture_(departure->announcement_);
  }
}

void ReplicatedControl::NotifyMembership()
{
  if (onMembership_ && node_->CurrentMembership() != notifiedMembership_) {
    notifiedMembership_ = node_->CurrentMembership();
    onMembership_(notifiedMembership_);
  }
}

bool ReplicatedControl::HoldsLeaderState() const
{
  if (isLeader_) {
    return node_->HasCommittedInTerm() && appliedIndex_ >= node_->CommitIndex();
  }
  // The commit index of a leader that has not committed in its term may be
  // behind that of its predecessor.
  return leaderCommitTerm_ == node_->CurrentTerm() && leaderCommitTerm_ != 0 &&
         appliedTerm_ == leaderCommitTerm_ && appliedIndex_ >= leaderCommit_;
}

void ReplicatedControl::NotifyState()
{
  if (!hasCaughtUp_) {
    if (!HoldsLeaderState()) {
      return;
    }
    hasCaughtUp_ = true;
    LogLine(LogLevel::Info, "control_caught_up")
      .Add("index", appliedIndex_)
      .Add("term", node_->CurrentTerm())
      .Add("document", state_.Documents().Version())
      .Add("after_ms", ToMilliseconds(now_ - startedAt_));
  }
  NotifyDocument();
  NotifyEvacuations();
}

void ReplicatedControl::NotifyDocument()
{
  const DocumentLedger& documents = state_.Documents();
  const std::optional<DocumentVersion> version = documents.Version();
  if (!onDocument_ || !version || version == notifiedVersion_) {
    return;
  }
  notifiedVersion_ = version;
  onDocument_(*version, documents.Text(), isLeader_);
}

void ReplicatedControl::NotifyEvacuations()
{
  const EvacuationTable::Rows& rows = state_.Evacuations().GetRows();
  if (!onEvacuations_ || rows.revision_ + 1 == notifiedEvacuationRevision_) {
    return;
  }
  notifiedEvacuationRevision_ = rows.revision_ + 1;
  onEvacuations_({ notifiedEvacuationRevision_, rows.zones_ });
}

void ReplicatedControl::ExpirePending()
{
  for (auto row = proposals_.begin(); row != proposals_.end();) {
    if (row->second.deadline_ > now_) {
      ++row;
      continue;
    }
    row->second.handler_(OutcomeUnknownError());
    row = proposals_.erase(row);
  }
  for (auto row = reads_.begin(); row != reads_.end();) {
    if (row->second.deadline_ > now_) {
      ++row;
      continue;
    }
    row->second.handler_(NotLeaderError(), state_);
    row = reads_.erase(row);
  }
}

void ReplicatedControl::RequestJoin()
{
  const bool isMember = node_->CurrentMembership().Find(self_) != nullptr;
  const bool isLost = now_ - lastLeaderKnown_ >= kLeaderlessBeforeJoin;
  if ((isMember && !isLost) || isLeader_ || now_ < nextJoinRequest_) {
    return;
  }
  nextJoinRequest_ = now_ + kJoinRequestInterval;
  const GroupMember joiner = OwnMember(VotingRole::Learner);
  // Seeds and the stored members may both be out of date, so requests go to
  // all.
  std::set<InstanceId> targets;
  for (const ControlPeer& peer : settings_.seeds_) {
    targets.insert(peer.instance_);
  }
  for (const GroupMember& member : node_->CurrentMembership().members_) {
    targets.insert(member.id_.instance_);
  }
  targets.erase(self_.instance_);
  for (const InstanceId& instance : targets) {
    SendJoin(instance, joiner, false);
  }
}

void ReplicatedControl::ProposeMembers()
{
  if (!isLeader_) {
    return;
  }
  std::erase_if(joiners_, [this](const auto& aRow) {
    return now_ - aRow.second.lastRequestReceived_ > kJoinRequestLifetime;
  });
  std::vector<GroupMember> joiners;
  for (const auto& [instance, joiner] : joiners_) {
    const size_t members = node_->CurrentMembership().members_.size();
    if (members < settings_.maxMembers_) {
      joiners.push_back(joiner.member_);
    }
  }
  const auto next =
    PlanMembershipChange(*node_, joiners, settings_.goal_, now_);
  if (next.has_value() && node_->ProposeMembership(*next, now_).ok()) {
    LogLine line(LogLevel::Info, "membership_proposed");
    for (const GroupMember& member : next->members_) {
      line.Add(ToText(member.id_), NameOf(member.role_));
    }
  }
}

void ReplicatedControl::StartSnapshot()
{
  // Payload of at least the last snapshot's size must be logged first, so that
  // the cost of writing snapshots stays in proportion to the log.
  const uint64_t due = std::max(settings_.snapshotBytes_, lastSnapshotBytes_);
  if (isSnapshotRunning_ || bytesSinceSnapshot_ < due) {
    return;
  }
  isSnapshotRunning_ = true;
  bytesSinceSnapshot_ = 0;
  if (snapshotThread_.joinable()) {
    snapshotThread_.join();
  }
  snapshotThread_ = std::thread(
    [this, index = appliedIndex_, snapshot = state_.TakeSnapshot()] {
      Post(FinishedSnapshot{
        index, std::make_shared<const std::string>(snapshot.Encode()) });
    });
}

void ReplicatedControl::FailPendingRequests(const absl::Status& aStatus)
{
  for (auto& [index, proposal] : proposals_) {
    proposal.handler_(aStatus);
  }
  proposals_.clear();
  for (auto& [id, read] : reads_) {
    read.handler_(aStatus, state_);
  }
  reads_.clear();
  std::vector<Input> inputs;
  {
    const std::lock_guard lock(mutex_);
    inputs.swap(inbox_);
  }
  for (Input& input : inputs) {
    if (auto* submission = std::get_if<CommandRequest>(&input)) {
      submission->handler_(NotLeaderError());
    } else if (auto* reading = std::get_if<ReadRequest>(&input)) {
      reading->handler_(NotLeaderError(), state_);
    } else if (auto* inspection = std::get_if<InspectRequest>(&input)) {
      inspection->handler_(*node_, state_);
    } else if (auto* removal = std::get_if<RemoveMemberRequest>(&input)) {
      removal->handler_(NotLeaderError());
    }
  }
}

} // namespace foxtail
