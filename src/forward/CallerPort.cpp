#include "forward/CallerPort.h"

#include "core/Listen.h"
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
  if (connections_.size() >= settings_.maxConnections_) {
    return;
  }
  auto connection =
    std::make_shared<CallerConnection>(std::move(aSocket), *this);
  connections_.insert(connection);
  connection->Start(Now());
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
