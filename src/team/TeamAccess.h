#ifndef TEAM_TEAMACCESS_H
#define TEAM_TEAMACCESS_H

#include "core/EnumTable.h"
#include "core/Time.h"
#include "team/TeamTable.h"

#include <variant>

namespace foxtail {

/// Settings of the check of team keys.
struct TeamAccessSettings
{
  /// Whether requests that need a key are refused once control was out of reach
  /// for keyValidity_. Otherwise the keys in force stay valid.
  bool refusesKeysWithoutControl_ = false;
  milliseconds keyValidity_{ 5000 };
  /// Retry-After for an unknown key while a newer document is known: the usual
  /// time until its text is received.
  milliseconds newDocumentDelay_{ 200 };
  /// Retry-After while control is out of reach: the interval in which a long
  /// poll of a reachable control instance returns.
  milliseconds controlDelay_{ 1000 };
};

/// What is known about a request when its key is checked.
struct TeamAccessRequest
{
  /// Teams of the document in force, or null without a list of teams.
  const TeamTable* teams_ = nullptr;
  bool isRoutePublic_ = false;
  /// Value of the Authorization header; empty if there is none.
  std::string_view authorization_;
  /// Whether a document exists that is newer than the one in force.
  bool isNewerDocumentKnown_ = false;
  /// Time since the last reply of any control instance.
  Duration sinceControlContact_{};
};

enum class TeamRefusal
{
  NoKey,
  UnknownKey,
  /// The key is unknown, but may be in a newer document.
  NewerDocument,
  NoControl,
};

template<>
struct EnumTable<TeamRefusal>
{
  static constexpr std::array<EnumName<TeamRefusal>, 4> kRows{ {
    { TeamRefusal::NoKey, "no_key" },
    { TeamRefusal::UnknownKey, "unknown_key" },
    { TeamRefusal::NewerDocument, "newer_document" },
    { TeamRefusal::NoControl, "no_control" },
  } };
};

/// The request may be sent.
struct AccessAllowed
{
  /// The team whose key the request has, or null.
  const Team* team_ = nullptr;
};

/// The request is answered with 401.
struct AccessDenied
{
  TeamRefusal reason_ = TeamRefusal::NoKey;
};

/// The request is answered with 503.
struct AccessUnavailable
{
  TeamRefusal reason_ = TeamRefusal::NewerDocument;
  milliseconds retryAfter_{};
};

using TeamAccess = std::variant<AccessAllowed, AccessDenied, AccessUnavailable>;

/// Decides whether a request may be sent, by the key in its Authorization
/// header.
///
/// @param aScheme scheme of that header, compared without regard to case.
TeamAccess DecideTeamAccess(const TeamAccessSettings& aSettings,
                            std::string_view aScheme,
                            const TeamAccessRequest& aRequest);

/// @return the key in an Authorization header, or an empty text when its scheme
/// is another one.
std::string_view KeyOf(std::string_view aScheme,
                       std::string_view aAuthorization);

} // namespace foxtail

#endif // TEAM_TEAMACCESS_H
