#ifndef STANDIN_ANNOUNCER_H
#define STANDIN_ANNOUNCER_H

#include "core/Time.h"
#include "http/HttpClient.h"
#include "standin/StandinServer.h"

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace foxtail {

/// Announces the servers of one zone to that zone's entry instances: each
/// server has its own first choice, and takes the next one when that does not
/// answer. Called from the context it is made with; Kick() is thread safe.
class Announcer
{
public:
  /// @param aIsToAll tells every target of every server.
  Announcer(std::string aZone,
            std::vector<TcpEndpoint> aTargets,
            bool aIsToAll,
            boost::asio::io_context& aContext);
  ~Announcer();
  Announcer(const Announcer&) = delete;
  Announcer& operator=(const Announcer&) = delete;

  const std::string& Zone() const { return zone_; }
  void AddServer(std::shared_ptr<StandinServer> aServer);
  void Start();
  /// Announces at once.
  void Kick();

private:
  struct Lane;

  boost::asio::awaitable<void> Run(Lane& aLane);
  boost::asio::awaitable<bool> SendAll(Lane& aLane);
  boost::asio::awaitable<bool> Send(Lane& aLane, std::string aBody);

  std::string zone_;
  std::vector<TcpEndpoint> targets_;
  bool isToAll_;
  boost::asio::io_context& context_;
  std::vector<std::unique_ptr<Lane>> lanes_;
  size_t nextLane_ = 0;
};

} // namespace foxtail

#endif // STANDIN_ANNOUNCER_H
