#ifndef OPERATOR_CONSOLESESSION_H
#define OPERATOR_CONSOLESESSION_H

#include "core/Ids.h"
#include "core/Time.h"

#include <boost/json.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace foxtail {

struct ConsoleSessionSettings
{
  /// A session that is not used for this long is closed.
  milliseconds idle_{ 30 * 60 * 1000 };
  /// Open sessions; above it the one that was idle longest is closed.
  size_t maxSessions_ = 1000;
};

/// An operator's change in the making.
struct Draft
{
  /// Whether the accepted document was fetched.
  bool isLoaded_ = false;
  DocumentVersion baseVersion_;
  boost::json::value base_;
  boost::json::value document_;
  /// Id of the change, the same for each time that it is sent.
  std::string changeId_;
};

/// What the console knows of one browser. Used from one thread.
struct ConsoleSession
{
  /// The operator's token, never shown on a page.
  std::string token_;
  /// Sent back by each form, so that no other site's page can submit one.
  std::string formKey_;
  TimePoint usedAt_{};
  Draft draft_;
};

/// Open sessions by the random id of their cookie. Pure, not thread safe.
class ConsoleSessions
{
public:
  explicit ConsoleSessions(ConsoleSessionSettings aSettings);

  /// Opens a session.
  ///
  /// @return its id, 256 random bits in hexadecimal.
  std::string Open(std::string aToken, TimePoint aNow);

  /// @return the session, or null when it is unknown or idle for too long.
  std::shared_ptr<ConsoleSession> Find(const std::string& aId, TimePoint aNow);

  void Close(const std::string& aId) { sessions_.erase(aId); }
  size_t Size() const { return sessions_.size(); }

private:
  void CloseIdle(TimePoint aNow);

  ConsoleSessionSettings settings_;
  std::unordered_map<std::string, std::shared_ptr<ConsoleSession>> sessions_;
};

/// @return the value of the cookie @p aName, or empty.
std::string CookieValue(std::string_view aHeader, std::string_view aName);

} // namespace foxtail

#endif // OPERATOR_CONSOLESESSION_H
