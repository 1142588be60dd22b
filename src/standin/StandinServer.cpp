#include "standin/StandinServer.h"

#include "core/Listen.h"
#include "core/Log.h"
#include "standin/StandinConnection.h"

#include <algorithm>

namespace foxtail {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr milliseconds kDrainStep{ 50 };
constexpr seconds kLeavingBound{ 2 };

std::string WholeResponse(std::string_view aHead, std::string_view aBody)
{
  std::string bytes;
  bytes.reserve(aHead.size() + aBody.size() + 64);
  bytes += aHead;
  bytes += "Content-Type: application/json\r\nContent-Length: ";
  bytes += std::to_string(aBody.size());
  bytes += "\r\n\r\n";
  bytes += aBody;
  return bytes;
}

std::string ShardText(const ShardPlace& aPlace)
{
  return std::to_string(aPlace.shard_) + "/" + std::to_string(aPlace.shards_);
}

uint64_t SecondsSinceEpoch()
{
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(duration_cast<seconds>(since).count());
}

} // namespace

StandinServer::StandinServer(std::shared_ptr<const GroupSettings> aGroup,
                             std::shared_ptr<const Catalogue> aCatalogue,
                             ServerIdentity aIdentity,
                             ShardPlace aPlace,
                             std::string aAddress,
                             asio::io_context& aContext,
                             std::function<void()> aOnChange)
  : group_(std::move(aGroup))
  , catalogue_(std::move(aCatalogue))
  , identity_(std::move(aIdentity))
  , address_(std::move(aAddress))
  , context_(aContext)
  , onChange_(std::move(aOnChange))
  , acceptor_(aContext)
  , stateTimer_(aContext)
  , random_(identity_.seed_)
  , port_(identity_.port_)
  , place_(aPlace)
{
}

StandinServer::~StandinServer() = default;

absl::Status StandinServer::Listen()
{
  if (auto status = foxtail::Listen(acceptor_, address_, port_); !status.ok()) {
    return MakeError(ErrorKind::InvalidSettings,
                     "server " + identity_.name_ + ": " +
                       std::string(status.message()) +
                       ", by another base_port");
  }
  port_ = acceptor_.local_endpoint().port();
  return absl::OkStatus();
}

absl::Status StandinServer::Start()
{
  if (auto status = Listen(); !status.ok()) {
    return status;
  }
  incarnation_ = SecondsSinceEpoch();
  Open();
  return absl::OkStatus();
}

void StandinServer::Open()
{
  Accept();
  leavingSince_.reset();
  coldUntil_ = Now() + group_->coldTime_;
  if (group_->coldTime_ == milliseconds::zero()) {
    SetState(ServerState::Ready);
    return;
  }
  SetState(ServerState::Starting);
  stateTimer_.expires_after(group_->coldTime_);
  stateTimer_.async_wait([this](const error_code& aError) {
    if (!aError && state_ == ServerState::Starting) {
      SetState(ServerState::Ready);
    }
  });
}

void StandinServer::Accept()
{
  acceptor_.async_accept(
    context_, [this](const error_code& aError, asio::ip::tcp::socket aSocket) {
      if (aError == asio::error::operation_aborted || !acceptor_.is_open()) {
        return;
      }
      if (!aError) {
        OnAccepted(std::move(aSocket));
      }
      Accept();
    });
}

void StandinServer::OnAccepted(asio::ip::tcp::socket aSocket)
{
  ++stats_.connectionsOpened_;
  if (connections_.size() >= group_->connections_) {
    ++stats_.overLimit_;
    return;
  }
  error_code ignored;
  aSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
  auto connection =
    std::make_shared<StandinConnection>(*this, std::move(aSocket));
  connections_.insert(connection);
  stats_.connectionsPeak_ =
    std::max<uint64_t>(stats_.connectionsPeak_, connections_.size());
  connection->Start(group_->connectCost_);
}

void StandinServer::SetState(ServerState aState)
{
  state_ = aState;
  PublishAnnounced(false);
}

void StandinServer::PublishAnnounced(bool aIsSilent)
{
  {
    const std::lock_guard lock(mutex_);
    announced_.place_ = place_;
    announced_.state_ = state_;
    announced_.incarnation_ = incarnation_;
    announced_.isSilent_ = aIsSilent;
  }
  onChange_();
}

std::optional<std::string> StandinServer::Announcement()
{
  const std::lock_guard lock(mutex_);
  if (announced_.isSilent_) {
    return std::nullopt;
  }
  boost::json::object message{
    { "server", identity_.name_ },
    { "incarnation", announced_.incarnation_ },
    { "sequence", ++announced_.sequence_ },
    { "service", group_->service_ },
    { "catalogue", group_->catalogue_ },
    { "index_version", announced_.place_.version_ },
    { "shard", announced_.place_.shard_ },
    { "shards", announced_.place_.shards_ },
    { "zone", identity_.zone_ },
    { "address", address_ + ":" + std::to_string(port_) },
    { "slots", group_->slots_ },
    { "connections", group_->connections_ },
    { "state", std::string(NameOf(announced_.state_)) },
  };
  return boost::json::serialize(message);
}

bool StandinServer::IsSelected(const ServerSelector& aSelector) const
{
  const auto matches = [](const std::string& aWanted, std::string_view aValue) {
    return aWanted.empty() || aWanted == aValue;
  };
  const char letter = identity_.ReplicaLetter();
  const std::lock_guard lock(mutex_);
  return identity_.name_.starts_with(aSelector.name_) &&
         matches(aSelector.service_, group_->service_) &&
         matches(aSelector.catalogue_, group_->catalogue_) &&
         matches(aSelector.zone_, identity_.zone_) &&
         matches(aSelector.replica_, std::string_view(&letter, 1)) &&
         (!aSelector.shard_ || *aSelector.shard_ == announced_.place_.shard_);
}

void StandinServer::Apply(const Fault& aFault)
{
  LogLine(LogLevel::Info, "fault")
    .Add("server", identity_.name_)
    .Add("fault", NameOf(aFault.kind_))
    .Add("on", aFault.isOn_);
  switch (aFault.kind_) {
    case FaultKind::Clear:
      faults_.fill(std::nullopt);
      leavingSince_.reset();
      PublishAnnounced(false);
      return;
    case FaultKind::Kill:
      Kill();
      return;
    case FaultKind::Restart:
      Kill();
      Restart();
      return;
    case FaultKind::Drain:
      BeginDrain(aFault);
      return;
    case FaultKind::Version:
      ChangePlace({ aFault.version_, place_.shard_, place_.shards_ },
                  aFault.time_);
      return;
    case FaultKind::Repartition:
      if (place_.shard_ >= aFault.shards_) {
        BeginDrain(aFault);
        return;
      }
      ChangePlace({ aFault.version_, place_.shard_, aFault.shards_ },
                  aFault.time_);
      return;
    default:
      break;
  }
  auto& row = faults_[static_cast<size_t>(aFault.kind_)];
  row = aFault.isOn_ ? std::optional(aFault) : std::nullopt;
  if (aFault.kind_ == FaultKind::Silent) {
    leavingSince_ = aFault.isOn_ ? std::optional(Now()) : std::nullopt;
    PublishAnnounced(aFault.isOn_);
  }
}

void StandinServer::Kill()
{
  error_code ignored;
  acceptor_.close(ignored);
  stateTimer_.cancel();
  const auto open = connections_;
  for (const ConnectionPtr& connection : open) {
    connection->Close();
  }
  PublishAnnounced(true);
}

void StandinServer::Restart()
{
  constexpr milliseconds kRetry{ 100 };
  if (!Listen().ok()) {
    stateTimer_.expires_after(kRetry);
    stateTimer_.async_wait([this](const error_code& aError) {
      if (!aError) {
        Restart();
      }
    });
    return;
  }
  incarnation_ = std::max(incarnation_ + 1, SecondsSinceEpoch());
  faults_.fill(std::nullopt);
  Open();
}

void StandinServer::BeginDrain(const Fault& aFault)
{
  isRefusing_ = aFault.isRefusing_;
  leavingSince_ = Now();
  SetState(ServerState::Draining);
  if (isRefusing_) {
    EndDrainWhenIdle();
  }
}

void StandinServer::EndDrainWhenIdle()
{
  stateTimer_.expires_after(kDrainStep);
  stateTimer_.async_wait([this](const error_code& aError) {
    if (aError || state_ != ServerState::Draining) {
      return;
    }
    const bool isIdle = running_ == 0 && queue_.empty();
    if (isIdle && Now() - *leavingSince_ > kLeavingBound) {
      SetState(ServerState::Gone);
      return;
    }
    EndDrainWhenIdle();
  });
}

void StandinServer::ChangePlace(ShardPlace aPlace, milliseconds aKeepFormer)
{
  formerPlace_ = place_;
  formerUntil_ = Now() + aKeepFormer;
  place_ = aPlace;
  PublishAnnounced(false);
}

const Fault* StandinServer::FaultOf(FaultKind aKind)
{
  constexpr double kPercent = 100;
  const auto& row = faults_[static_cast<size_t>(aKind)];
  if (!row || !random_.Chance(row->percent_ / kPercent)) {
    return nullptr;
  }
  return &*row;
}

bool StandinServer::IsServed(const ShardPlace& aPlace, TimePoint aNow) const
{
  return aPlace == place_ || (aNow < formerUntil_ && aPlace == formerPlace_);
}

std::optional<RefusalReason> StandinServer::ReasonToRefuse(
  const ShardRequest& aRequest,
  TimePoint aNow) const
{
  const bool isLeaving =
    state_ == ServerState::Draining || state_ == ServerState::Gone;
  if (isLeaving && isRefusing_) {
    return RefusalReason::Draining;
  }
  if (!IsServed(aRequest.place_, aNow)) {
    return aRequest.place_.version_ == place_.version_ ? RefusalReason::Shard
                                                       : RefusalReason::Version;
  }
  if (aRequest.deadline_ && *aRequest.deadline_ <= aNow) {
    return RefusalReason::Deadline;
  }
  if (running_ >= group_->slots_ && queue_.size() >= group_->queue_) {
    return RefusalReason::Overloaded;
  }
  return std::nullopt;
}

void StandinServer::NoteWorkAfterLeaving(TimePoint aNow)
{
  if (!leavingSince_) {
    return;
  }
  const Duration since = aNow - *leavingSince_;
  ++stats_.workAfterLeaving_;
  if (since > kLeavingBound) {
    ++stats_.workAfterLeaving2s_;
  }
  stats_.lastWorkAfterLeaving_ = std::max(stats_.lastWorkAfterLeaving_, since);
}

void StandinServer::Receive(const ConnectionPtr& aConnection, TimePoint aNow)
{
  ++stats_.received_;
  NoteWorkAfterLeaving(aNow);
  if (FaultOf(FaultKind::Hang) != nullptr) {
    aConnection->state_ = JobState::Hung;
    return;
  }
  if (FaultOf(FaultKind::Error) != nullptr) {
    aConnection->Respond(WholeResponse("HTTP/1.1 500 Internal Server Error\r\n",
                                       R"({"error":"planted"})"));
    return;
  }
  if (const auto reason = ReasonToRefuse(aConnection->request_, aNow)) {
    Refuse(aConnection, *reason);
    return;
  }
  if (running_ < group_->slots_) {
    Run(aConnection, aNow);
    return;
  }
  aConnection->state_ = JobState::Queued;
  queue_.push_back(aConnection);
}

Duration StandinServer::ServiceTimeOf(TimePoint aNow)
{
  double factor = 1;
  if (const Fault* fault = FaultOf(FaultKind::Straggle)) {
    factor *= fault->factor_;
  }
  if (aNow < coldUntil_) {
    factor *= group_->coldFactor_;
  }
  const Duration drawn = DrawServiceTime(group_->serviceTime_, random_);
  return duration_cast<Duration>(drawn * factor);
}

void StandinServer::Run(const ConnectionPtr& aConnection, TimePoint aNow)
{
  ++running_;
  ++stats_.run_;
  const ShardRequest& request = aConnection->request_;
  if (!request.idempotencyKey_.empty()) {
    ++stats_.runsByKey_[request.idempotencyKey_];
  }
  if (group_->isRecordingTokens_) {
    ++stats_.runsByToken_[CatalogueQuery::Parse(request.body_).token_];
  }
  aConnection->state_ = JobState::Running;
  aConnection->startedAt_ = aNow;
  aConnection->isStopped_ = false;
  Duration time = ServiceTimeOf(aNow);
  if (const Fault* late = FaultOf(FaultKind::AnswerLate)) {
    time = request.deadline_.value_or(aNow) + late->time_ - aNow;
  } else if (request.deadline_ && aNow + time > *request.deadline_) {
    time = *request.deadline_ - aNow;
    aConnection->isStopped_ = true;
  }
  if (time <= Duration::zero()) {
    Finish(aConnection, aNow);
    return;
  }
  aConnection->timer_.expires_at(aNow + time);
  aConnection->timer_.async_wait([this, aConnection](const error_code& aError) {
    if (!aError && aConnection->state_ == JobState::Running) {
      Finish(aConnection, Now());
    }
  });
}

void StandinServer::Finish(const ConnectionPtr& aConnection, TimePoint aNow)
{
  --running_;
  stats_.busy_ += aNow - aConnection->startedAt_;
  if (aConnection->isStopped_) {
    ++stats_.stopped_;
    aConnection->Respond(WholeResponse("HTTP/1.1 504 Gateway Timeout\r\n",
                                       R"({"error":"deadline passed"})"));
  } else {
    ++stats_.completed_;
    Answer(aConnection);
  }
  RunNext(aNow);
}

void StandinServer::RunNext(TimePoint aNow)
{
  while (running_ < group_->slots_ && !queue_.empty()) {
    const ConnectionPtr next = queue_.front();
    queue_.pop_front();
    const auto& deadline = next->request_.deadline_;
    if (deadline && *deadline <= aNow) {
      Refuse(next, RefusalReason::Deadline);
      continue;
    }
    Run(next, aNow);
  }
}

void StandinServer::RemoveQueued(const ConnectionPtr& aConnection)
{
  const auto found = std::find(queue_.begin(), queue_.end(), aConnection);
  if (found != queue_.end()) {
    queue_.erase(found);
  }
}

void StandinServer::CancelAttempt(std::string_view aAttempt)
{
  for (const ConnectionPtr& connection : connections_) {
    if (connection->request_.attempt_ != aAttempt) {
      continue;
    }
    if (connection->state_ == JobState::Queued) {
      ++stats_.cancelled_;
      RemoveQueued(connection);
      Refuse(connection, RefusalReason::Cancelled);
    } else if (connection->state_ == JobState::Running) {
      ++stats_.cancelled_;
      --running_;
      connection->timer_.cancel();
      connection->Respond(
        WholeResponse("HTTP/1.1 503 Service Unavailable\r\n"
                      "Foxtail-Outcome: unknown\r\n"
                      "Foxtail-Reason: cancelled\r\nFoxtail-Attempt: " +
                        connection->request_.attempt_ + "\r\n",
                      "{}"));
      RunNext(Now());
    }
    return;
  }
}

void StandinServer::OnClosed(const ConnectionPtr& aConnection)
{
  const JobState state = aConnection->state_;
  aConnection->state_ = JobState::None;
  if (state == JobState::Queued) {
    ++stats_.cancelled_;
    RemoveQueued(aConnection);
  } else if (state == JobState::Running) {
    ++stats_.cancelled_;
    --running_;
  } else if (state == JobState::Hung) {
    ++stats_.cancelled_;
  }
  connections_.erase(aConnection);
  if (state == JobState::Running && acceptor_.is_open()) {
    RunNext(Now());
  }
}

void StandinServer::Refuse(const ConnectionPtr& aConnection,
                           RefusalReason aReason)
{
  ++stats_.refused_[static_cast<size_t>(aReason)];
  std::string head = "HTTP/1.1 503 Service Unavailable\r\n"
                     "Foxtail-Outcome: not_run\r\nFoxtail-Reason: ";
  head += NameOf(aReason);
  head += "\r\nFoxtail-Attempt: " + aConnection->request_.attempt_;
  head += "\r\n" + LoadHeader();
  aConnection->Respond(WholeResponse(head, "{}"));
}

void StandinServer::Answer(const ConnectionPtr& aConnection)
{
  const ShardRequest& request = aConnection->request_;
  std::string attempt = request.attempt_;
  if (FaultOf(FaultKind::WrongAttempt) != nullptr) {
    attempt = std::to_string(random_.NextBelow(1000000));
  }
  ShardPlace place = request.place_;
  if (FaultOf(FaultKind::WrongVersion) != nullptr) {
    ++place.version_;
  }
  const CatalogueQuery query = CatalogueQuery::Parse(request.body_);
  std::string body = R"({"catalogue":")" + group_->catalogue_ +
                     R"(","version":)" + std::to_string(place.version_) +
                     R"(,"shard":)" + std::to_string(place.shard_) +
                     R"(,"echo":)";
  AppendJsonString(body, query.token_);
  body += R"(,"matches":)";
  body += catalogue_->Find(place.shard_, place.shards_, query.text_);
  if (group_->paddingBytes_ > 0) {
    body += R"(,"padding":")" + std::string(group_->paddingBytes_, 'x') + '"';
  }
  body += FaultOf(FaultKind::BadJson) != nullptr ? "" : "}";
  std::string head = "HTTP/1.1 200 OK\r\nFoxtail-Attempt: " + attempt +
                     "\r\nFoxtail-Version: " + std::to_string(place.version_) +
                     "\r\nFoxtail-Shard: " + ShardText(place) + "\r\n" +
                     LoadHeader();
  const bool isCut = FaultOf(FaultKind::CutBody) != nullptr;
  aConnection->Respond(WholeResponse(head, body),
                       isCut ? (body.size() / 2) + 1 : 0);
}

uint32_t StandinServer::ToldInFlight() const
{
  const auto& lie = faults_[static_cast<size_t>(FaultKind::LieLoad)];
  return lie ? lie->inFlight_ : running_;
}

std::string StandinServer::LoadHeader() const
{
  const auto& lie = faults_[static_cast<size_t>(FaultKind::LieLoad)];
  std::string header = "Foxtail-Load: in_flight=";
  header += std::to_string(ToldInFlight());
  header += " queued=" + std::to_string(lie ? 0 : queue_.size());
  header += " slots=" + std::to_string(group_->slots_);
  header += " state=";
  header += NameOf(state_);
  header += "\r\n";
  return header;
}

std::string StandinServer::HealthResponse() const
{
  const auto& lie = faults_[static_cast<size_t>(FaultKind::LieHealth)];
  const std::string state = lie ? lie->state_ : std::string(NameOf(state_));
  return WholeResponse("HTTP/1.1 200 OK\r\n", R"({"state":")" + state + "\"}");
}

std::string StandinServer::LoadResponse() const
{
  const auto& lie = faults_[static_cast<size_t>(FaultKind::LieLoad)];
  const std::string queued = std::to_string(lie ? 0 : queue_.size());
  return WholeResponse("HTTP/1.1 200 OK\r\n",
                       R"({"in_flight":)" + std::to_string(ToldInFlight()) +
                         R"(,"queued":)" + queued + R"(,"slots":)" +
                         std::to_string(group_->slots_) + "}");
}

void StandinServer::ResetStats()
{
  stats_ = ServerStats{};
  stats_.connectionsPeak_ = connections_.size();
}

boost::json::object StandinServer::StatsToJson() const
{
  boost::json::object object = stats_.ToJson();
  object["name"] = identity_.name_;
  object["service"] = group_->service_;
  object["catalogue"] = group_->catalogue_;
  object["zone"] = identity_.zone_;
  object["replica"] = std::string(1, identity_.ReplicaLetter());
  object["shard"] = place_.shard_;
  object["shards"] = place_.shards_;
  object["version"] = place_.version_;
  object["state"] = std::string(NameOf(state_));
  object["address"] = address_ + ":" + std::to_string(port_);
  object["connections_open"] = connections_.size();
  object["in_flight"] = running_;
  object["queued"] = queue_.size();
  return object;
}

} // namespace foxtail
