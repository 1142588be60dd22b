#include "forward/CallerPort.h"

#include "core/Listen.h"
#include "core/Log.h"
#include "core/Metrics.h"
#include "forward/CallerConnection.h"

namespace foxtail {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// Interval of the check for idle and slow connections, whose time limits are
/// several seconds.
constexpr milliseconds kSweepInterval{ 500 };
/// Interval of the check for unused connections of a stopping instance.
constexpr milliseconds kStopSweepInterval{ 50 };
/// Pause after a failed accept, for example when no file descriptor is left.
constexpr milliseconds kAcceptPause{ 20 };
/// Share of the budget that is freed at once when it is short, as choosing the
/// connections to close looks at all of them.
constexpr size_t kEvictionShare = 16;

} // namespace

CallerPort::CallerPort(CallerPortSettings aSettings,
                       Gateway& aGateway,
                       asio::io_context& aContext,
                       Metrics& aMetrics)
  : settings_(std::move(aSettings))
  , gateway_(aGateway)
  , context_(aContext)
  , acceptor_(aContext)
  , sweepTimer_(aContext)
  , requestsTotal_(aMetrics.Counter("foxtail_forward_requests_total",
                                    "Requests read from callers"))
  , callerDisconnects_(aMetrics.Counter("foxtail_forward_callers_left_total",
                                        "Callers that left before the answer"))
  , evictions_(aMetrics.Counter("foxtail_callers_evicted_total",
                                "Connections closed for the sake of others"))
  , budgetRefusals_(
      aMetrics.Counter("foxtail_callers_refused_memory_total",
                       "Requests refused as the byte budget was used up"))
  , connectionRefusals_(
      aMetrics.Counter("foxtail_callers_refused_connections_total",
                       "New connections closed as all others were served"))
  , slowRequests_(aMetrics.Counter("foxtail_callers_slow_requests_total",
                                   "Requests that took too long to arrive"))
  , slowReaders_(aMetrics.Counter("foxtail_callers_slow_readers_total",
                                  "Answers that were read too slowly"))
  , oversizedRequests_(aMetrics.Counter("foxtail_callers_oversized_total",
                                        "Requests with too large a header or "
                                        "body"))
  , discardedBodies_(aMetrics.Counter("foxtail_callers_bodies_discarded_total",
                                      "Bodies of requests without a route"))
  , bytesInUse_(aMetrics.Gauge("foxtail_peer_bytes",
                               "Bytes held for peers, within the budget"))
{
}

CallerPort::~CallerPort() = default;

absl::Status CallerPort::Start()
{
  auto status = Listen(acceptor_, settings_.address_, settings_.port_);
  if (status.ok()) {
    Accept();
    ScheduleSweep();
  }
  return status;
}

uint16_t CallerPort::Port() const
{
  error_code ignored;
  return acceptor_.local_endpoint(ignored).port();
}

void CallerPort::Accept()
{
  acceptor_.async_accept(
    context_.get_executor(),
    [this](const error_code& aError, CallerConnection::Socket aSocket) {
      if (aError && isStopped_) {
        return;
      }
      if (aError) {
        auto pause = std::make_shared<asio::steady_timer>(context_);
        pause->expires_after(kAcceptPause);
        pause->async_wait([this, pause](const error_code&) { Accept(); });
        return;
      }
      AddConnection(std::move(aSocket));
      if (!isStopped_) {
        Accept();
      }
    });
}

void CallerPort::AddConnection(Socket aSocket)
{
  const TimePoint now = Now();
  if (connections_.size() >= settings_.maxConnections_) {
    Evict(0, nullptr, now);
  }
  if (connections_.size() >= settings_.maxConnections_) {
    connectionRefusals_.Increment();
    return;
  }
  auto connection =
    std::make_shared<CallerConnection>(std::move(aSocket), *this);
  connections_.insert(connection);
  connection->Start(now);
}

bool CallerPort::Reserve(CallerConnection& aConnection,
                         size_t aBytes,
                         TimePoint aNow)
{
  ByteCharge& charge = aConnection.charge_;
  if (!charge.TryResize(aBytes)) {
    const size_t more = aBytes - charge.Bytes();
    Evict(std::max(settings_.peerBytes_->Excess(more),
                   settings_.peerBytes_->Limit() / kEvictionShare),
          &aConnection,
          aNow);
    return charge.TryResize(aBytes);
  }
  return true;
}

void CallerPort::Evict(size_t aBytes,
                       const CallerConnection* aFor,
                       TimePoint aNow)
{
  std::vector<std::shared_ptr<CallerConnection>> connections;
  std::vector<ConnectionProgress> progress;
  connections.reserve(connections_.size());
  progress.reserve(connections_.size());
  for (const auto& connection : connections_) {
    if (connection.get() != aFor) {
      progress.push_back(connection->Progress(connections.size(), aNow));
      connections.push_back(connection);
    }
  }
  const auto chosen =
    ConnectionEviction::Choose(std::move(progress), aBytes, aNow);
  for (const size_t index : chosen) {
    evictions_.Increment();
    if (aBytes == 0) {
      connections[index]->Close();
    } else {
      connections[index]->Evict();
    }
  }
  if (!chosen.empty()) {
    LogLine(LogLevel::Info, "callers_evicted")
      .Add("connections", chosen.size())
      .Add("reason", aBytes == 0 ? "descriptors" : "memory")
      .Add("bytes_in_use", settings_.peerBytes_->InUse())
      .Add("budget", settings_.peerBytes_->Limit());
  }
}

void CallerPort::ReturnMemory()
{
  bytesInUse_.Set(static_cast<double>(settings_.peerBytes_->InUse()));
  settings_.peerBytes_->ReturnUnusedMemory();
}

void CallerPort::AcceptQueued()
{
  error_code error;
  acceptor_.non_blocking(true, error);
  while (!error) {
    Socket socket(context_.get_executor());
    acceptor_.accept(socket, error);
    if (!error) {
      AddConnection(std::move(socket));
    }
  }
}

void CallerPort::ScheduleSweep()
{
  sweepTimer_.expires_after(kSweepInterval);
  sweepTimer_.async_wait([this](const error_code& aError) {
    if (aError || isStopped_) {
      return;
    }
    const CallerLimits limits = Limits();
    const auto connections = connections_;
    for (const auto& connection : connections) {
      connection->CloseIfTimedOut(limits, Now());
    }
    ReturnMemory();
    ScheduleSweep();
  });
}

void CallerPort::BeginDrain(TimePoint aAnswerBy, TimePoint aNow)
{
  isDraining_ = true;
  answerBy_ = aAnswerBy;
  gateway_.BeginStop(aAnswerBy);
  const auto connections = connections_;
  for (const auto& connection : connections) {
    connection->LimitAnswerTime(aAnswerBy, aNow);
  }
}

void CallerPort::StopAccepting()
{
  isStopped_ = true;
  AcceptQueued();
  error_code ignored;
  acceptor_.close(ignored);
  CloseUnused();
}

void CallerPort::CloseUnused()
{
  const TimePoint now = Now();
  const CallerLimits limits = Limits();
  const auto connections = connections_;
  for (const auto& connection : connections) {
    connection->CloseIfTimedOut(limits, now);
    connection->CloseIfUnused(now);
    if (now >= answerBy_) {
      connection->RefuseIfIncomplete();
    }
  }
  if (connections_.empty()) {
    return;
  }
  sweepTimer_.expires_after(kStopSweepInterval);
  sweepTimer_.async_wait([this](const error_code& aError) {
    if (!aError) {
      CloseUnused();
    }
  });
}

CallerLimits CallerPort::Limits() const
{
  return gateway_.ActiveRoutes() == nullptr
           ? CallerLimits{}
           : gateway_.ActiveRoutes()->Document().limits_;
}

} // namespace foxtail
