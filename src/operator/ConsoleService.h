#ifndef OPERATOR_CONSOLESERVICE_H
#define OPERATOR_CONSOLESERVICE_H

#include "http/HttpTypes.h"
#include "operator/AdminClient.h"
#include "operator/ConsolePages.h"
#include "operator/ConsoleSession.h"
#include "operator/FormData.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

namespace foxtail {

struct ConsoleSettings
{
  AdminClientSettings admin_;
  ConsoleSessionSettings sessions_;
  /// Whether browsers send the session's cookie by TLS only; for consoles
  /// behind a TLS proxy.
  bool isCookieSecure_ = false;
  /// Largest form, in bytes.
  size_t maxFormBytes_ = 64 * 1024;

  /// Reads `admin`, `admin_timeout_ms`, `session_idle_ms`, `max_sessions`,
  /// `secure_cookie` and `max_form_bytes`.
  static ConsoleSettings Read(JsonReader& aReader);
};

/// The operators' web console: keeps each operator's draft of the document,
/// checks it, shows its differences and sends it to the administration API.
/// Called from one thread.
class ConsoleService
{
public:
  explicit ConsoleService(ConsoleSettings aSettings);

  boost::asio::awaitable<HttpResponse> Handle(HttpRequest aRequest);

private:
  using Session = std::shared_ptr<ConsoleSession>;

  boost::asio::awaitable<HttpResponse> Route(const HttpRequest& aRequest);
  boost::asio::awaitable<HttpResponse> RouteGet(const HttpRequest& aRequest,
                                                Session aSession);
  boost::asio::awaitable<HttpResponse> RoutePost(std::string aPath,
                                                 const FormData& aForm,
                                                 Session aSession);
  boost::asio::awaitable<HttpResponse> Login(std::string aToken);
  /// Fetches the accepted document when the session has no draft yet.
  boost::asio::awaitable<absl::Status> Load(Session aSession);
  boost::asio::awaitable<HttpResponse> Apply(Session aSession);
  boost::asio::awaitable<HttpResponse> CarryOver(Session aSession);
  boost::asio::awaitable<HttpResponse> ShowFromApi(Session aSession,
                                                   std::string aTarget);
  boost::asio::awaitable<HttpResponse> ShowEvacuations(Session aSession,
                                                       std::string aMessage);
  boost::asio::awaitable<HttpResponse> OrderEvacuation(
    Session aSession,
    std::string aZone,
    bool aIsEvacuated,
    std::string aKnownOrders);
  HttpResponse ShowRow(const Session& aSession, const FormData& aQuery);
  HttpResponse SaveRow(const Session& aSession, const FormData& aForm);
  HttpResponse Review(const Session& aSession);

  ConsoleSettings settings_;
  AdminClient admin_;
  ConsoleSessions sessions_;
};

} // namespace foxtail

#endif // OPERATOR_CONSOLESERVICE_H
