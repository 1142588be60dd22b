#ifndef STANDIN_STANDIN_H
#define STANDIN_STANDIN_H

#include "core/WorkerPool.h"
#include "http/HttpServer.h"
#include "standin/Announcer.h"
#include "standin/StandinServer.h"
#include "standin/StandinSettings.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace foxtail {

/// A process that holds many stand-in backend servers and the interface that
/// controls them. Construct, start and stop from one thread.
class Standin
{
public:
  explicit Standin(StandinSettings aSettings);
  ~Standin();
  Standin(const Standin&) = delete;
  Standin& operator=(const Standin&) = delete;

  /// Binds every port and begins to announce.
  ///
  /// @return InvalidSettings when a port or a file is not to be had.
  absl::Status Start();
  void Stop();

  uint16_t ControlPort() const { return control_.Port(); }
  size_t ServerCount() const { return servers_.size(); }

private:
  using ServerPtr = std::shared_ptr<StandinServer>;

  absl::Status AddGroup(const GroupSettings& aGroup);
  ServerPtr MakeServer(const std::shared_ptr<const GroupSettings>& aGroup,
                       uint32_t aReplica,
                       ShardPlace aPlace);
  void AddServer(const ServerPtr& aServer);
  absl::Status MakeAnnouncers();

  // The control interface, on the first worker.
  boost::asio::awaitable<HttpResponse> Control(HttpRequest aRequest);
  HttpResponse HandleFault(const std::string& aBody);
  HttpResponse HandleStats();
  HttpResponse HandleReset();
  void AddShards(const ServerPtr& aFirst, const Fault& aFault);

  const StandinSettings settings_;
  WorkerPool workers_;
  // The announcers and the control interface: nothing here needs a lock.
  WorkerPool controlWorker_;
  HttpServer control_;
  std::map<std::string, std::unique_ptr<Announcer>> announcers_;
  std::map<std::string, std::shared_ptr<const Catalogue>> catalogues_;
  std::vector<ServerPtr> servers_;
};

} // namespace foxtail

#endif // STANDIN_STANDIN_H
