#include "operator/ConsoleService.h"

#include "core/Log.h"
#include "operator/DocumentMerge.h"

#include <charconv>
#include <openssl/crypto.h>

namespace foxtail {

namespace asio = boost::asio;
using boost::beast::http::field;
using boost::beast::http::verb;

namespace {

constexpr std::string_view kCookie = "foxtail_session";
constexpr unsigned kOk = 200;
constexpr size_t kMaxRows = 20000;

HttpResponse Page(HttpStatus aStatus, std::string aHtml)
{
  return TextResponse(aStatus, "text/html; charset=utf-8", std::move(aHtml));
}

HttpResponse Fault(HttpStatus aStatus, std::string_view aMessage)
{
  return Page(aStatus, MessagePage("Not done", aMessage));
}

/// A redirect after a form, so that reloading the page sends nothing again.
HttpResponse Redirect(std::string_view aTarget)
{
  HttpResponse response = Page(HttpStatus::see_other, {});
  response.set(field::location,
               boost::beast::string_view(aTarget.data(), aTarget.size()));
  return response;
}

void SetSecurityHeaders(HttpResponse& aResponse)
{
  aResponse.set("Content-Security-Policy",
                "default-src 'none'; style-src 'self'; form-action 'self'; "
                "frame-ancestors 'none'; base-uri 'none'");
  aResponse.set("X-Content-Type-Options", "nosniff");
  aResponse.set("Referrer-Policy", "same-origin");
  aResponse.set(field::cache_control, "no-store");
}

/// @return whether a form was sent from one of the console's own pages.
bool IsSameOrigin(const HttpRequest& aRequest)
{
  const std::string_view origin = HeaderOf(aRequest, "Origin");
  const std::string host(HeaderOf(aRequest, "Host"));
  return origin.empty() || origin == "http://" + host ||
         origin == "https://" + host;
}

bool HasFormKey(const FormData& aForm, const ConsoleSession& aSession)
{
  const std::string key = aForm.Get("form_key");
  return key.size() == aSession.formKey_.size() &&
         CRYPTO_memcmp(key.data(), aSession.formKey_.data(), key.size()) == 0;
}

std::optional<size_t> ToIndex(const std::string& aText)
{
  size_t index = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, index);
  const bool isIndex =
    parsed.ec == std::errc() && parsed.ptr == end && index <= kMaxRows;
  return isIndex ? std::optional(index) : std::nullopt;
}

boost::json::array& RowsOf(boost::json::value& aDocument,
                           DocumentSection aSection)
{
  auto& rows = aDocument.as_object()[NameOf(aSection)];
  if (!rows.is_array()) {
    rows.emplace_array();
  }
  return rows.as_array();
}

std::vector<JsonFault> FaultsOf(const boost::json::value& aDocument)
{
  JsonFaults faults;
  Document::Parse(aDocument, faults);
  return faults.List();
}

std::vector<JsonFault> FaultsOfRow(const boost::json::value& aDocument,
                                   DocumentSection aSection,
                                   size_t aIndex)
{
  const std::string path =
    "/" + std::string(NameOf(aSection)) + "/" + std::to_string(aIndex);
  std::vector<JsonFault> faults;
  for (const JsonFault& fault : FaultsOf(aDocument)) {
    if (fault.path_ == path || fault.path_.starts_with(path + "/")) {
      faults.push_back(fault);
    }
  }
  return faults;
}

std::vector<std::string> TeamsOf(boost::json::value& aDocument)
{
  std::vector<std::string> teams;
  for (const auto& row : RowsOf(aDocument, DocumentSection::Teams)) {
    const auto* object = row.if_object();
    if (object != nullptr && object->contains("name")) {
      teams.push_back(ReadableValue(object->at("name")));
    }
  }
  return teams;
}

/// Reads which row a form or a link names.
///
/// @return nothing when there is no such row, or it has changed since.
std::optional<RowEdit> FindRow(ConsoleSession& aSession, const FormData& aForm)
{
  const auto section = FromName<DocumentSection>(aForm.Get("section"));
  const auto index = ToIndex(aForm.Get("row"));
  if (!section || !index) {
    return std::nullopt;
  }
  const auto& rows = RowsOf(aSession.draft_.document_, *section);
  if (*index > rows.size()) {
    return std::nullopt;
  }
  RowEdit edit;
  edit.section_ = *section;
  edit.index_ = *index;
  edit.isNew_ = *index == rows.size();
  edit.row_ = DefaultRow(*section);
  if (!edit.isNew_) {
    const auto* row = rows[*index].if_object();
    edit.row_ = row == nullptr ? boost::json::object() : *row;
    edit.was_ =
      edit.row_.contains("name") ? ReadableValue(edit.row_.at("name")) : "";
  }
  edit.teams_ = TeamsOf(aSession.draft_.document_);
  return edit;
}

/// Writes a document without faults as the accepted one is written, so that a
/// row that was saved unchanged compares equal.
void Normalise(boost::json::value& aDocument)
{
  JsonFaults faults;
  const Document document = Document::Parse(aDocument, faults);
  if (faults.IsEmpty()) {
    aDocument = ToJson(document);
  }
}

/// A changed draft is another change.
void MarkChanged(Draft& aDraft)
{
  aDraft.changeId_ = MakeChangeId();
}

void SetDraft(Draft& aDraft, const boost::json::object& aBody)
{
  boost::json::error_code error;
  aDraft.isLoaded_ = true;
  aDraft.baseVersion_ =
    DocumentVersion(aBody.at("version").to_number<uint64_t>(error));
  // Read and written again, so that a row that left members out compares equal.
  JsonFaults faults;
  aDraft.base_ = ToJson(Document::Parse(aBody.at("document"), faults));
  aDraft.document_ = aDraft.base_;
  MarkChanged(aDraft);
}

absl::StatusOr<boost::json::object> ReadDocumentReply(
  const absl::StatusOr<AdminReply>& aReply)
{
  if (!aReply.ok()) {
    return aReply.status();
  }
  if (aReply->status_ == static_cast<unsigned>(HttpStatus::unauthorized)) {
    return MakeError(ErrorKind::Unauthorized,
                     "the token is not known; sign in with a valid one");
  }
  const auto* body = aReply->body_.if_object();
  const bool isDocument = aReply->status_ == kOk && body != nullptr &&
                          body->contains("version") &&
                          body->contains("document");
  if (!isDocument) {
    return MakeError(ErrorKind::Unavailable,
                     "the control instance gave no document (status " +
                       std::to_string(aReply->status_) + "); try again");
  }
  return *body;
}

} // namespace

ConsoleSettings ConsoleSettings::Read(JsonReader& aReader)
{
  constexpr int64_t kMaxSessions = 100000;
  constexpr int64_t kMaxBytes = 16 * 1024 * 1024;
  constexpr milliseconds kLongest{ 24 * 3600 * 1000 };
  ConsoleSettings result;
  result.admin_ = AdminClientSettings::Read(aReader);
  result.sessions_.idle_ = aReader.Millis(
    "session_idle_ms", result.sessions_.idle_, milliseconds(1000), kLongest);
  result.sessions_.maxSessions_ =
    static_cast<size_t>(aReader.Integer("max_sessions", 1000, 1, kMaxSessions));
  result.isCookieSecure_ = aReader.Bool("secure_cookie", false);
  result.maxFormBytes_ = static_cast<size_t>(
    aReader.Integer("max_form_bytes", 64 * 1024, 1024, kMaxBytes));
  return result;
}

ConsoleService::ConsoleService(ConsoleSettings aSettings)
  : settings_(std::move(aSettings))
  , admin_(settings_.admin_)
  , sessions_(settings_.sessions_)
{
}

asio::awaitable<HttpResponse> ConsoleService::Handle(HttpRequest aRequest)
{
  HttpResponse response = co_await Route(aRequest);
  SetSecurityHeaders(response);
  co_return response;
}

asio::awaitable<HttpResponse> ConsoleService::Route(const HttpRequest& aRequest)
{
  const std::string path(PathOf(aRequest));
  const std::string cookie = CookieValue(HeaderOf(aRequest, "Cookie"), kCookie);
  const Session session = sessions_.Find(cookie, Now());
  if (aRequest.method() == verb::get) {
    if (path == "/style.css") {
      co_return TextResponse(
        HttpStatus::ok, "text/css", std::string(ConsoleStyle()));
    }
    if (session == nullptr) {
      co_return Page(HttpStatus::ok, LoginPage({}));
    }
    co_return co_await RouteGet(aRequest, session);
  }
  if (aRequest.method() != verb::post) {
    co_return Fault(HttpStatus::method_not_allowed,
                    "The method is not allowed; use the pages' forms.");
  }
  if (aRequest.body().size() > settings_.maxFormBytes_) {
    co_return Fault(HttpStatus::payload_too_large,
                    "The form is too large; send less.");
  }
  if (!IsSameOrigin(aRequest)) {
    co_return Fault(HttpStatus::forbidden,
                    "The form came from another site; use the console's own.");
  }
  const auto form = FormData::Parse(aRequest.body());
  if (!form.ok()) {
    co_return Fault(HttpStatus::bad_request,
                    std::string(form.status().message()));
  }
  if (path == "/login") {
    co_return co_await Login(form->Get("token"));
  }
  if (session == nullptr) {
    co_return Page(HttpStatus::forbidden,
                   LoginPage("The session has ended; sign in again."));
  }
  if (!HasFormKey(*form, *session)) {
    co_return Fault(HttpStatus::forbidden,
                    "The form is not of this session; open the page again.");
  }
  if (path == "/logout") {
    sessions_.Close(cookie);
    co_return Redirect("/");
  }
  co_return co_await RoutePost(path, *form, session);
}

asio::awaitable<HttpResponse> ConsoleService::Login(std::string aToken)
{
  // Reads of the document ask for no credentials, so the operator is asked for.
  const auto known = co_await admin_.Get("/v1/operator", aToken);
  const auto document = co_await admin_.Get("/v1/document", aToken);
  const auto reply = known.ok() && known->status_ != kOk
                       ? ReadDocumentReply(known)
                       : ReadDocumentReply(document);
  if (!reply.ok()) {
    const bool isDenied = KindOf(reply.status()) == ErrorKind::Unauthorized;
    LogLine(LogLevel::Warning, "console_login_refused")
      .Add("reason", reply.status());
    co_return Page(isDenied ? HttpStatus::forbidden
                            : HttpStatus::service_unavailable,
                   LoginPage(std::string(reply.status().message())));
  }
  const std::string id = sessions_.Open(std::move(aToken), Now());
  SetDraft(sessions_.Find(id, Now())->draft_, *reply);
  HttpResponse response = Redirect("/");
  response.set(field::set_cookie,
               std::string(kCookie) + "=" + id +
                 "; HttpOnly; SameSite=Strict; Path=/" +
                 (settings_.isCookieSecure_ ? "; Secure" : ""));
  co_return response;
}

asio::awaitable<absl::Status> ConsoleService::Load(Session aSession)
{
  if (aSession->draft_.isLoaded_) {
    co_return absl::OkStatus();
  }
  const auto reply =
    ReadDocumentReply(co_await admin_.Get("/v1/document", aSession->token_));
  if (!reply.ok()) {
    co_return reply.status();
  }
  SetDraft(aSession->draft_, *reply);
  co_return absl::OkStatus();
}

asio::awaitable<HttpResponse> ConsoleService::RouteGet(
  const HttpRequest& aRequest,
  Session aSession)
{
  const std::string path(PathOf(aRequest));
  if (path == "/history") {
    co_return co_await ShowFromApi(aSession, "/v1/history?from=0");
  }
  if (path == "/status") {
    co_return co_await ShowFromApi(aSession, "/v1/status");
  }
  if (path == "/evacuations") {
    co_return co_await ShowEvacuations(aSession, {});
  }
  if (const auto status = co_await Load(aSession); !status.ok()) {
    co_return Fault(HttpStatus::service_unavailable,
                    std::string(status.message()));
  }
  if (path == "/") {
    co_return Page(
      HttpStatus::ok,
      OverviewPage(*aSession, FaultsOf(aSession->draft_.document_), {}));
  }
  if (path == "/edit") {
    const std::string target(aRequest.target());
    const size_t query = target.find('?');
    const auto form = FormData::Parse(
      query == std::string::npos ? "" : target.substr(query + 1));
    co_return form.ok()
      ? ShowRow(aSession, *form)
      : Fault(HttpStatus::bad_request, std::string(form.status().message()));
  }
  if (path == "/review") {
    co_return Review(aSession);
  }
  if (path == "/document.json") {
    co_return JsonResponse(HttpStatus::ok,
                           boost::json::serialize(aSession->draft_.document_) +
                             "\n");
  }
  co_return Fault(HttpStatus::not_found, "There is no such page.");
}

asio::awaitable<HttpResponse> ConsoleService::RoutePost(std::string aPath,
                                                        const FormData& aForm,
                                                        Session aSession)
{
  if (aPath == "/discard") {
    aSession->draft_ = {};
    co_return Redirect("/");
  }
  if (aPath == "/evacuations") {
    co_return co_await OrderEvacuation(aSession,
                                       aForm.Get("zone"),
                                       aForm.Get("action") == "begin",
                                       aForm.Get("known_orders"));
  }
  if (!aSession->draft_.isLoaded_) {
    co_return Fault(HttpStatus::conflict,
                    "There is no draft; open the document first.");
  }
  if (aPath == "/edit") {
    co_return SaveRow(aSession, aForm);
  }
  if (aPath == "/apply") {
    co_return co_await Apply(aSession);
  }
  if (aPath == "/carry-over") {
    co_return co_await CarryOver(aSession);
  }
  co_return Fault(HttpStatus::not_found, "There is no such form.");
}

asio::awaitable<HttpResponse> ConsoleService::ShowFromApi(Session aSession,
                                                          std::string aTarget)
{
  const auto reply = co_await admin_.Get(aTarget, aSession->token_);
  if (!reply.ok() || reply->status_ != kOk) {
    co_return Fault(HttpStatus::service_unavailable,
                    "No control instance answers this now; try again.");
  }
  co_return Page(HttpStatus::ok,
                 aTarget == "/v1/status"
                   ? StatusPage(*aSession, reply->body_)
                   : HistoryPage(*aSession, reply->body_));
}

asio::awaitable<HttpResponse> ConsoleService::ShowEvacuations(
  Session aSession,
  std::string aMessage)
{
  std::string target = "/v1/evacuations";
  auto reading = admin_.Get(std::move(target), aSession->token_);
  const auto reply = co_await std::move(reading);
  if (!reply.ok() || reply->status_ != kOk) {
    co_return Fault(HttpStatus::service_unavailable,
                    "No control instance answers this now; try again.");
  }
  co_return Page(HttpStatus::ok,
                 EvacuationsPage(*aSession, reply->body_, aMessage));
}

asio::awaitable<HttpResponse> ConsoleService::OrderEvacuation(
  Session aSession,
  std::string aZone,
  bool aIsEvacuated,
  std::string aKnownOrders)
{
  uint64_t knownOrders = 0;
  const char* end = aKnownOrders.data() + aKnownOrders.size();
  const auto parsed = std::from_chars(aKnownOrders.data(), end, knownOrders);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    co_return Fault(HttpStatus::bad_request,
                    "The form does not state how many orders were known; open "
                    "the evacuations again.");
  }
  auto order =
    admin_.Evacuate(aZone, aIsEvacuated, knownOrders, aSession->token_);
  const auto reply = co_await std::move(order);
  std::string message = "The order is accepted.";
  if (!reply.ok()) {
    message = std::string(reply.status().message());
  } else if (reply->status_ != kOk) {
    const auto* object = reply->body_.if_object();
    const auto* error =
      object == nullptr ? nullptr : object->if_contains("error");
    message =
      "The order is not confirmed" +
      (error == nullptr ? std::string(".") : ": " + ReadableValue(*error));
  }
  LogLine(LogLevel::Info, "console_evacuation")
    .Add("zone", aZone)
    .Add("evacuated", aIsEvacuated)
    .Add("status", reply.ok() ? reply->status_ : 0U);
  co_return co_await ShowEvacuations(aSession, std::move(message));
}

HttpResponse ConsoleService::ShowRow(const Session& aSession,
                                     const FormData& aQuery)
{
  auto edit = FindRow(*aSession, aQuery);
  if (!edit) {
    return Fault(HttpStatus::not_found,
                 "The draft has no such row; open the document again.");
  }
  if (!edit->isNew_) {
    edit->faults_ =
      FaultsOfRow(aSession->draft_.document_, edit->section_, edit->index_);
  }
  return Page(HttpStatus::ok, RowPage(*aSession, *edit));
}

HttpResponse ConsoleService::SaveRow(const Session& aSession,
                                     const FormData& aForm)
{
  auto edit = FindRow(*aSession, aForm);
  if (!edit || edit->was_ != aForm.Get("was")) {
    return Fault(HttpStatus::conflict,
                 "The draft has changed since the form was opened; open the "
                 "document again.");
  }
  Draft& draft = aSession->draft_;
  auto& rows = RowsOf(draft.document_, edit->section_);
  if (aForm.Get("action") == "remove" && !edit->isNew_) {
    rows.erase(rows.begin() + static_cast<std::ptrdiff_t>(edit->index_));
    MarkChanged(draft);
    return Redirect("/");
  }
  const boost::json::object row = RowFromForm(edit->section_, aForm);
  if (edit->isNew_) {
    rows.emplace_back(row);
  } else {
    rows[edit->index_] = row;
  }
  MarkChanged(draft);
  const auto faults =
    FaultsOfRow(draft.document_, edit->section_, edit->index_);
  if (faults.empty()) {
    Normalise(draft.document_);
    return Redirect("/");
  }
  edit->isNew_ = false;
  edit->row_ = row;
  edit->was_ = row.contains("name") ? ReadableValue(row.at("name")) : "";
  edit->faults_ = faults;
  return Page(HttpStatus::unprocessable_entity, RowPage(*aSession, *edit));
}

HttpResponse ConsoleService::Review(const Session& aSession)
{
  const Draft& draft = aSession->draft_;
  JsonFaults baseFaults;
  JsonFaults faults;
  const Document before = Document::Parse(draft.base_, baseFaults);
  const Document after = Document::Parse(draft.document_, faults);
  std::vector<DocumentChange> changes;
  if (faults.IsEmpty()) {
    changes = DiffDocuments(before, after);
  }
  return Page(HttpStatus::ok, ReviewPage(*aSession, changes, faults.List()));
}

asio::awaitable<HttpResponse> ConsoleService::Apply(Session aSession)
{
  const Draft& draft = aSession->draft_;
  ApplyRequest request{ draft.changeId_, draft.baseVersion_, draft.document_ };
  const std::string changeId = draft.changeId_;
  const ApplyResult result =
    co_await admin_.Apply(std::move(request), aSession->token_);
  LogLine(LogLevel::Info, "console_apply")
    .Add("change_id", changeId)
    .Add("outcome", NameOf(result.outcome_))
    .Add("version", result.version_.Value());
  // A draft that was changed meanwhile, in another tab, is kept.
  const bool isDone = result.outcome_ == ApplyOutcome::Accepted &&
                      aSession->draft_.changeId_ == changeId;
  if (isDone) {
    aSession->draft_ = {};
  }
  co_return Page(HttpStatus::ok, ResultPage(*aSession, result));
}

asio::awaitable<HttpResponse> ConsoleService::CarryOver(Session aSession)
{
  const auto reply =
    ReadDocumentReply(co_await admin_.Get("/v1/document", aSession->token_));
  if (!reply.ok()) {
    co_return Fault(HttpStatus::service_unavailable,
                    std::string(reply.status().message()));
  }
  Draft fresh;
  SetDraft(fresh, *reply);
  const MergedDocument merged = MergeDocuments(
    aSession->draft_.base_, aSession->draft_.document_, fresh.base_);
  fresh.document_ = merged.document_;
  aSession->draft_ = std::move(fresh);
  std::string message = "The draft now builds on the accepted document.";
  for (const std::string& row : merged.conflicts_) {
    message += " Changed by both, with your version kept: " + row + ".";
  }
  co_return Page(
    HttpStatus::ok,
    OverviewPage(*aSession, FaultsOf(aSession->draft_.document_), message));
}

} // namespace foxtail
