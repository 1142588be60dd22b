#ifndef FORWARD_TEAMGATE_H
#define FORWARD_TEAMGATE_H

#include "forward/Exchange.h"
#include "forward/ForwardSettings.h"
#include "forward/HeaderNames.h"
#include "forward/RouteTable.h"

#include <functional>
#include <prometheus/counter.h>

namespace foxtail {

class Metrics;
struct ForwardAnswer;

/// What an instance knows from the replies of control instances.
struct ControlContact
{
  /// Whether a document exists that is newer than the one in force.
  bool isNewerDocumentKnown_ = false;
  /// When any control instance last replied.
  TimePoint lastReplyAt_{};
};

/// Checks the team keys of requests and replaces their credentials by the name
/// of the team. Not thread-safe.
class TeamGate
{
public:
  using ContactSource = std::function<ControlContact()>;

  TeamGate(const ForwardSettings& aSettings,
           const HeaderNames& aHeaderNames,
           Metrics& aMetrics);

  /// Sets the source of what is known from control. Without one, control is
  /// taken to be in contact and to have no newer document.
  void SetContactSource(ContactSource aSource)
  {
    contact_ = std::move(aSource);
  }

  /// @return whether the request may be sent under a document.
  TeamAccess Decide(const RouteTable& aTable,
                    const Route& aRoute,
                    const ForwardRequest& aRequest,
                    TimePoint aNow) const;

  /// Checks the request before it begins. If it may be sent and the document
  /// has teams, its credentials are removed, and its team is set.
  ///
  /// @return the answer to a request that must not be sent, or nothing.
  std::optional<ForwardAnswer> Check(const RouteTable& aTable,
                                     const Route& aRoute,
                                     ForwardRequest& aRequest,
                                     TimePoint aNow);

private:
  ForwardAnswer Refuse(const RouteTable& aTable,
                       const Route& aRoute,
                       const ForwardRequest& aRequest,
                       TeamRefusal aReason,
                       std::optional<milliseconds> aRetryAfter);

  const ForwardSettings& settings_;
  const HeaderNames& headerNames_;
  ContactSource contact_;
  /// In the order of TeamRefusal.
  std::array<prometheus::Counter*, EnumTable<TeamRefusal>::kRows.size()>
    refusals_{};
};

/// @return header lines without the caller's credentials and team header.
std::string WithoutTeamHeaders(std::string_view aHeaders,
                               const HeaderNames& aHeaderNames);

} // namespace foxtail

#endif // FORWARD_TEAMGATE_H
