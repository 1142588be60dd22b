#ifndef CONTROL_ADMINAPI_H
#define CONTROL_ADMINAPI_H

#include "control/ReplicatedControl.h"
#include "http/HttpTypes.h"
#include "operator/Access.h"

#include <boost/asio/awaitable.hpp>
#include <boost/json.hpp>

namespace foxtail {

/// The administration API of a control instance, over HTTP. Only the leader
/// answers about the document; others name the leader with 421. Thread safe.
class AdminApi
{
public:
  AdminApi(ReplicatedControl& aControl,
           const Access& aAccess,
           Metrics& aMetrics);

  boost::asio::awaitable<HttpResponse> Handle(HttpRequest aRequest);

private:
  /// The document as of a read that a quorum confirmed.
  struct CurrentDocument
  {
    DocumentVersion version_;
    std::shared_ptr<const std::string> text_;
    /// The change id that was asked for has a result already.
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
  /// Tells whose credentials were sent, for programs that sign operators in.
  HttpResponse GetOperator(const HttpRequest& aRequest) const;
  boost::asio::awaitable<HttpResponse> GetStatus();
  boost::asio::awaitable<HttpResponse> PostMembers(const HttpRequest& aRequest);
  boost::asio::awaitable<absl::StatusOr<CurrentDocument>> ReadCurrent(
    ChangeId aId);
  /// @return the answer for a failed read or change.
  boost::asio::awaitable<HttpResponse> FailureResponse(
    const absl::Status& aStatus);

  ReplicatedControl& control_;
  const Access& access_;
  Metrics& metrics_;
};

} // namespace foxtail

#endif // CONTROL_ADMINAPI_H
