#include "team/TeamAccess.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>

namespace foxtail {

namespace {

std::string_view Trim(std::string_view aText)
{
  constexpr std::string_view kSpace = " \t";
  aText.remove_prefix(std::min(aText.find_first_not_of(kSpace), aText.size()));
  return aText.substr(0, aText.find_last_not_of(kSpace) + 1);
}

} // namespace

std::string_view KeyOf(std::string_view aScheme,
                       std::string_view aAuthorization)
{
  const std::string_view text = Trim(aAuthorization);
  const size_t end = text.find_first_of(" \t");
  const bool hasScheme = end != std::string_view::npos &&
                         boost::beast::iequals(text.substr(0, end), aScheme);
  return hasScheme ? Trim(text.substr(end)) : std::string_view();
}

TeamAccess DecideTeamAccess(const TeamAccessSettings& aSettings,
                            std::string_view aScheme,
                            const TeamAccessRequest& aRequest)
{
  if (aRequest.teams_ == nullptr) {
    return AccessAllowed{};
  }
  const std::string_view key = KeyOf(aScheme, aRequest.authorization_);
  const Team* team = key.empty() ? nullptr : aRequest.teams_->FindByKey(key);
  if (aRequest.isRoutePublic_) {
    return AccessAllowed{ team };
  }
  if (aSettings.refusesKeysWithoutControl_ &&
      aRequest.sinceControlContact_ >= aSettings.keyValidity_) {
    return AccessUnavailable{ TeamRefusal::NoControl, aSettings.controlDelay_ };
  }
  if (team != nullptr) {
    return AccessAllowed{ team };
  }
  if (key.empty()) {
    return AccessDenied{ TeamRefusal::NoKey };
  }
  if (aRequest.isNewerDocumentKnown_) {
    return AccessUnavailable{ TeamRefusal::NewerDocument,
                              aSettings.newDocumentDelay_ };
  }
  return AccessDenied{ TeamRefusal::UnknownKey };
}

} // namespace foxtail
