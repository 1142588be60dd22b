#include "operator/AdminClient.h"

#include "core/RandomSource.h"
#include "http/HttpClient.h"

#include <array>
#include <boost/asio/this_coro.hpp>
#include <cstdio>
#include <deque>

namespace foxtail {

namespace asio = boost::asio;
using boost::beast::http::verb;

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kConflict = 409;
constexpr unsigned kMisdirected = 421;
constexpr unsigned kServerErrors = 500;
constexpr unsigned kUnavailable = 503;
constexpr size_t kMaxRedirects = 4;
constexpr size_t kMaxEndpoints = 16;

std::string TextOf(const boost::json::value& aBody, std::string_view aName)
{
  const auto* object = aBody.if_object();
  const auto* member = object == nullptr ? nullptr : object->if_contains(aName);
  const auto* text = member == nullptr ? nullptr : member->if_string();
  return text == nullptr ? std::string() : std::string(*text);
}

uint64_t NumberOf(const boost::json::value& aBody, std::string_view aName)
{
  const auto* object = aBody.if_object();
  const auto* member = object == nullptr ? nullptr : object->if_contains(aName);
  if (member == nullptr) {
    return 0;
  }
  boost::json::error_code error;
  const auto number = member->to_number<uint64_t>(error);
  return error ? 0 : number;
}

AdminReply ReadReply(const HttpResponse& aResponse)
{
  AdminReply reply;
  reply.status_ = aResponse.result_int();
  auto body = ParseJson(aResponse.body(), "the answer", ErrorKind::Protocol);
  if (body.ok()) {
    reply.body_ = std::move(*body);
  } else {
    reply.body_ = { { "error", "the answer is not JSON" } };
  }
  return reply;
}

HttpRequest MakeAdminRequest(verb aVerb,
                             std::string_view aTarget,
                             std::string_view aToken,
                             const std::string& aBody)
{
  HttpRequest request = MakeRequest(aVerb, aTarget, aBody);
  if (!aToken.empty()) {
    request.set(boost::beast::http::field::authorization,
                "Bearer " + std::string(aToken));
  }
  return request;
}

ApplyResult ResultOf(const AdminReply& aReply, bool aIsAnswerLost)
{
  ApplyResult result;
  result.version_ = DocumentVersion(NumberOf(aReply.body_, "version"));
  result.message_ = TextOf(aReply.body_, "error");
  switch (aReply.status_) {
    case kOk:
      result.outcome_ = ApplyOutcome::Accepted;
      return result;
    case kBadRequest:
      result.outcome_ = ApplyOutcome::Invalid;
      result.faults_ = ReadFaults(aReply.body_);
      return result;
    case kConflict:
      result.outcome_ = ApplyOutcome::Conflict;
      return result;
    default:
      break;
  }
  if (aReply.status_ >= kBadRequest && aReply.status_ < kServerErrors) {
    result.outcome_ = ApplyOutcome::Denied;
    return result;
  }
  // "Not run" of this try says nothing of an earlier one.
  const bool isNotRun = aReply.status_ == kUnavailable && !aIsAnswerLost &&
                        TextOf(aReply.body_, "outcome") == "not_run";
  result.outcome_ = isNotRun ? ApplyOutcome::NotRun : ApplyOutcome::Unknown;
  return result;
}

} // namespace

AdminClientSettings AdminClientSettings::Read(JsonReader& aReader)
{
  AdminClientSettings result;
  for (const std::string& text : aReader.Strings("admin", kMaxEndpoints)) {
    const auto endpoint = ParseEndpoint(text);
    if (endpoint.ok()) {
      result.endpoints_.push_back(*endpoint);
    } else {
      aReader.Fault("admin", std::string(endpoint.status().message()));
    }
  }
  if (result.endpoints_.empty()) {
    aReader.Fault("admin",
                  "names no control instance; give their administration "
                  "addresses, such as 127.0.0.1:7200");
  }
  result.timeout_ = aReader.Millis("admin_timeout_ms",
                                   result.timeout_,
                                   milliseconds(10),
                                   milliseconds(600000));
  return result;
}

std::string MakeChangeId()
{
  std::array<char, 33> text{};
  std::snprintf(text.data(),
                text.size(),
                "%016llx%016llx",
                static_cast<unsigned long long>(RandomSource::SystemSeed()),
                static_cast<unsigned long long>(RandomSource::SystemSeed()));
  return text.data();
}

std::vector<JsonFault> ReadFaults(const boost::json::value& aBody)
{
  std::vector<JsonFault> faults;
  const auto* object = aBody.if_object();
  const auto* list =
    object == nullptr ? nullptr : object->if_contains("faults");
  const auto* rows = list == nullptr ? nullptr : list->if_array();
  for (size_t i = 0; rows != nullptr && i < rows->size(); ++i) {
    faults.push_back(
      { TextOf((*rows)[i], "path"), TextOf((*rows)[i], "message") });
  }
  return faults;
}

uint64_t OrdersOf(const boost::json::value& aEvacuations)
{
  return NumberOf(aEvacuations, "orders");
}

AdminClient::AdminClient(AdminClientSettings aSettings)
  : settings_(std::move(aSettings))
{
}

asio::awaitable<AdminClient::Sent> AdminClient::Send(verb aVerb,
                                                     std::string aTarget,
                                                     std::string aToken,
                                                     std::string aBody)
{
  std::deque<TcpEndpoint> waiting(settings_.endpoints_.begin(),
                                  settings_.endpoints_.end());
  Sent sent{ MakeError(ErrorKind::Unavailable,
                       "no control instance can be reached; check the "
                       "addresses given as admin"),
             false };
  size_t redirects = 0;
  while (!waiting.empty()) {
    const TcpEndpoint endpoint = waiting.front();
    waiting.pop_front();
    HttpClient client(co_await asio::this_coro::executor, endpoint);
    const auto response = co_await client.Exchange(
      MakeAdminRequest(aVerb, aTarget, aToken, aBody), settings_.timeout_);
    if (!response.ok()) {
      sent.isAnswerLost_ |= KindOf(response.status()) != ErrorKind::Unavailable;
      continue;
    }
    AdminReply reply = ReadReply(*response);
    if (reply.status_ == kMisdirected) {
      const auto leader = ParseEndpoint(TextOf(reply.body_, "leader"));
      if (leader.ok() && ++redirects <= kMaxRedirects) {
        waiting.push_front(*leader);
      }
      continue;
    }
    const bool isRefused = reply.status_ == kUnavailable;
    sent.isAnswerLost_ |=
      isRefused && TextOf(reply.body_, "outcome") != "not_run";
    sent.reply_ = std::move(reply);
    // Another control instance may know of a leader.
    if (!isRefused) {
      break;
    }
  }
  co_return sent;
}

asio::awaitable<absl::StatusOr<AdminReply>> AdminClient::Get(
  std::string aTarget,
  std::string aToken)
{
  Sent sent =
    co_await Send(verb::get, std::move(aTarget), std::move(aToken), {});
  co_return std::move(sent.reply_);
}

asio::awaitable<absl::StatusOr<AdminReply>> AdminClient::Check(
  boost::json::value aDocument,
  std::string aToken)
{
  boost::json::object body;
  body["document"] = std::move(aDocument);
  Sent sent = co_await Send(
    verb::post, "/v1/check", std::move(aToken), boost::json::serialize(body));
  co_return std::move(sent.reply_);
}

asio::awaitable<absl::StatusOr<AdminReply>> AdminClient::Evacuate(
  std::string aZone,
  bool aIsEvacuated,
  uint64_t aKnownOrders,
  std::string aToken)
{
  boost::json::object body;
  body["zone"] = aZone;
  body["evacuated"] = aIsEvacuated;
  body["known_orders"] = aKnownOrders;
  Sent sent = co_await Send(verb::post,
                            "/v1/evacuations",
                            std::move(aToken),
                            boost::json::serialize(body));
  co_return std::move(sent.reply_);
}

asio::awaitable<ApplyResult> AdminClient::Apply(ApplyRequest aRequest,
                                                std::string aToken)
{
  boost::json::object body;
  body["change_id"] = aRequest.changeId_;
  body["base_version"] = aRequest.baseVersion_.Value();
  body["document"] = std::move(aRequest.document_);
  const Sent sent = co_await Send(verb::post,
                                  "/v1/document",
                                  std::move(aToken),
                                  boost::json::serialize(body));
  if (sent.reply_.ok()) {
    co_return ResultOf(*sent.reply_, sent.isAnswerLost_);
  }
  ApplyResult result;
  result.outcome_ =
    sent.isAnswerLost_ ? ApplyOutcome::Unknown : ApplyOutcome::NotRun;
  result.message_ = std::string(sent.reply_.status().message());
  co_return result;
}

} // namespace foxtail
