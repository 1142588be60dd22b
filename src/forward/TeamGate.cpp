#include "forward/TeamGate.h"

#include "core/Log.h"
#include "core/Metrics.h"
#include "forward/HopByHop.h"
#include "forward/RequestHandler.h"

namespace foxtail {
namespace {

std::string_view MessageOf(TeamRefusal aReason)
{
  switch (aReason) {
    case TeamRefusal::NoKey:
      return "this route needs the key of a team; send it in the Authorization "
             "header";
    case TeamRefusal::UnknownKey:
      return "the key in the Authorization header belongs to no team; check it "
             "or ask the operators for one";
    case TeamRefusal::NewerDocument:
      return "the key is unknown here, and a newer document is on its way; "
             "come back after the time that is stated";
    case TeamRefusal::NoControl:
      return "this instance cannot check keys, as it is cut off from control; "
             "come back after the time that is stated";
  }
  return {};
}

} // namespace

TeamGate::TeamGate(const ForwardSettings& aSettings,
                   const HeaderNames& aHeaderNames,
                   Metrics& aMetrics)
  : settings_(aSettings)
  , headerNames_(aHeaderNames)
{
  for (const auto& row : EnumTable<TeamRefusal>::kRows) {
    refusals_.at(static_cast<size_t>(row.value_)) =
      &aMetrics.Counter("foxtail_forward_key_refusals_total",
                        "Requests refused by the check of team keys",
                        { { "reason", std::string(row.name_) } });
  }
}

TeamAccess TeamGate::Decide(const RouteTable& aTable,
                            const Route& aRoute,
                            const ForwardRequest& aRequest,
                            TimePoint aNow) const
{
  if (aTable.Teams() == nullptr) {
    return AccessAllowed{};
  }
  const ControlContact contact =
    contact_ ? contact_() : ControlContact{ false, aNow };
  TeamAccessRequest request;
  request.teams_ = aTable.Teams();
  request.isRoutePublic_ = aRoute.isPublic_;
  request.authorization_ = aRequest.credentials_;
  request.isNewerDocumentKnown_ = contact.isNewerDocumentKnown_;
  request.sinceControlContact_ = aNow - contact.lastReplyAt_;
  return DecideTeamAccess(
    settings_.teamAccess_, headerNames_.keyScheme_, request);
}

std::optional<ForwardAnswer> TeamGate::Check(const RouteTable& aTable,
                                             const Route& aRoute,
                                             ForwardRequest& aRequest,
                                             TimePoint aNow)
{
  if (aTable.Teams() == nullptr) {
    return std::nullopt;
  }
  if (aRequest.hasTeamHeaders_) {
    // The key was checked and removed before the request waited for a permit.
    const bool isTeamRemoved =
      !aRequest.team_.empty() &&
      aTable.Teams()->FindByName(aRequest.team_) == nullptr;
    return isTeamRemoved ? std::optional(Refuse(aTable,
                                                aRoute,
                                                aRequest,
                                                TeamRefusal::UnknownKey,
                                                std::nullopt))
                         : std::nullopt;
  }
  const TeamAccess access = Decide(aTable, aRoute, aRequest, aNow);
  if (const auto* denied = std::get_if<AccessDenied>(&access)) {
    return Refuse(aTable, aRoute, aRequest, denied->reason_, std::nullopt);
  }
  if (const auto* unavailable = std::get_if<AccessUnavailable>(&access)) {
    return Refuse(
      aTable, aRoute, aRequest, unavailable->reason_, unavailable->retryAfter_);
  }
  aRequest.headers_ = WithoutTeamHeaders(aRequest.headers_, headerNames_);
  aRequest.credentials_.clear();
  aRequest.hasTeamHeaders_ = true;
  if (const Team* team = std::get<AccessAllowed>(access).team_) {
    aRequest.team_ = team->name_;
    aRequest.headers_ += headerNames_.team_ + ": " + team->name_ + "\r\n";
  }
  return std::nullopt;
}

ForwardAnswer TeamGate::Refuse(const RouteTable& aTable,
                               const Route& aRoute,
                               const ForwardRequest& aRequest,
                               TeamRefusal aReason,
                               std::optional<milliseconds> aRetryAfter)
{
  constexpr unsigned kUnauthorized = 401;
  constexpr unsigned kUnavailable = 503;
  const unsigned status = aRetryAfter ? kUnavailable : kUnauthorized;
  refusals_.at(static_cast<size_t>(aReason))->Increment();
  LogLine(LogLevel::Info, "request_refused_key")
    .Add("request", aRequest.id_)
    .Add("route", aRoute.name_)
    .Add("document", aTable.Version())
    .Add("status", status)
    .Add("reason", NameOf(aReason));
  ForwardAnswer answer = MakeLocalAnswer(
    AnswerSource::NotRun, status, MessageOf(aReason), aRetryAfter);
  if (status == kUnauthorized) {
    answer.headers_ += "WWW-Authenticate: " + headerNames_.keyScheme_ + "\r\n";
  }
  return answer;
}

std::string WithoutTeamHeaders(std::string_view aHeaders,
                               const HeaderNames& aHeaderNames)
{
  constexpr std::string_view kAuthorization = "Authorization";
  const std::array<std::string_view, 2> hidden{ kAuthorization,
                                                aHeaderNames.team_ };
  return WithoutHeaders(aHeaders, hidden);
}

} // namespace foxtail
