#ifndef FORWARD_QUOTAGATE_H
#define FORWARD_QUOTAGATE_H

#include "allowance/PermitSource.h"
#include "forward/PendingRequest.h"
#include "forward/RequestHandler.h"

#include <functional>
#include <unordered_map>

namespace foxtail {

/// @return the quotas of the document's teams; teams without one are left out.
std::vector<AllowanceLimit> QuotasOf(const RouteDocument& aDocument);

/// Lets a request of a team with a quota begin once it has a permit. The permit
/// covers all attempts of the request. Without a source of permits no quota is
/// applied. Not thread-safe.
class QuotaGate
{
public:
  /// Begins a request that has a permit, and returns its handler or null when
  /// it was answered from within the call.
  using BeginCallback = std::function<std::shared_ptr<PendingRequest>(
    ForwardRequest,
    RequestHandler::CompletionCallback,
    TimePoint)>;

  /// @param aSource outlives the requests, or null.
  void SetSource(PermitSource* aSource) { source_ = aSource; }
  /// Takes the quotas of a document.
  void SetTeams(const RouteDocument& aDocument);

  /// @return whether the request must pass Begin().
  bool Applies(const ForwardRequest& aRequest) const
  {
    return source_ != nullptr && !aRequest.hasPermit_ &&
           !aRequest.team_.empty() && limits_.contains(aRequest.team_);
  }
  /// Begins the request if a permit is held, refuses it, or lets it wait for a
  /// control instance.
  ///
  /// @param aRetryAfter stated when no control instance answers.
  /// @return the request, or null when it was answered from within.
  std::shared_ptr<PendingRequest> Begin(
    ForwardRequest aRequest,
    const Route& aRoute,
    milliseconds aRetryAfter,
    RequestHandler::CompletionCallback aOnComplete,
    BeginCallback aBegin,
    TimePoint aNow);

private:
  class WaitingRequest;

  std::shared_ptr<PendingRequest> BeginWith(
    Permit aPermit,
    ForwardRequest aRequest,
    RequestHandler::CompletionCallback aOnComplete,
    const BeginCallback& aBegin,
    TimePoint aNow);
  ForwardAnswer Refuse(const ForwardRequest& aRequest,
                       TimePoint aUntil,
                       TimePoint aNow);
  ForwardAnswer RefuseUnanswered(const ForwardRequest& aRequest,
                                 milliseconds aRetryAfter,
                                 TimePoint aNow);
  /// @return whether another refusal is logged in this second.
  bool MayLog(TimePoint aNow);

  PermitSource* source_ = nullptr;
  DocumentVersion version_;
  std::unordered_map<std::string, AllowanceLimit> limits_;
  std::shared_ptr<size_t> waiting_ = std::make_shared<size_t>(0);
  TimePoint logSecond_{};
  int linesInSecond_ = 0;
  uint64_t linesLeftOut_ = 0;
};

} // namespace foxtail

#endif // FORWARD_QUOTAGATE_H
