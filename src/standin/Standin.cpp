#include "standin/Standin.h"

#include "core/Log.h"
#include "http/HttpClient.h"

#include <boost/asio/post.hpp>
#include <future>

namespace foxtail {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

// Runs a function on another worker and waits for its value. The servers'
// workers never wait for the control worker, so this cannot deadlock.
template<typename Function>
auto RunOn(asio::io_context& aContext, Function aFunction)
{
  std::promise<decltype(aFunction())> promise;
  auto result = promise.get_future();
  asio::post(aContext, [&] { promise.set_value(aFunction()); });
  return result.get();
}

HttpResponse ErrorResponse(HttpStatus aHttpStatus, const absl::Status& aStatus)
{
  return JsonResponse(aHttpStatus,
                      json::serialize(json::object{
                        { "error", std::string(aStatus.message()) } }) +
                        "\n");
}

HttpResponse ErrorResponse(HttpStatus aStatus, std::string_view aMessage)
{
  return JsonResponse(
    aStatus, json::serialize(json::object{ { "error", aMessage } }) + "\n");
}

std::string NameOfServer(const GroupSettings& aGroup,
                         uint32_t aShard,
                         uint32_t aReplica)
{
  return aGroup.name_ + "-" + std::to_string(aShard) + "-" +
         static_cast<char>('a' + aReplica);
}

} // namespace

Standin::Standin(StandinSettings aSettings)
  : settings_(std::move(aSettings))
  , workers_(settings_.workers_)
  , controlWorker_(1)
  , control_(settings_.control_, controlWorker_)
{
}

Standin::~Standin()
{
  Stop();
}

absl::Status Standin::MakeAnnouncers()
{
  std::map<std::string, std::vector<TcpEndpoint>> targets;
  for (const AnnounceTarget& target : settings_.announceTo_) {
    const auto endpoint = ParseEndpoint(target.address_);
    if (!endpoint.ok()) {
      return endpoint.status();
    }
    targets[target.zone_].push_back(*endpoint);
  }
  for (auto& [zone, endpoints] : targets) {
    announcers_[zone] = std::make_unique<Announcer>(zone,
                                                    std::move(endpoints),
                                                    settings_.isAnnouncedToAll_,
                                                    controlWorker_.Context(0));
  }
  return absl::OkStatus();
}

Standin::ServerPtr Standin::MakeServer(
  const std::shared_ptr<const GroupSettings>& aGroup,
  uint32_t aReplica,
  ShardPlace aPlace)
{
  ServerIdentity identity;
  identity.name_ = NameOfServer(*aGroup, aPlace.shard_, aReplica);
  identity.replica_ = aReplica;
  identity.zone_ = aGroup->zones_[aReplica % aGroup->zones_.size()];
  identity.seed_ = settings_.seed_ + servers_.size();
  if (settings_.basePort_ != 0) {
    identity.port_ =
      static_cast<uint16_t>(settings_.basePort_ + servers_.size());
  }
  const auto announcer = announcers_.find(identity.zone_);
  Announcer* const told =
    announcer == announcers_.end() ? nullptr : announcer->second.get();
  return std::make_shared<StandinServer>(aGroup,
                                         catalogues_[aGroup->entries_],
                                         std::move(identity),
                                         aPlace,
                                         settings_.address_,
                                         workers_.Context(servers_.size()),
                                         [told] {
                                           if (told != nullptr) {
                                             told->Kick();
                                           }
                                         });
}

void Standin::AddServer(const ServerPtr& aServer)
{
  servers_.push_back(aServer);
  const auto announcer = announcers_.find(aServer->Identity().zone_);
  if (announcer != announcers_.end()) {
    announcer->second->AddServer(aServer);
  }
}

absl::Status Standin::AddGroup(const GroupSettings& aGroup)
{
  auto& catalogue = catalogues_[aGroup.entries_];
  if (catalogue == nullptr) {
    auto loaded =
      aGroup.entries_.empty() ? Catalogue() : Catalogue::Load(aGroup.entries_);
    if (!loaded.ok()) {
      return loaded.status();
    }
    catalogue = std::make_shared<const Catalogue>(std::move(*loaded));
  }
  const auto group = std::make_shared<const GroupSettings>(aGroup);
  for (uint32_t replica = 0; replica < aGroup.replicas_; ++replica) {
    for (uint32_t shard = 0; shard < aGroup.shards_; ++shard) {
      auto server =
        MakeServer(group, replica, { aGroup.version_, shard, aGroup.shards_ });
      if (auto status = server->Start(); !status.ok()) {
        return status;
      }
      AddServer(server);
    }
  }
  return absl::OkStatus();
}

absl::Status Standin::Start()
{
  if (auto status = MakeAnnouncers(); !status.ok()) {
    return status;
  }
  for (const GroupSettings& group : settings_.groups_) {
    if (auto status = AddGroup(group); !status.ok()) {
      return status;
    }
  }
  auto status = control_.Start(
    [this](HttpRequest aRequest) { return Control(std::move(aRequest)); });
  if (!status.ok()) {
    return status;
  }
  for (auto& [zone, announcer] : announcers_) {
    announcer->Start();
  }
  workers_.Start();
  controlWorker_.Start();
  LogLine(LogLevel::Info, "started")
    .Add("servers", ServerCount())
    .Add("control_port", ControlPort());
  return absl::OkStatus();
}

void Standin::Stop()
{
  control_.StopAccepting();
  controlWorker_.Stop();
  workers_.Stop();
}

asio::awaitable<HttpResponse> Standin::Control(HttpRequest aRequest)
{
  const std::string path(PathOf(aRequest));
  if (path == "/v1/fault") {
    co_return HandleFault(aRequest.body());
  }
  if (path == "/v1/stats") {
    co_return HandleStats();
  }
  if (path == "/v1/reset") {
    co_return HandleReset();
  }
  if (path == "/healthz") {
    co_return JsonResponse(HttpStatus::ok, "{}\n");
  }
  co_return ErrorResponse(
    HttpStatus::not_found,
    "no such path; use /v1/fault, /v1/stats, /v1/reset or /healthz");
}

HttpResponse Standin::HandleFault(const std::string& aBody)
{
  const auto value = ParseJson(aBody, "fault", ErrorKind::InvalidRequest);
  if (!value.ok()) {
    return ErrorResponse(HttpStatus::bad_request, value.status());
  }
  JsonFaults faults;
  JsonReader reader(*value, "", faults);
  const FaultRequest request = FaultRequest::Read(reader);
  reader.Finish();
  if (!faults.IsEmpty()) {
    const auto status = faults.ToStatus(ErrorKind::InvalidRequest, "fault");
    return ErrorResponse(HttpStatus::bad_request, status);
  }
  std::vector<ServerPtr> selected;
  for (const ServerPtr& server : servers_) {
    if (server->IsSelected(request.selector_)) {
      selected.push_back(server);
    }
  }
  json::array names;
  for (const ServerPtr& server : selected) {
    RunOn(server->Context(), [server, fault = request.fault_] {
      server->Apply(fault);
      return true;
    });
    names.emplace_back(server->Identity().name_);
    const bool isFirst = server->Identity().name_.ends_with(
      std::string("-0-") + server->Identity().ReplicaLetter());
    if (request.fault_.kind_ == FaultKind::Repartition && isFirst) {
      AddShards(server, request.fault_);
    }
  }
  return JsonResponse(
    HttpStatus::ok,
    json::serialize(json::object{ { "servers", std::move(names) } }) + "\n");
}

void Standin::AddShards(const ServerPtr& aFirst, const Fault& aFault)
{
  const auto group = std::make_shared<const GroupSettings>(aFirst->Group());
  const uint32_t replica = aFirst->Identity().replica_;
  for (uint32_t shard = group->shards_; shard < aFault.shards_; ++shard) {
    const std::string name = NameOfServer(*group, shard, replica);
    const bool isThere =
      std::any_of(servers_.begin(), servers_.end(), [&](const ServerPtr& aRow) {
        return aRow->Identity().name_ == name;
      });
    if (isThere) {
      continue;
    }
    auto server =
      MakeServer(group, replica, { aFault.version_, shard, aFault.shards_ });
    AddServer(server);
    const auto status =
      RunOn(server->Context(), [server] { return server->Start(); });
    if (!status.ok()) {
      LogLine(LogLevel::Error, "server_not_started").Add("error", status);
    }
  }
}

HttpResponse Standin::HandleStats()
{
  json::array rows;
  const std::vector<ServerPtr> servers = servers_;
  for (const ServerPtr& server : servers) {
    rows.push_back(
      RunOn(server->Context(), [server] { return server->StatsToJson(); }));
  }
  return JsonResponse(
    HttpStatus::ok,
    json::serialize(json::object{ { "servers", std::move(rows) } }) + "\n");
}

HttpResponse Standin::HandleReset()
{
  const std::vector<ServerPtr> servers = servers_;
  for (const ServerPtr& server : servers) {
    RunOn(server->Context(), [server] {
      server->ResetStats();
      return true;
    });
  }
  return JsonResponse(HttpStatus::ok, "{}\n");
}

} // namespace foxtail
