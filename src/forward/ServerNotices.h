#ifndef FORWARD_SERVERNOTICES_H
#define FORWARD_SERVERNOTICES_H

#include "core/Time.h"
#include "forward/HeaderNames.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <string_view>

namespace foxtail {

/// What a reply states of the backend server's process, beside the answer.
struct ServerNotices
{
  /// The process is leaving.
  bool isLeaving_ = false;
  /// The server accepts no requests from this instance for this long.
  std::optional<Duration> refusesFor_;
  /// Time for which the server stays cold.
  std::optional<milliseconds> warmupLeft_;
};

/// Largest time for which a refusal is taken: a server that states a longer one
/// by mistake is tried again after it.
inline constexpr std::chrono::minutes kMaxServerRefusal{ 10 };
/// Largest stated warm-up time; the same as in announcements.
inline constexpr std::chrono::hours kMaxStatedWarmup{ 1 };

/// @return the time in @p aText, the value of a Retry-After header in decimal
/// seconds, at most kMaxServerRefusal; nothing for dates and other text.
std::optional<Duration> ParseRetryAfter(std::string_view aText);

/// @return the time in @p aText, a number of milliseconds, at most
/// kMaxStatedWarmup; nothing for other text.
std::optional<milliseconds> ParseWarmup(std::string_view aText);

ServerNotices ReadServerNotices(
  const boost::beast::http::response<boost::beast::http::string_body>& aReply,
  const HeaderNames& aHeaderNames);

} // namespace foxtail

#endif // FORWARD_SERVERNOTICES_H
