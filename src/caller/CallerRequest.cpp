#include "caller/CallerRequest.h"

#include "backend/JsonSyntax.h"
#include "core/Error.h"

#include <algorithm>
#include <charconv>

namespace foxtail {
namespace {

constexpr std::string_view kQueryPrefix = "/v1/query/";
constexpr std::string_view kActionPrefix = "/v1/action/";
constexpr size_t kMaxRequestIdBytes = 64;

bool IsIdCharacter(char aChar)
{
  return (aChar >= 'a' && aChar <= 'z') || (aChar >= 'A' && aChar <= 'Z') ||
         (aChar >= '0' && aChar <= '9') || aChar == '-' || aChar == '_' ||
         aChar == '.' || aChar == ':';
}

absl::Status Invalid(const std::string& aMessage)
{
  return MakeError(ErrorKind::InvalidRequest, aMessage);
}

absl::Status ReadDeadline(const HttpRequest& aRequest, QueryRequest& aQuery)
{
  const ServiceSettings& service = *aQuery.service_;
  milliseconds deadline = service.deadline_;
  const std::string_view text = HeaderOf(aRequest, "Foxtail-Deadline-Ms");
  if (!text.empty()) {
    int64_t value = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end || value < 1 ||
        value > service.maxDeadline_.count()) {
      return Invalid("Foxtail-Deadline-Ms is not a number from 1 to " +
                     std::to_string(service.maxDeadline_.count()) +
                     "; use a value within the service's limit");
    }
    deadline = milliseconds(value);
  }
  aQuery.deadline_ = aQuery.startedAt_ + deadline;
  aQuery.softDeadline_ = aQuery.startedAt_ + service.softDeadline_;
  return absl::OkStatus();
}

absl::Status ReadPatience(const HttpRequest& aRequest, QueryRequest& aQuery)
{
  aQuery.patience_ = aQuery.service_->patience_;
  const std::string_view text = HeaderOf(aRequest, "Foxtail-Patience");
  if (text.empty()) {
    return absl::OkStatus();
  }
  const auto patience = FromName<Patience>(text);
  if (!patience) {
    return Invalid("Foxtail-Patience is neither complete nor prompt; use "
                   "one of them");
  }
  aQuery.patience_ = *patience;
  return absl::OkStatus();
}

} // namespace

std::optional<CallerTarget> ParseCallerTarget(std::string_view aPath)
{
  const auto hasName = [&](std::string_view aPrefix) {
    return aPath.starts_with(aPrefix) && aPath.size() > aPrefix.size();
  };
  if (hasName(kQueryPrefix)) {
    return CallerTarget{ CallerRoute::Query,
                         std::string(aPath.substr(kQueryPrefix.size())) };
  }
  if (hasName(kActionPrefix)) {
    return CallerTarget{ CallerRoute::Action,
                         std::string(aPath.substr(kActionPrefix.size())) };
  }
  return std::nullopt;
}

absl::StatusOr<RequestId> ReadRequestId(const HttpRequest& aRequest)
{
  const std::string_view text = HeaderOf(aRequest, "Foxtail-Request");
  if (text.size() > kMaxRequestIdBytes ||
      !std::all_of(text.begin(), text.end(), IsIdCharacter)) {
    return Invalid("Foxtail-Request is too long or contains invalid "
                   "characters; use at most 64 of A-Z a-z 0-9 - _ . :");
  }
  return RequestId(std::string(text));
}

absl::Status ReadQueryOptions(const HttpRequest& aRequest, QueryRequest& aQuery)
{
  if (auto status = ReadDeadline(aRequest, aQuery); !status.ok()) {
    return status;
  }
  if (auto status = ReadPatience(aRequest, aQuery); !status.ok()) {
    return status;
  }
  if (!IsWellFormedJson(aRequest.body())) {
    return Invalid("the body is not a valid JSON value; send UTF-8 JSON "
                   "nested at most 32 deep");
  }
  return absl::OkStatus();
}

} // namespace foxtail
