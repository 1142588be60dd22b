#include "forward/ServerNotices.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace foxtail {
namespace {

namespace http = boost::beast::http;

/// @return the number that makes up all of @p aText, but for blanks around it.
template<typename T>
std::optional<T> ParseWhole(std::string_view aText)
{
  constexpr std::string_view kBlanks = " \t";
  const size_t begin = aText.find_first_not_of(kBlanks);
  if (begin == std::string_view::npos) {
    return std::nullopt;
  }
  aText = aText.substr(begin, aText.find_last_not_of(kBlanks) - begin + 1);
  T value{};
  const auto [end, error] =
    std::from_chars(aText.data(), aText.data() + aText.size(), value);
  const bool isWhole =
    error == std::errc() && end == aText.data() + aText.size();
  return isWhole ? std::optional(value) : std::nullopt;
}

} // namespace

std::optional<Duration> ParseRetryAfter(std::string_view aText)
{
  using Seconds = std::chrono::duration<double>;
  const auto stated = ParseWhole<double>(aText);
  if (!stated || !std::isfinite(*stated) || *stated < 0) {
    return std::nullopt;
  }
  return duration_cast<Duration>(
    std::min(Seconds(*stated), Seconds(kMaxServerRefusal)));
}

std::optional<milliseconds> ParseWarmup(std::string_view aText)
{
  const auto stated = ParseWhole<uint64_t>(aText);
  if (!stated) {
    return std::nullopt;
  }
  constexpr auto kMax =
    static_cast<uint64_t>(milliseconds(kMaxStatedWarmup).count());
  return milliseconds(std::min(*stated, kMax));
}

ServerNotices ReadServerNotices(const http::response<http::string_body>& aReply,
                                const HeaderNames& aHeaderNames)
{
  const auto text = [](const auto& aField) {
    return std::string_view(aField->value().data(), aField->value().size());
  };
  ServerNotices notices;
  const auto leaving = aReply.find(aHeaderNames.leaving_);
  notices.isLeaving_ = leaving != aReply.end() && text(leaving) == "1";
  if (aReply.result() == http::status::service_unavailable) {
    const auto retryAfter = aReply.find(http::field::retry_after);
    if (retryAfter != aReply.end()) {
      notices.refusesFor_ = ParseRetryAfter(text(retryAfter));
    }
  }
  const auto warmup = aReply.find(aHeaderNames.warmupMs_);
  if (warmup != aReply.end()) {
    notices.warmupLeft_ = ParseWarmup(text(warmup));
  }
  return notices;
}

} // namespace foxtail
