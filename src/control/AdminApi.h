#ifndef CONTROL_ADMINAPI_H
#define CONTROL_ADMINAPI_H

#include "control/ReplicatedControl.h"
#include "http/HttpTypes.h"
#include "operator/Access.h"

#include <boost/asio/awaitable.hpp>
#include <boost/json.hpp>

namespace foxtail {

/// The HTTP administration API of a control instance. Only the leader serves
/// the document; other instances reply with status 421 and the leader's
/// endpoint. Thread safe.
class AdminApi
{
public:
  AdminApi(ReplicatedControl& aControl,
           const Access& aAccess,
           Metrics& aMetrics);

  boost::asio::awaitable<HttpResponse> Handle(HttpRequest aRequest);

private:
  /// The document from a read confirmed by a quorum.
  struct CurrentDocument
  {
    DocumentVersion version_;
    std::shared_ptr<const std::string> text_;
    /// Whether the change id given to ReadCurrent() already has a result.
    bool isKnownChange_ = false;
  };

  boost::asio::awaitable<HttpResponse> Route(const HttpRequest& aRequest);
  boost::asio::awaitable<HttpResponse> GetDocument();
  boost::asio::awaitable<HttpResponse> PostDocument(
    const HttpRequest& aRequest);
  boost::asio::awaitable<HttpResponse> Apply(const OperatorSettings& aOperator,
                                             ChangeDocument aChange,
                                             const Document& aDocument,
                                             AuditRecord& aAudit);
  HttpResponse PostCheck(const HttpRequest& aRequest) const;
  boost::asio::awaitable<HttpResponse> GetHistory(const HttpRequest& aRequest);
  /// Returns the name and role of the operator whose credentials were sent, for
  /// programs that sign operators in.
  HttpResponse GetOperator(const HttpRequest& aRequest) const;
  boost::asio::awaitable<HttpResponse> GetStatus();
  boost::asio::awaitable<HttpResponse> GetEvacuations();
  boost::asio::awaitable<HttpResponse> PostEvacuation(
    const HttpRequest& aRequest);
  boost::asio::awaitable<HttpResponse> PostMembers(const HttpRequest& aRequest);
  boost::asio::awaitable<absl::StatusOr<CurrentDocument>> ReadCurrent(
    ChangeId aId);
  /// @return the response for a failed read or change.
  boost::asio::awaitable<HttpResponse> FailureResponse(
    const absl::Status& aStatus);

  ReplicatedControl& control_;
  const Access& access_;
  Metrics& metrics_;
};

} // namespace foxtail

#endif // CONTROL_ADMINAPI_H
