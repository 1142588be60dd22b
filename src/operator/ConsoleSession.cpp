#include "operator/ConsoleSession.h"

#include "operator/Access.h"

#include <algorithm>

namespace foxtail {
namespace {

/// @return 256 random bits in hexadecimal.
std::string RandomKey()
{
  const std::string token = MakeToken(OperatorName("x")).token_;
  return token.substr(token.find('.') + 1);
}

} // namespace

ConsoleSessions::ConsoleSessions(ConsoleSessionSettings aSettings)
  : settings_(aSettings)
{
}

std::string ConsoleSessions::Open(std::string aToken, TimePoint aNow)
{
  CloseIdle(aNow);
  if (sessions_.size() >= settings_.maxSessions_) {
    sessions_.erase(std::min_element(sessions_.begin(),
                                     sessions_.end(),
                                     [](const auto& aLeft, const auto& aRight) {
                                       return aLeft.second->usedAt_ <
                                              aRight.second->usedAt_;
                                     }));
  }
  auto session = std::make_shared<ConsoleSession>();
  session->token_ = std::move(aToken);
  session->formKey_ = RandomKey();
  session->usedAt_ = aNow;
  std::string id = RandomKey();
  sessions_[id] = std::move(session);
  return id;
}

std::shared_ptr<ConsoleSession> ConsoleSessions::Find(const std::string& aId,
                                                      TimePoint aNow)
{
  const auto found = sessions_.find(aId);
  if (found == sessions_.end()) {
    return nullptr;
  }
  if (aNow - found->second->usedAt_ > settings_.idle_) {
    sessions_.erase(found);
    return nullptr;
  }
  found->second->usedAt_ = aNow;
  return found->second;
}

void ConsoleSessions::CloseIdle(TimePoint aNow)
{
  std::erase_if(sessions_, [&](const auto& aRow) {
    return aNow - aRow.second->usedAt_ > settings_.idle_;
  });
}

std::string CookieValue(std::string_view aHeader, std::string_view aName)
{
  while (!aHeader.empty()) {
    const size_t end = std::min(aHeader.find(';'), aHeader.size());
    std::string_view pair = aHeader.substr(0, end);
    aHeader.remove_prefix(std::min(end + 1, aHeader.size()));
    while (!pair.empty() && pair.front() == ' ') {
      pair.remove_prefix(1);
    }
    const size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == aName) {
      return std::string(pair.substr(equals + 1));
    }
  }
  return {};
}

} // namespace foxtail
