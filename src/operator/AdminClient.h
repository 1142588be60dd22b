#ifndef OPERATOR_ADMINCLIENT_H
#define OPERATOR_ADMINCLIENT_H

#include "core/EnumTable.h"
#include "core/Ids.h"
#include "core/JsonReader.h"
#include "core/Time.h"
#include "http/HttpTypes.h"

#include <absl/status/statusor.h>
#include <boost/beast/http/verb.hpp>
#include <boost/json.hpp>
#include <string>
#include <vector>

namespace foxtail {

struct AdminClientSettings
{
  /// Administration endpoints of the control instances.
  std::vector<TcpEndpoint> endpoints_;
  /// Time for one exchange with one control instance.
  milliseconds timeout_{ 5000 };

  /// Reads the members `admin` (addresses) and `admin_timeout_ms`.
  static AdminClientSettings Read(JsonReader& aReader);
};

struct AdminReply
{
  unsigned status_ = 0;
  boost::json::value body_;
};

enum class ApplyOutcome
{
  Accepted,
  /// The document has faults.
  Invalid,
  /// Another change was accepted first.
  Conflict,
  /// The operator is not known or may not make this change.
  Denied,
  /// Not accepted, and never will be: change and send again at will.
  NotRun,
  /// Perhaps accepted: send again with the same change id.
  Unknown,
};

template<>
struct EnumTable<ApplyOutcome>
{
  static constexpr std::array<EnumName<ApplyOutcome>, 6> kRows{ {
    { ApplyOutcome::Accepted, "accepted" },
    { ApplyOutcome::Invalid, "invalid" },
    { ApplyOutcome::Conflict, "conflict" },
    { ApplyOutcome::Denied, "denied" },
    { ApplyOutcome::NotRun, "not_run" },
    { ApplyOutcome::Unknown, "unknown" },
  } };
};

struct ApplyRequest
{
  std::string changeId_;
  DocumentVersion baseVersion_;
  boost::json::value document_;
};

struct ApplyResult
{
  ApplyOutcome outcome_ = ApplyOutcome::Unknown;
  /// The accepted version, or with Conflict the current one.
  DocumentVersion version_;
  /// With Invalid.
  std::vector<JsonFault> faults_;
  /// What happened and what to do.
  std::string message_;
};

/// @return a random change id.
std::string MakeChangeId();

/// @return the faults that the API listed in @p aBody.
std::vector<JsonFault> ReadFaults(const boost::json::value& aBody);

/// @param aEvacuations body of the API's evacuations.
/// @return the number of evacuation orders; 0 if the body has none.
uint64_t OrdersOf(const boost::json::value& aEvacuations);

/// Talks to the administration API of whichever control instance answers, and
/// follows it to the leader. Thread safe: each call has a connection of its
/// own.
class AdminClient
{
public:
  explicit AdminClient(AdminClientSettings aSettings);

  /// @param aToken the operator's; empty for none.
  /// @return any answer of a control instance, errors included; Unavailable
  /// when none could be reached.
  boost::asio::awaitable<absl::StatusOr<AdminReply>> Get(std::string aTarget,
                                                         std::string aToken);

  /// Asks for a document's faults without changing anything.
  boost::asio::awaitable<absl::StatusOr<AdminReply>> Check(
    boost::json::value aDocument,
    std::string aToken);

  /// Sends a change, and sends it again under the same change id to another
  /// control instance when an answer is lost.
  boost::asio::awaitable<ApplyResult> Apply(ApplyRequest aRequest,
                                            std::string aToken);

  /// Orders the begin or the end of the evacuation of a zone, which may be
  /// repeated without a further effect.
  ///
  /// @param aKnownOrders number of orders when the operator decided, from
  /// OrdersOf(). The order is refused if there was another one since.
  /// @return like Get().
  boost::asio::awaitable<absl::StatusOr<AdminReply>> Evacuate(
    std::string aZone,
    bool aIsEvacuated,
    uint64_t aKnownOrders,
    std::string aToken);

private:
  /// What became of a request to all control instances.
  struct Sent
  {
    absl::StatusOr<AdminReply> reply_;
    /// Whether a try was sent whose outcome is not known.
    bool isAnswerLost_ = false;
  };

  boost::asio::awaitable<Sent> Send(boost::beast::http::verb aVerb,
                                    std::string aTarget,
                                    std::string aToken,
                                    std::string aBody);

  AdminClientSettings settings_;
};

} // namespace foxtail

#endif // OPERATOR_ADMINCLIENT_H
