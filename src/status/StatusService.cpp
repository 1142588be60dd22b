#include "status/StatusService.h"

#include "core/Error.h"
#include "core/JsonReader.h"
#include "core/Log.h"

namespace foxtail {

namespace asio = boost::asio;
using boost::beast::http::verb;

namespace {

constexpr size_t kMaxAnnouncements = 20000;
constexpr milliseconds kRenewInterval{ 1000 };

HttpResponse Fault(HttpStatus aStatus, ErrorKind aKind, std::string_view aText)
{
  std::string body = R"({"error_kind":")";
  body += NameOf(aKind);
  body += R"(","error":)";
  AppendJsonString(body, aText);
  body += "}\n";
  return JsonResponse(aStatus, std::move(body));
}

absl::StatusOr<std::vector<Announcement>> ReadAnnouncements(
  const std::string& aBody)
{
  const auto value =
    ParseJson(aBody, "announcement", ErrorKind::InvalidRequest);
  if (!value.ok()) {
    return value.status();
  }
  std::vector<Announcement> announcements;
  JsonFaults faults;
  JsonReader reader(*value, "", faults);
  reader.Objects("announcements", kMaxAnnouncements, [&](JsonReader& aReader) {
    announcements.push_back(Announcement::Read(aReader));
  });
  if (!reader.Has("announcements")) {
    reader.Fault("announcements", "is missing; give an array");
  }
  reader.Finish();
  if (!faults.IsEmpty()) {
    return faults.ToStatus(ErrorKind::InvalidRequest, "announcement");
  }
  return announcements;
}

} // namespace

StatusService::StatusService(Metrics& aMetrics,
                             AnnouncementReceiver* aReceiver,
                             Readiness aReadiness,
                             Status aStatus)
  : metrics_(aMetrics)
  , receiver_(aReceiver)
  , readiness_(std::move(aReadiness))
  , status_(std::move(aStatus))
  , droppedLogLines_(
      aMetrics.Gauge("foxtail_log_lines_dropped",
                     "Log lines dropped because the queue was full."))
{
}

asio::awaitable<HttpResponse> StatusService::Handle(HttpRequest aRequest)
{
  const std::string_view path = PathOf(aRequest);
  const verb method = aRequest.method();
  if (path == "/v1/announce" && receiver_ != nullptr) {
    if (method != verb::post) {
      co_return Fault(HttpStatus::method_not_allowed,
                      ErrorKind::InvalidRequest,
                      "the method is not allowed here; use POST");
    }
    co_return Announce(aRequest);
  }
  if (method != verb::get) {
    co_return Fault(HttpStatus::method_not_allowed,
                    ErrorKind::InvalidRequest,
                    "the method is not allowed here; use GET");
  }
  if (path == "/healthz") {
    co_return TextResponse(HttpStatus::ok, "text/plain", "ok\n");
  }
  if (path == "/readyz") {
    co_return Ready();
  }
  if (path == "/metrics") {
    co_return MetricsText();
  }
  if (path == "/v1/status") {
    co_return JsonResponse(HttpStatus::ok,
                           boost::json::serialize(status_()) + "\n");
  }
  co_return Fault(HttpStatus::not_found,
                  ErrorKind::NotFound,
                  "no such path; use /healthz, /readyz, /metrics, /v1/status "
                  "or /v1/announce");
}

HttpResponse StatusService::Ready() const
{
  const std::string fault = isDraining_ ? "draining" : readiness_();
  if (!fault.empty()) {
    return TextResponse(
      HttpStatus::service_unavailable, "text/plain", fault + "\n");
  }
  return TextResponse(HttpStatus::ok, "text/plain", "ready\n");
}

HttpResponse StatusService::MetricsText()
{
  droppedLogLines_.Set(static_cast<double>(DroppedLogLines()));
  return TextResponse(
    HttpStatus::ok, "text/plain; version=0.0.4", metrics_.ToText());
}

HttpResponse StatusService::Announce(const HttpRequest& aRequest)
{
  const auto announcements = ReadAnnouncements(aRequest.body());
  if (!announcements.ok()) {
    return Fault(HttpStatus::bad_request,
                 KindOf(announcements.status()),
                 std::string(announcements.status().message()));
  }
  const AnnouncementCounts counts =
    receiver_->ApplyFromServer(*announcements, Now());
  const boost::json::value body{ { "accepted", counts.accepted_ },
                                 { "stale", counts.stale_ },
                                 { "renew_ms", kRenewInterval.count() } };
  return JsonResponse(HttpStatus::ok, boost::json::serialize(body) + "\n");
}

} // namespace foxtail
