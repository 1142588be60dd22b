#include "backend/BackendFleet.h"

#include "core/Log.h"
#include "http/HttpClient.h"
#include "policy/Placement.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace foxtail {

namespace asio = boost::asio;

namespace {

constexpr milliseconds kTickInterval{ 20 };
constexpr milliseconds kShareInterval{ 200 };
/// Connections that one worker opens per tick ahead of requests.
constexpr uint32_t kWarmConnectsPerTick = 16;

template<typename... Visitors>
struct Overloaded : Visitors...
{
  using Visitors::operator()...;
};
template<typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

bool HasHeldChoice(const FleetView& aView)
{
  return std::any_of(
    aView.choices_.begin(), aView.choices_.end(), [](const auto& aRow) {
      return aRow.second.reason_ == SnapshotReason::Held;
    });
}

bool HasSwitchedChoice(const FleetView& aView)
{
  return std::any_of(aView.choices_.begin(),
                     aView.choices_.end(),
                     [](const auto& aRow) { return aRow.second.isSwitched_; });
}

} // namespace

// State of one worker; all members but the mailbox are used by its thread only.
struct BackendFleet::Worker
{
  Worker(asio::io_context& aContext,
         OwnerContext aOwner,
         const RcuCell<SharingInstances>& aSharing)
    : timer_(aContext)
    , owner_(std::move(aOwner))
    , sharing_(aSharing)
  {
  }

  Mailbox mailbox_;
  std::vector<WorkerMessage> inbox_;
  asio::steady_timer timer_;
  OwnerContext owner_;
  RcuReader<SharingInstances> sharing_;
  std::vector<std::shared_ptr<const RoutedReplica>> servers_;
  std::vector<std::shared_ptr<BackendServer>> retired_;
  TimePoint nextShareAt_{};
  /// Index of the server that the next tick starts with.
  size_t nextTickStart_ = 0;
};

namespace {

/// @return the part of one worker, which holds one reply of the largest size.
ReplyMemorySettings ReplyMemoryOfWorker(const BackendSettings& aSettings,
                                        size_t aWorkers)
{
  ReplyMemorySettings part = aSettings.replyMemory_;
  part.sharedBytes_ =
    std::max<size_t>(part.sharedBytes_ / aWorkers, aSettings.maxReplyBytes_);
  return part;
}

} // namespace

BackendFleet::BackendFleet(InstanceId aInstance,
                           BackendSettings aSettings,
                           PolicySettings aPolicy,
                           WorkerPool& aWorkers,
                           Metrics& aMetrics)
  : instance_(std::move(aInstance))
  , settings_(aSettings)
  , policy_(aPolicy)
  , workers_(aWorkers)
  , metrics_(aMetrics)
  , snapshots_(policy_.snapshot_)
  , view_(std::make_shared<const FleetView>())
  , sharing_(std::make_shared<const SharingInstances>(
      SharingInstances{ { instance_ }, 0, {} }))
{
  for (size_t i = 0; i < aWorkers.Size(); ++i) {
    asio::io_context& context = aWorkers.Context(i);
    OwnerContext owner{ context,
                        settings_,
                        policy_,
                        metrics_,
                        RcuReader<FleetView>(view_),
                        RandomSource(RandomSource::SystemSeed()),
                        [this, i](std::unique_ptr<Attempt> aAttempt) {
                          ReturnToOrigin(i, std::move(aAttempt));
                        },
                        std::make_shared<ReplyMemory>(
                          ReplyMemoryOfWorker(settings_, aWorkers.Size())) };
    perWorker_.push_back(
      std::make_unique<Worker>(context, std::move(owner), sharing_));
  }
}

BackendFleet::~BackendFleet()
{
  // A server and its connections reference each other; resetting the
  // connections breaks the cycle.
  for (const auto& worker : perWorker_) {
    for (const auto& replica : worker->servers_) {
      replica->server_->Connections().reset();
    }
    for (const auto& server : worker->retired_) {
      server->Connections().reset();
    }
  }
}

void BackendFleet::Start(TimePoint aNow)
{
  startedAt_ = aNow;
  for (size_t i = 0; i < perWorker_.size(); ++i) {
    ArmTick(i);
  }
}

void BackendFleet::SetInstances(std::vector<InstanceId> aInstances)
{
  if (std::find(aInstances.begin(), aInstances.end(), instance_) ==
      aInstances.end()) {
    aInstances.push_back(instance_);
  }
  const TimePoint now = Now();
  const uint32_t before = sharing_.Load()->Count(now);
  auto sharing = std::make_shared<SharingInstances>();
  sharing->instances_ = std::move(aInstances);
  if (sharing->instances_.size() < before) {
    sharing->heldCount_ = before;
    sharing->heldUntil_ = now + policy_.connectionShare_.lostInstanceHold_;
  }
  sharing_.Publish(std::move(sharing));
}

void BackendFleet::Update(std::shared_ptr<const RoutingTable> aTable,
                          TimePoint aNow)
{
  auto view = std::make_shared<FleetView>();
  view->replicas_.reserve(aTable->Replicas().size());
  std::map<BackendId, ServerRecord> previous;
  previous.swap(records_);
  for (const Replica& replica : aTable->Replicas()) {
    if (auto kept = previous.extract(replica.announcement_.server_)) {
      records_.insert(std::move(kept));
    }
    view->replicas_.push_back(UpdateReplica(replica));
  }
  for (auto& [id, removed] : previous) {
    RetireServer(std::move(removed.server_));
  }
  view->table_ = std::move(aTable);
  ChooseSnapshots(*view, aNow);
  view_.Publish(std::move(view));
}

void BackendFleet::SetZones(ZoneMap aZones, TimePoint aNow)
{
  zones_ = std::move(aZones);
  Update(view_.Load()->table_, aNow);
}

void BackendFleet::Refresh(TimePoint aNow)
{
  const std::shared_ptr<const FleetView> last = view_.Load();
  if (!HasHeldChoice(*last) && FindUnreachable(*last, aNow) == unreachable_) {
    return;
  }
  auto view = std::make_shared<FleetView>(*last);
  ChooseSnapshots(*view, aNow);
  if (HasSwitchedChoice(*view)) {
    view_.Publish(std::move(view));
  }
}

void BackendFleet::ChooseSnapshots(FleetView& aView, TimePoint aNow)
{
  unreachable_ = FindUnreachable(aView, aNow);
  aView.choices_ = snapshots_.ChooseAll(*aView.table_, unreachable_, aNow);
  LogChoices(aView);
}

std::vector<uint8_t> BackendFleet::FindUnreachable(const FleetView& aView,
                                                   TimePoint aNow) const
{
  std::vector<uint8_t> result;
  result.reserve(aView.replicas_.size());
  for (const auto& replica : aView.replicas_) {
    result.push_back(replica == nullptr || !TakesWork(*replica, aNow) ? 1 : 0);
  }
  return result;
}

bool BackendFleet::TakesWork(const RoutedReplica& aReplica,
                             TimePoint aNow) const
{
  const Announcement& announcement = aReplica.announcement_;
  const BackendSignals& signals = aReplica.server_->Signals();
  const DrainEvidence evidence =
    signals.MakeDrainEvidence(announcement.incarnation_);
  return !signals.IsEjected() &&
         DecideDrain(policy_.drain_, announcement, evidence, aNow) ==
           DrainVerdict::TakesWork;
}

void BackendFleet::LogChoices(const FleetView& aView) const
{
  for (const auto& [catalogue, choice] : aView.choices_) {
    if (!choice.isSwitched_) {
      continue;
    }
    LogLine line(choice.hasShardCountConflict_ ? LogLevel::Warning
                                               : LogLevel::Info,
                 "snapshot_chosen");
    line.Add("service", catalogue.service_)
      .Add("catalogue", catalogue.catalogue_)
      .Add("reason", NameOf(choice.reason_))
      .Add("covered", choice.coveredShards_)
      .Add("shard_count_conflict", choice.hasShardCountConflict_);
    if (choice.layout_) {
      line.Add("index_version", choice.layout_->version_)
        .Add("shards", choice.layout_->shardCount_);
    }
  }
}

void BackendFleet::OnAnnouncementReceived(const BackendId& aServer,
                                          TimePoint aNow)
{
  const auto found = records_.find(aServer);
  if (found != records_.end() && found->second.server_) {
    found->second.server_->Signals().OnAnnouncementReceived(aNow);
  }
}

std::shared_ptr<const RoutedReplica> BackendFleet::UpdateReplica(
  const Replica& aReplica)
{
  const Announcement& announcement = aReplica.announcement_;
  const ZoneDistance distance = zones_.DistanceTo(announcement.zone_);
  ServerRecord& record = records_[announcement.server_];
  if (record.replica_) {
    const Announcement& last = record.replica_->announcement_;
    const bool isSameProcess = last.incarnation_ == announcement.incarnation_ &&
                               last.address_ == announcement.address_;
    if (isSameProcess && last.IsSameContent(announcement) &&
        record.replica_->distance_ == distance) {
      return record.replica_;
    }
    if (!isSameProcess) {
      RetireServer(std::move(record.server_));
      record.server_ = nullptr;
    }
  }
  if (!record.server_) {
    record.server_ = MakeServer(announcement);
  }
  record.replica_ = nullptr;
  if (record.server_) {
    record.server_->Signals().OnAnnouncementReceived(
      aReplica.lastAnnouncementAt_);
    record.replica_ = std::make_shared<const RoutedReplica>(
      announcement, record.server_, distance);
    PostToOwner(record.replica_);
  }
  return record.replica_;
}

std::shared_ptr<BackendServer> BackendFleet::MakeServer(
  const Announcement& aAnnouncement)
{
  const auto endpoint = ParseEndpoint(aAnnouncement.address_);
  if (!endpoint.ok()) {
    LogLine(LogLevel::Warning, "backend_address_unusable")
      .Add("server", aAnnouncement.server_)
      .Add("reason", endpoint.status());
    return nullptr;
  }
  const size_t owner =
    std::hash<BackendId>()(aAnnouncement.server_) % workers_.Size();
  return std::make_shared<BackendServer>(
    aAnnouncement.server_, aAnnouncement.incarnation_, *endpoint, owner);
}

void BackendFleet::PostToOwner(std::shared_ptr<const RoutedReplica> aReplica)
{
  const size_t owner = aReplica->server_->OwnerWorker();
  asio::post(
    workers_.Context(owner), [this, owner, replica = std::move(aReplica)] {
      Worker& worker = *perWorker_[owner];
      BackendConnectionPool& connections = GetOrCreateConnections(replica);
      const auto found = std::find_if(
        worker.servers_.begin(), worker.servers_.end(), [&](const auto& aRow) {
          return aRow->server_ == replica->server_;
        });
      if (found == worker.servers_.end()) {
        worker.servers_.push_back(replica);
      } else {
        *found = replica;
        connections.Configure(replica->announcement_.slots_,
                              worker.sharing_.Get()->Count(Now()));
      }
      worker.nextShareAt_ = TimePoint{};
      Tick(owner, Now());
    });
}

void BackendFleet::RetireServer(std::shared_ptr<BackendServer> aServer)
{
  if (!aServer) {
    return;
  }
  const size_t owner = aServer->OwnerWorker();
  asio::post(
    workers_.Context(owner), [this, owner, server = std::move(aServer)] {
      Worker& worker = *perWorker_[owner];
      std::erase_if(worker.servers_,
                    [&](const auto& aRow) { return aRow->server_ == server; });
      server->Connections()->Retire();
      worker.retired_.push_back(server);
    });
}

void BackendFleet::Dispatch(size_t aOrigin,
                            std::vector<std::unique_ptr<Attempt>> aAttempts)
{
  // One batch for each other worker, so that it is woken once.
  std::vector<std::vector<WorkerMessage>> batches(perWorker_.size());
  for (auto& attempt : aAttempts) {
    BackendServer& server = *attempt->replica_->server_;
    server.Signals().OnDispatched();
    attempt->originWorker_ = aOrigin;
    const size_t owner = server.OwnerWorker();
    if (owner == aOrigin) {
      StartOnOwner(std::move(attempt));
    } else {
      batches[owner].emplace_back(StartMessage{ std::move(attempt) });
    }
  }
  for (size_t owner = 0; owner < batches.size(); ++owner) {
    if (!batches[owner].empty() &&
        perWorker_[owner]->mailbox_.PutAll(batches[owner])) {
      Wake(owner);
    }
  }
}

void BackendFleet::Wake(size_t aWorker)
{
  asio::post(workers_.Context(aWorker),
             [this, aWorker] { ProcessMessages(aWorker); });
}

BackendConnectionPool& BackendFleet::GetOrCreateConnections(
  const std::shared_ptr<const RoutedReplica>& aReplica)
{
  // An attempt may arrive before the message of PostToOwner().
  BackendServer& server = *aReplica->server_;
  std::unique_ptr<BackendConnectionPool>& connections = server.Connections();
  if (!connections) {
    Worker& worker = *perWorker_[server.OwnerWorker()];
    connections = std::make_unique<BackendConnectionPool>(
      server, aReplica, worker.owner_, worker.sharing_.Get()->Count(Now()));
  }
  return *connections;
}

void BackendFleet::StartOnOwner(std::unique_ptr<Attempt> aAttempt)
{
  BackendConnectionPool& connections =
    GetOrCreateConnections(aAttempt->replica_);
  connections.Start(std::move(aAttempt), Now());
}

void BackendFleet::Cancel(size_t aOrigin,
                          const std::shared_ptr<BackendServer>& aServer,
                          AttemptId aId,
                          std::optional<FailureKind> aFailure)
{
  const size_t owner = aServer->OwnerWorker();
  CancelMessage message{ aServer, aId, aFailure };
  if (owner == aOrigin) {
    CancelOnOwner(message);
    return;
  }
  if (perWorker_[owner]->mailbox_.Put(std::move(message))) {
    Wake(owner);
  }
}

void BackendFleet::CancelOnOwner(const CancelMessage& aMessage)
{
  if (const auto& connections = aMessage.server_->Connections()) {
    connections->Cancel(aMessage.id_, aMessage.failure_, Now());
  }
}

void BackendFleet::ReturnToOrigin(size_t aOwner,
                                  std::unique_ptr<Attempt> aAttempt)
{
  const size_t origin = aAttempt->originWorker_;
  if (origin == aOwner) {
    const std::shared_ptr<AttemptListener> listener = aAttempt->listener_;
    listener->OnAttemptEnd(std::move(aAttempt));
    return;
  }
  if (perWorker_[origin]->mailbox_.Put(ReturnMessage{ std::move(aAttempt) })) {
    Wake(origin);
  }
}

void BackendFleet::ProcessMessages(size_t aWorker)
{
  Worker& worker = *perWorker_[aWorker];
  worker.mailbox_.TakeAll(worker.inbox_);
  const auto handle = Overloaded{
    [&](StartMessage& aMessage) { StartOnOwner(std::move(aMessage.attempt_)); },
    [&](CancelMessage& aMessage) { CancelOnOwner(aMessage); },
    [&](ReturnMessage& aMessage) {
      const std::shared_ptr<AttemptListener> listener =
        aMessage.attempt_->listener_;
      listener->OnAttemptEnd(std::move(aMessage.attempt_));
    },
  };
  for (WorkerMessage& message : worker.inbox_) {
    std::visit(handle, message);
  }
  worker.inbox_.clear();
}

void BackendFleet::ArmTick(size_t aWorker)
{
  asio::steady_timer& timer = perWorker_[aWorker]->timer_;
  timer.expires_after(kTickInterval);
  timer.async_wait([this, aWorker](const boost::system::error_code& aError) {
    if (!aError) {
      Tick(aWorker, Now());
      ArmTick(aWorker);
    }
  });
}

void BackendFleet::Tick(size_t aWorker, TimePoint aNow)
{
  Worker& worker = *perWorker_[aWorker];
  if (aNow >= worker.nextShareAt_) {
    worker.nextShareAt_ = aNow + kShareInterval;
    UpdateShares(worker, aNow);
  }
  worker.owner_.warmConnectsLeft_ = kWarmConnectsPerTick;
  // Starts at the server where the last tick used up its connects, so that each
  // server gets its turn.
  const size_t count = worker.servers_.size();
  const size_t first = worker.nextTickStart_;
  for (size_t i = 0; i < count; ++i) {
    const size_t index = (first + i) % count;
    if (worker.owner_.warmConnectsLeft_ > 0) {
      worker.nextTickStart_ = index;
    }
    worker.servers_[index]->server_->Connections()->Tick(aNow);
  }
  for (const auto& server : worker.retired_) {
    server->Connections()->Tick(aNow);
  }
  std::erase_if(worker.retired_, [](const auto& aServer) {
    return aServer->Connections()->TryRelease();
  });
}

void BackendFleet::UpdateShares(Worker& aWorker, TimePoint aNow)
{
  const SharingInstances& sharing = *aWorker.sharing_.Get();
  const std::vector<InstanceId>& instances = sharing.instances_;
  for (const auto& replica : aWorker.servers_) {
    const Announcement& announcement = replica->announcement_;
    const std::string& key = announcement.server_.Value();
    const uint64_t score = RendezvousScore(key, instance_.Value());
    ConnectionShareInput input;
    input.limit_ = announcement.connections_;
    input.instances_ = sharing.Count(aNow);
    input.rank_ = static_cast<uint32_t>(std::count_if(
      instances.begin(), instances.end(), [&](const InstanceId& aOther) {
        return aOther != instance_ &&
               RendezvousScore(key, aOther.Value()) > score;
      }));
    replica->server_->Connections()->UpdateShare(input, startedAt_, aNow);
  }
}

} // namespace foxtail
