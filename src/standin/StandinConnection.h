#ifndef STANDIN_STANDINCONNECTION_H
#define STANDIN_STANDINCONNECTION_H

#include "core/Time.h"
#include "http/HttpTypes.h"
#include "standin/ShardRequest.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>
#include <string>

namespace foxtail {

class StandinServer;

/// Where a connection's present request stands.
enum class JobState
{
  None,
  Queued,
  Running,
  /// Taken and never answered.
  Hung,
};

/// One connection of a stand-in server. It reads all the time, so that a peer
/// that closes cancels its request at once. Called from the server's worker.
class StandinConnection : public std::enable_shared_from_this<StandinConnection>
{
public:
  StandinConnection(StandinServer& aServer,
                    boost::asio::ip::tcp::socket aSocket);

  /// Begins to read once the connect cost is over.
  void Start(milliseconds aConnectCost);

  /// Writes a whole response; the next request may follow.
  ///
  /// @param aCutBytes are left out at the end, and the connection is closed.
  void Respond(std::string aBytes, size_t aCutBytes = 0);

  void Close();
  bool IsClosed() const { return isClosed_; }

  /// The present request and its state, kept by the server.
  ShardRequest request_;
  JobState state_ = JobState::None;
  TimePoint startedAt_;
  /// Whether the deadline stops the request before it is done.
  bool isStopped_ = false;
  /// Ends the present request's time in a slot.
  boost::asio::steady_timer timer_;

private:
  using Parser =
    boost::beast::http::request_parser<boost::beast::http::string_body>;

  void Read();
  void OnRead(size_t aCount);
  bool Parse();
  void OnRequest(HttpRequest aRequest);

  StandinServer& server_;
  boost::asio::ip::tcp::socket socket_;
  std::array<char, 8192> chunk_{};
  std::string pending_;
  std::optional<Parser> parser_;
  std::string output_;
  TimePoint openedAt_;
  milliseconds connectCost_{ 0 };
  bool isFirst_ = true;
  bool isBusy_ = false;
  bool isClosed_ = false;
};

} // namespace foxtail

#endif // STANDIN_STANDINCONNECTION_H
