#include "control/AdminApi.h"

#include "control/LeaderEndpoints.h"
#include "core/Log.h"
#include "operator/DocumentDiff.h"
#include "policy/Outcome.h"

#include <boost/beast/http/verb.hpp>
#include <charconv>
#include <limits>

namespace foxtail {
namespace {

using boost::beast::http::verb;

/// Time that a request waits for a quorum.
constexpr milliseconds kQuorumTimeout{ 3000 };
/// Maximum number of changes in one response.
constexpr size_t kMaxHistory = 1000;
constexpr size_t kMaxChangeIdBytes = 128;

HttpResponse MakeResponse(HttpStatus aStatus, const boost::json::value& aBody)
{
  return JsonResponse(aStatus, boost::json::serialize(aBody));
}

std::string MessageOf(const absl::Status& aStatus)
{
  return std::string(aStatus.message());
}

HttpResponse ErrorResponse(HttpStatus aStatus, std::string_view aError)
{
  return MakeResponse(aStatus, { { "error", aError } });
}

HttpResponse FaultsResponse(std::string_view aError, const JsonFaults& aFaults)
{
  boost::json::array faults;
  for (const JsonFault& fault : aFaults.List()) {
    faults.push_back(
      { { "path", fault.path_ }, { "message", fault.message_ } });
  }
  return MakeResponse(HttpStatus::bad_request,
                      { { "error", aError }, { "faults", std::move(faults) } });
}

HttpStatus StatusOf(const absl::Status& aStatus)
{
  switch (KindOf(aStatus)) {
    case ErrorKind::Unauthorized:
      return HttpStatus::unauthorized;
    case ErrorKind::Forbidden:
      return HttpStatus::forbidden;
    case ErrorKind::NotFound:
      return HttpStatus::not_found;
    case ErrorKind::Conflict:
      return HttpStatus::conflict;
    default:
      return HttpStatus::bad_request;
  }
}

/// @return the query parameter @p aName of the request target as a number, or
/// @p aDefault when it is missing or not a number.
uint64_t QueryNumber(std::string_view aTarget,
                     std::string_view aName,
                     uint64_t aDefault)
{
  const std::string prefix = std::string(aName) + "=";
  const size_t query = aTarget.find('?');
  const size_t at = query == std::string_view::npos
                      ? std::string_view::npos
                      : aTarget.find(prefix, query);
  if (at == std::string_view::npos) {
    return aDefault;
  }
  const std::string_view text = aTarget.substr(at + prefix.size());
  uint64_t value = aDefault;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

/// Decoded body of a change request.
struct ChangeRequest
{
  ChangeDocument change_;
  Document document_;
};

ChangeRequest ReadChange(const boost::json::value& aBody, JsonFaults& aFaults)
{
  ChangeRequest request;
  JsonReader reader(aBody, "", aFaults);
  request.change_.changeId_ =
    ChangeId(reader.RequiredString("change_id", kMaxChangeIdBytes));
  request.change_.baseVersion_ =
    DocumentVersion(static_cast<uint64_t>(reader.RequiredInteger(
      "base_version", 0, std::numeric_limits<int64_t>::max())));
  const boost::json::value* document =
    aBody.is_object() ? aBody.as_object().if_contains("document") : nullptr;
  if (document == nullptr) {
    reader.Fault("document", "is missing; send the whole document");
    return request;
  }
  request.change_.text_ = boost::json::serialize(*document);
  // Paths of document faults are relative to the document, as in /v1/check.
  request.document_ = Document::Parse(*document, aFaults);
  return request;
}

boost::json::value HistoryRow(const HistoryEntry& aEntry)
{
  boost::json::object row{
    { "version", aEntry.version_.Value() },
    { "change_id", aEntry.changeId_.Value() },
    { "operator", aEntry.author_ },
    { "time", FormatWallTime(WallTime(aEntry.time_)) },
  };
  if (aEntry.text_ != nullptr) {
    row["document"] = boost::json::parse(*aEntry.text_);
  }
  return row;
}

boost::json::value MemberRow(const ConsensusNode& aNode,
                             const GroupMember& aMember)
{
  boost::json::object row{
    { "instance", aMember.id_.instance_.Value() },
    { "incarnation", aMember.id_.incarnation_.Value() },
    { "role", NameOf(aMember.role_) },
    { "endpoint", aMember.endpoint_ },
    { "admin", aMember.admin_ },
  };
  if (const MemberProgress* progress = aNode.ProgressOf(aMember.id_)) {
    row["match"] = progress->matchIndex_;
  }
  return row;
}

boost::json::value StatusOfNode(const ConsensusNode& aNode,
                                const ControlState& aState)
{
  boost::json::array members;
  for (const GroupMember& member : aNode.CurrentMembership().members_) {
    members.push_back(MemberRow(aNode, member));
  }
  const auto& leader = aNode.Leader();
  return {
    { "instance", aNode.Self().instance_.Value() },
    { "incarnation", aNode.Self().incarnation_.Value() },
    { "role", NameOf(aNode.Role()) },
    { "leader", leader.has_value() ? leader->instance_.Value() : "" },
    { "term", aNode.CurrentTerm() },
    { "commit", aNode.CommitIndex() },
    { "last", aNode.Log().LastIndex() },
    { "version", aState.Documents().BaseVersion().Value() },
    { "claims", aState.Claims().Size() },
    { "members", std::move(members) },
  };
}

boost::json::value EvacuationsBody(const EvacuationTable::Rows& aRows)
{
  boost::json::array zones;
  for (const ZoneName& zone : aRows.zones_) {
    zones.emplace_back(zone.Value());
  }
  return { { "zones", std::move(zones) },
           { "revision", aRows.revision_ },
           { "orders", aRows.orders_ } };
}

} // namespace

AdminApi::AdminApi(ReplicatedControl& aControl,
                   const Access& aAccess,
                   Metrics& aMetrics)
  : control_(aControl)
  , access_(aAccess)
  , metrics_(aMetrics)
{
}

boost::asio::awaitable<HttpResponse> AdminApi::Handle(HttpRequest aRequest)
{
  HttpResponse response = co_await Route(aRequest);
  metrics_
    .Counter("foxtail_control_admin_requests_total",
             "Requests of the administration API",
             { { "status", std::to_string(response.result_int()) } })
    .Increment();
  co_return response;
}

boost::asio::awaitable<HttpResponse> AdminApi::Route(
  const HttpRequest& aRequest)
{
  const std::string_view path = PathOf(aRequest);
  const bool isGet = aRequest.method() == verb::get;
  const bool isPost = aRequest.method() == verb::post;
  if (path == "/v1/document" && isGet) {
    co_return co_await GetDocument();
  }
  if (path == "/v1/document" && isPost) {
    co_return co_await PostDocument(aRequest);
  }
  if (path == "/v1/check" && isPost) {
    co_return PostCheck(aRequest);
  }
  if (path == "/v1/operator" && isGet) {
    co_return GetOperator(aRequest);
  }
  if (path == "/v1/history" && isGet) {
    co_return co_await GetHistory(aRequest);
  }
  if (path == "/v1/status" && isGet) {
    co_return co_await GetStatus();
  }
  if (path == "/v1/evacuations" && isGet) {
    co_return co_await GetEvacuations();
  }
  if (path == "/v1/evacuations" && isPost) {
    co_return co_await PostEvacuation(aRequest);
  }
  if (path == "/v1/members" && isPost) {
    co_return co_await PostMembers(aRequest);
  }
  co_return ErrorResponse(HttpStatus::not_found,
                          "no such resource; see docs/operations/control.md");
}

boost::asio::awaitable<HttpResponse> AdminApi::FailureResponse(
  const absl::Status& aStatus)
{
  const ErrorKind kind = KindOf(aStatus);
  if (kind == ErrorKind::NoQuorum) {
    const std::string leader = co_await control_.Inspect(LeaderAdminEndpoint);
    if (!leader.empty()) {
      co_return MakeResponse(HttpStatus::misdirected_request,
                             { { "leader", leader },
                               { "outcome", NameOf(Outcome::NotRun) },
                               { "error", "another control instance leads" } });
    }
  }
  const bool isNotRun =
    kind == ErrorKind::NoQuorum || kind == ErrorKind::Overloaded;
  const Outcome outcome = isNotRun ? Outcome::NotRun : Outcome::Unknown;
  co_return MakeResponse(
    HttpStatus::service_unavailable,
    { { "outcome", NameOf(outcome) }, { "error", MessageOf(aStatus) } });
}

boost::asio::awaitable<absl::StatusOr<AdminApi::CurrentDocument>>
AdminApi::ReadCurrent(ChangeId aId)
{
  // The awaited object is a named variable because g++ 12 destroys temporaries
  // of a co_await expression twice.
  auto visit = [id = std::move(aId)](const ControlState& aState) {
    const DocumentLedger& documents = aState.Documents();
    return CurrentDocument{ documents.BaseVersion(),
                            documents.Text(),
                            documents.FindResult(id) != nullptr };
  };
  auto reading = control_.Read(std::move(visit), kQuorumTimeout);
  co_return co_await std::move(reading);
}

boost::asio::awaitable<HttpResponse> AdminApi::GetDocument()
{
  ChangeId none;
  const auto current = co_await ReadCurrent(std::move(none));
  if (!current.ok()) {
    co_return co_await FailureResponse(current.status());
  }
  co_return MakeResponse(
    HttpStatus::ok,
    { { "version", current->version_.Value() },
      { "document", boost::json::parse(*current->text_) } });
}

boost::asio::awaitable<HttpResponse> AdminApi::PostDocument(
  const HttpRequest& aRequest)
{
  AuditRecord audit;
  const auto authenticated =
    access_.Authenticate(HeaderOf(aRequest, "Authorization"));
  if (!authenticated.ok()) {
    audit.outcome_ = "unauthorized";
    WriteAudit(audit);
    co_return ErrorResponse(HttpStatus::unauthorized,
                            MessageOf(authenticated.status()));
  }
  const OperatorSettings& author = **authenticated;
  audit.operator_ = author.name_;
  const auto body =
    ParseJson(aRequest.body(), "the change", ErrorKind::InvalidRequest);
  if (!body.ok()) {
    co_return ErrorResponse(HttpStatus::bad_request, MessageOf(body.status()));
  }
  JsonFaults faults;
  ChangeRequest request = ReadChange(*body, faults);
  audit.changeId_ = request.change_.changeId_.Value();
  audit.baseVersion_ = request.change_.baseVersion_;
  if (!faults.IsEmpty()) {
    audit.outcome_ = "invalid";
    WriteAudit(audit);
    co_return FaultsResponse("the change is refused", faults);
  }
  request.change_.author_ = author.name_.Value();
  HttpResponse response = co_await Apply(
    author, std::move(request.change_), request.document_, audit);
  WriteAudit(audit);
  co_return response;
}

boost::asio::awaitable<HttpResponse> AdminApi::Apply(
  const OperatorSettings& aOperator,
  ChangeDocument aChange,
  const Document& aDocument,
  AuditRecord& aAudit)
{
  const ChangeId id = aChange.changeId_;
  const auto current = co_await ReadCurrent(id);
  if (!current.ok()) {
    aAudit.outcome_ = "not_run";
    co_return co_await FailureResponse(current.status());
  }
  const auto before = ParseDocument(*current->text_);
  if (before.ok() && !current->isKnownChange_) {
    // Authorization on this read holds for the commit: compare-and-set on the
    // base version refuses the change if the document has changed since.
    const auto allowed = Access::Authorize(aOperator, *before, aDocument);
    if (!allowed.ok() && aChange.baseVersion_ == current->version_) {
      aAudit.outcome_ = "forbidden";
      co_return ErrorResponse(HttpStatus::forbidden, MessageOf(allowed));
    }
    aAudit.summary_ = SummarizeChanges(DiffDocuments(*before, aDocument));
  }
  const auto result =
    co_await control_.Submit(std::move(aChange), kQuorumTimeout);
  if (!result.ok()) {
    const ErrorKind kind = KindOf(result.status());
    const bool isNotRun =
      kind == ErrorKind::NoQuorum || kind == ErrorKind::Overloaded;
    aAudit.outcome_ = isNotRun ? "not_run" : "unknown";
    co_return co_await FailureResponse(result.status());
  }
  const auto& change = std::get<ChangeResult>(*result);
  aAudit.outcome_ = NameOf(change.outcome_);
  if (change.outcome_ == ChangeOutcome::Accepted) {
    aAudit.version_ = change.version_;
    co_return MakeResponse(
      HttpStatus::ok,
      { { "version", change.version_.Value() }, { "change_id", id.Value() } });
  }
  const bool isConflict = change.outcome_ == ChangeOutcome::Conflict;
  co_return MakeResponse(
    HttpStatus::conflict,
    { { "version", change.version_.Value() },
      { "error",
        isConflict
          ? "another change was accepted first; read the document again, make "
            "the change on it and send it under a new change id"
          : "the change id was used for another change; send a new one" } });
}

HttpResponse AdminApi::PostCheck(const HttpRequest& aRequest) const
{
  const auto body =
    ParseJson(aRequest.body(), "the document", ErrorKind::InvalidDocument);
  if (!body.ok()) {
    return ErrorResponse(HttpStatus::bad_request, MessageOf(body.status()));
  }
  const auto* object = body->if_object();
  const auto* document =
    object == nullptr ? nullptr : object->if_contains("document");
  if (document == nullptr) {
    return ErrorResponse(HttpStatus::bad_request,
                         R"(the document is missing; send {"document": ...})");
  }
  JsonFaults faults;
  Document::Parse(*document, faults);
  if (!faults.IsEmpty()) {
    return FaultsResponse("the document has faults", faults);
  }
  return MakeResponse(HttpStatus::ok, { { "faults", boost::json::array() } });
}

boost::asio::awaitable<HttpResponse> AdminApi::GetHistory(
  const HttpRequest& aRequest)
{
  const std::string_view target(aRequest.target().data(),
                                aRequest.target().size());
  const uint64_t from = QueryNumber(target, "from", 1);
  auto visit = [from](const ControlState& aState) {
    std::vector<HistoryEntry> found;
    for (const HistoryEntry& entry : aState.Documents().History()) {
      if (entry.version_.Value() >= from && found.size() < kMaxHistory) {
        found.push_back(entry);
      }
    }
    return found;
  };
  auto reading = control_.Read(std::move(visit), kQuorumTimeout);
  const auto rows = co_await std::move(reading);
  if (!rows.ok()) {
    co_return co_await FailureResponse(rows.status());
  }
  boost::json::array changes;
  for (const HistoryEntry& entry : *rows) {
    changes.push_back(HistoryRow(entry));
  }
  co_return MakeResponse(HttpStatus::ok, { { "changes", std::move(changes) } });
}

HttpResponse AdminApi::GetOperator(const HttpRequest& aRequest) const
{
  const auto authenticated =
    access_.Authenticate(HeaderOf(aRequest, "Authorization"));
  if (!authenticated.ok()) {
    return ErrorResponse(HttpStatus::unauthorized,
                         MessageOf(authenticated.status()));
  }
  return MakeResponse(
    HttpStatus::ok,
    { { "name", (*authenticated)->name_.Value() },
      { "role", std::string(NameOf((*authenticated)->role_)) } });
}

boost::asio::awaitable<HttpResponse> AdminApi::GetStatus()
{
  const boost::json::value status = co_await control_.Inspect(StatusOfNode);
  co_return MakeResponse(HttpStatus::ok, status);
}

boost::asio::awaitable<HttpResponse> AdminApi::GetEvacuations()
{
  auto visit = [](const ControlState& aState) {
    return aState.Evacuations().GetRows();
  };
  auto reading = control_.Read(std::move(visit), kQuorumTimeout);
  const auto rows = co_await std::move(reading);
  if (!rows.ok()) {
    co_return co_await FailureResponse(rows.status());
  }
  co_return MakeResponse(HttpStatus::ok, EvacuationsBody(*rows));
}

boost::asio::awaitable<HttpResponse> AdminApi::PostEvacuation(
  const HttpRequest& aRequest)
{
  const auto authenticated =
    access_.Authenticate(HeaderOf(aRequest, "Authorization"));
  if (!authenticated.ok()) {
    co_return ErrorResponse(HttpStatus::unauthorized,
                            MessageOf(authenticated.status()));
  }
  if ((*authenticated)->role_ != OperatorRole::All) {
    co_return ErrorResponse(
      HttpStatus::forbidden,
      "only operators with the role \"all\" may begin or end an evacuation");
  }
  const auto body =
    ParseJson(aRequest.body(), "the order", ErrorKind::InvalidRequest);
  if (!body.ok()) {
    co_return ErrorResponse(HttpStatus::bad_request, MessageOf(body.status()));
  }
  JsonFaults faults;
  JsonReader reader(*body, "", faults);
  const ZoneName zone(reader.RequiredString("zone"));
  const bool isEvacuated = reader.Bool("evacuated", true);
  const auto knownOrders = static_cast<uint64_t>(reader.RequiredInteger(
    "known_orders", 0, std::numeric_limits<int64_t>::max()));
  reader.Finish();
  if (!faults.IsEmpty()) {
    co_return FaultsResponse("the order is refused", faults);
  }
  auto submission = control_.Submit(
    SetEvacuation{ zone, isEvacuated, knownOrders }, kQuorumTimeout);
  const auto result = co_await std::move(submission);
  LogLine(LogLevel::Info, "evacuation_ordered")
    .Add("operator", (*authenticated)->name_)
    .Add("zone", zone)
    .Add("evacuated", isEvacuated)
    .Add("known_orders", knownOrders)
    .Add("result", result.status());
  if (!result.ok()) {
    co_return co_await FailureResponse(result.status());
  }
  const auto& evacuation = std::get<EvacuationResult>(*result);
  if (!evacuation.isApplied_) {
    co_return ErrorResponse(
      HttpStatus::conflict,
      "another order was applied first; read the evacuations and send the "
      "order again if it is still wanted");
  }
  co_return MakeResponse(HttpStatus::ok,
                         { { "zone", zone.Value() },
                           { "evacuated", isEvacuated },
                           { "revision", evacuation.revision_ } });
}

boost::asio::awaitable<HttpResponse> AdminApi::PostMembers(
  const HttpRequest& aRequest)
{
  const auto authenticated =
    access_.Authenticate(HeaderOf(aRequest, "Authorization"));
  if (!authenticated.ok()) {
    co_return ErrorResponse(HttpStatus::unauthorized,
                            MessageOf(authenticated.status()));
  }
  if ((*authenticated)->role_ != OperatorRole::All) {
    co_return ErrorResponse(
      HttpStatus::forbidden,
      "only operators with the role \"all\" may change the "
      "members");
  }
  const auto body =
    ParseJson(aRequest.body(), "the request", ErrorKind::InvalidRequest);
  if (!body.ok()) {
    co_return ErrorResponse(HttpStatus::bad_request, MessageOf(body.status()));
  }
  JsonFaults faults;
  JsonReader reader(*body, "", faults);
  // A removal that is read late must not meet a later incarnation.
  const MemberId removed{
    InstanceId(reader.RequiredString("remove")),
    Incarnation(static_cast<uint64_t>(reader.RequiredInteger(
      "incarnation", 0, std::numeric_limits<int64_t>::max())))
  };
  reader.Finish();
  if (!faults.IsEmpty()) {
    co_return FaultsResponse("the request is refused", faults);
  }
  const absl::Status status =
    co_await control_.RemoveMember(removed, kQuorumTimeout);
  LogLine(LogLevel::Info, "member_removal_asked")
    .Add("operator", (*authenticated)->name_)
    .Add("member", ToText(removed))
    .Add("result", status);
  if (status.ok()) {
    co_return MakeResponse(HttpStatus::ok,
                           { { "removed", removed.instance_.Value() } });
  }
  const ErrorKind kind = KindOf(status);
  if (kind == ErrorKind::NotFound || kind == ErrorKind::Conflict ||
      kind == ErrorKind::InvalidRequest) {
    co_return ErrorResponse(StatusOf(status), MessageOf(status));
  }
  co_return co_await FailureResponse(status);
}

} // namespace foxtail
