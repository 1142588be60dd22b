#ifndef STANDIN_STANDINSERVER_H
#define STANDIN_STANDINSERVER_H

#include "core/RandomSource.h"
#include "core/Time.h"
#include "standin/Catalogue.h"
#include "standin/Fault.h"
#include "standin/ServerStats.h"
#include "standin/ShardRequest.h"
#include "standin/StandinSettings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_set>

namespace foxtail {

class StandinConnection;

enum class ServerState
{
  Starting,
  Ready,
  Draining,
  Gone,
};

template<>
struct EnumTable<ServerState>
{
  static constexpr std::array<EnumName<ServerState>, 4> kRows{ {
    { ServerState::Starting, "starting" },
    { ServerState::Ready, "ready" },
    { ServerState::Draining, "draining" },
    { ServerState::Gone, "gone" },
  } };
};

/// Where a stand-in server stands in its group.
struct ServerIdentity
{
  std::string name_;
  uint32_t replica_ = 0;
  std::string zone_;
  uint16_t port_ = 0;
  uint64_t seed_ = 0;

  char ReplicaLetter() const { return static_cast<char>('a' + replica_); }
};

/// One stand-in backend server on a port of its own. Lives on one worker:
/// every method but Announcement() is called there.
class StandinServer
{
public:
  /// @param aOnChange is called when the announcement has changed.
  StandinServer(std::shared_ptr<const GroupSettings> aGroup,
                std::shared_ptr<const Catalogue> aCatalogue,
                ServerIdentity aIdentity,
                ShardPlace aPlace,
                std::string aAddress,
                boost::asio::io_context& aContext,
                std::function<void()> aOnChange);
  ~StandinServer();
  StandinServer(const StandinServer&) = delete;
  StandinServer& operator=(const StandinServer&) = delete;

  const ServerIdentity& Identity() const { return identity_; }
  const GroupSettings& Group() const { return *group_; }
  boost::asio::io_context& Context() const { return context_; }

  /// Binds, for the first time, before the workers run.
  absl::Status Start();
  void Apply(const Fault& aFault);

  /// @return the announcement to send now; nothing when the server is silent.
  /// Thread safe.
  std::optional<std::string> Announcement();
  /// Thread safe.
  bool IsSelected(const ServerSelector& aSelector) const;

  ServerStats& Stats() { return stats_; }
  void ResetStats();
  boost::json::object StatsToJson() const;

  // For connections.
  void Receive(const std::shared_ptr<StandinConnection>& aConnection,
               TimePoint aNow);
  void CancelAttempt(std::string_view aAttempt);
  void OnClosed(const std::shared_ptr<StandinConnection>& aConnection);
  std::string HealthResponse() const;
  std::string LoadResponse() const;

private:
  using ConnectionPtr = std::shared_ptr<StandinConnection>;

  // What the announcer reads.
  struct Announced
  {
    ShardPlace place_;
    ServerState state_ = ServerState::Starting;
    uint64_t incarnation_ = 0;
    uint64_t sequence_ = 0;
    bool isSilent_ = true;
  };

  absl::Status Listen();
  void Accept();
  void OnAccepted(boost::asio::ip::tcp::socket aSocket);
  void Open();
  void Kill();
  void Restart();
  void BeginDrain(const Fault& aFault);
  void EndDrainWhenIdle();
  void ChangePlace(ShardPlace aPlace, milliseconds aKeepFormer);
  void SetState(ServerState aState);
  void PublishAnnounced(bool aIsSilent);

  const Fault* FaultOf(FaultKind aKind);
  bool IsServed(const ShardPlace& aPlace, TimePoint aNow) const;
  std::optional<RefusalReason> ReasonToRefuse(const ShardRequest& aRequest,
                                              TimePoint aNow) const;
  Duration ServiceTimeOf(TimePoint aNow);
  void NoteWorkAfterLeaving(TimePoint aNow);
  void Run(const ConnectionPtr& aConnection, TimePoint aNow);
  void Finish(const ConnectionPtr& aConnection, TimePoint aNow);
  void RunNext(TimePoint aNow);
  void RemoveQueued(const ConnectionPtr& aConnection);
  void Refuse(const ConnectionPtr& aConnection, RefusalReason aReason);
  void Answer(const ConnectionPtr& aConnection);
  std::string LoadHeader() const;
  uint32_t ToldInFlight() const;

  std::shared_ptr<const GroupSettings> group_;
  std::shared_ptr<const Catalogue> catalogue_;
  const ServerIdentity identity_;
  const std::string address_;
  boost::asio::io_context& context_;
  std::function<void()> onChange_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer stateTimer_;
  RandomSource random_;

  uint16_t port_ = 0;
  ShardPlace place_;
  ShardPlace formerPlace_;
  TimePoint formerUntil_;
  ServerState state_ = ServerState::Starting;
  uint64_t incarnation_ = 0;
  TimePoint coldUntil_;
  std::optional<TimePoint> leavingSince_;
  bool isRefusing_ = true;
  std::array<std::optional<Fault>, static_cast<size_t>(kFirstCommand)> faults_;

  std::unordered_set<ConnectionPtr> connections_;
  std::deque<ConnectionPtr> queue_;
  uint32_t running_ = 0;
  ServerStats stats_;

  mutable std::mutex mutex_;
  Announced announced_;
};

} // namespace foxtail

#endif // STANDIN_STANDINSERVER_H
