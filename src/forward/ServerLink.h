#ifndef FORWARD_SERVERLINK_H
#define FORWARD_SERVERLINK_H

#include "forward/Exchange.h"
#include "forward/ForwardSettings.h"
#include "forward/Vocabulary.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>

namespace foxtail {

class ServerLink;

enum class LinkState
{
  Connecting,
  Idle,
  /// Has an exchange whose reply is awaited.
  Busy,
  Closed,
};

/// Hears of one connection's events; never from within a call to it.
class ServerLinkListener
{
public:
  virtual ~ServerLinkListener() = default;
  virtual void OnLinkOpen(ServerLink& aLink, TimePoint aNow) = 0;
  /// The exchange has its result. The link is idle, or closed.
  virtual void OnLinkDone(ServerLink& aLink,
                          std::shared_ptr<Exchange> aExchange,
                          TimePoint aNow) = 0;
  /// The link closed while it had no exchange.
  virtual void OnLinkClosed(ServerLink& aLink,
                            ExchangeFault aFault,
                            TimePoint aNow) = 0;
};

/// What a backend server says of its load in a reply.
struct ReportedServerLoad
{
  uint32_t running_ = 0;
  uint32_t waiting_ = 0;
  uint32_t slots_ = 0;
  /// How long work takes there at this moment; 1 is usual.
  double pace_ = 1;
};

/// @return the load in @p aText, or nothing when it is malformed.
std::optional<ReportedServerLoad> ParseServerLoad(std::string_view aText);

/// One HTTP/1.1 connection to one backend server, with one exchange at a time.
/// Bytes beyond a reply, a reply that belongs to another request, and anything
/// else that does not fit close it, so that no reply reaches another request.
/// One thread's.
class ServerLink : public std::enable_shared_from_this<ServerLink>
{
public:
  ServerLink(boost::asio::io_context& aContext,
             boost::asio::ip::tcp::endpoint aEndpoint,
             std::string aServer,
             const LinkSettings& aSettings,
             const Vocabulary& aVocabulary,
             ServerLinkListener& aListener);

  void Connect(TimePoint aNow);
  /// The link must be idle.
  void Send(std::shared_ptr<Exchange> aExchange, TimePoint aNow);
  /// Closes without telling the listener; the exchange is lost with it.
  void Drop();
  /// Ends a connect or an exchange that lasted too long.
  void Expire(ExchangeFault aFault, TimePoint aNow);

  LinkState State() const { return state_; }
  TimePoint Since() const { return since_; }
  const std::shared_ptr<Exchange>& Current() const { return exchange_; }
  /// @return how long it may be idle.
  milliseconds IdleLimit() const { return idleLimit_; }
  const std::optional<ReportedServerLoad>& Load() const { return load_; }
  /// @return how long the connect took.
  Duration ConnectTime() const { return connectTime_; }

private:
  using Socket =
    boost::asio::basic_stream_socket<boost::asio::ip::tcp,
                                     boost::asio::io_context::executor_type>;
  using Parser =
    boost::beast::http::response_parser<boost::beast::http::string_body>;
  using Error = boost::system::error_code;

  void OnConnected(const Error& aError);
  void SetOptions();
  void Read();
  void OnRead(const Error& aError, size_t aBytes);
  void Parse(TimePoint aNow);
  void OnEnd(const Error& aError, TimePoint aNow);
  /// @return whether the server reset the connection as soon as it took it.
  bool IsTurnedAway(const Error& aError, TimePoint aNow) const;
  void WriteRest();
  void OnReply(TimePoint aNow);
  void JudgeReply(Exchange& aExchange, Parser::value_type& aReply);
  void NoteKeepAlive(const Parser::value_type& aReply);
  void Close(ExchangeFault aFault, TimePoint aNow);
  void SetState(LinkState aState, TimePoint aNow);
  void StartParser();

  const boost::asio::ip::tcp::endpoint endpoint_;
  const std::string server_;
  const LinkSettings& settings_;
  const Vocabulary& vocabulary_;
  ServerLinkListener* listener_;
  Socket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  LinkState state_ = LinkState::Connecting;
  TimePoint since_{};
  Duration connectTime_{};
  TimePoint connectedAt_{};
  /// Whether anything was read from the connection.
  bool hasRead_ = false;
  milliseconds idleLimit_;
  std::optional<ReportedServerLoad> load_;
  std::shared_ptr<Exchange> exchange_;
  /// What the socket has not taken yet.
  std::string out_;
  size_t written_ = 0;
  bool isWriting_ = false;
};

} // namespace foxtail

#endif // FORWARD_SERVERLINK_H
