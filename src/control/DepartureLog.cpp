#include "control/DepartureLog.h"

#include "control/CommandMessages.h"
#include "control/LeaderEndpoints.h"
#include "http/HttpClient.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

namespace foxtail {
namespace {

/// Timeout of one attempt: a lost leader is replaced within this time, and the
/// next attempt reaches the new one.
constexpr milliseconds kAttemptTimeout{ 400 };
constexpr milliseconds kRetryPause{ 40 };

} // namespace

DepartureLog::DepartureLog(ReplicatedControl& aControl,
                           FrameTransport& aFrames,
                           Metrics& aMetrics)
  : control_(aControl)
  , frames_(aFrames)
  , committed_(aMetrics.Counter("foxtail_control_departures_total",
                                "Departures of backend servers received",
                                { { "result", "committed" } }))
  , notCommitted_(aMetrics.Counter("foxtail_control_departures_total",
                                   "Departures of backend servers received",
                                   { { "result", "not_committed" } }))
{
}

boost::asio::awaitable<absl::Status> DepartureLog::Commit(
  ServerAnnouncement aDeparture,
  TimePoint aDeadline)
{
  boost::asio::steady_timer pause(co_await boost::asio::this_coro::executor);
  absl::Status status;
  while (true) {
    const auto left = std::chrono::ceil<milliseconds>(aDeadline - Now());
    // g++ 12 destroys temporaries within an awaited expression twice.
    auto attempt = CommitOnce(
      aDeparture, std::clamp(left, milliseconds(1), kAttemptTimeout));
    status = co_await std::move(attempt);
    if (status.ok() || Now() + kRetryPause >= aDeadline) {
      break;
    }
    pause.expires_after(kRetryPause);
    co_await pause.async_wait(boost::asio::use_awaitable);
  }
  (status.ok() ? committed_ : notCommitted_).Increment();
  co_return status;
}

boost::asio::awaitable<absl::Status> DepartureLog::CommitOnce(
  ServerAnnouncement aDeparture,
  milliseconds aTimeout)
{
  auto inspection = control_.Inspect(LeaderFrameEndpoint);
  const std::string leader = co_await std::move(inspection);
  if (!leader.empty()) {
    auto sending = SendToLeader(leader, std::move(aDeparture), aTimeout);
    co_return co_await std::move(sending);
  }
  auto submission =
    control_.Submit(RecordDeparture{ std::move(aDeparture) }, aTimeout);
  const auto result = co_await std::move(submission);
  co_return result.status();
}

boost::asio::awaitable<absl::Status> DepartureLog::SendToLeader(
  std::string aLeader,
  ServerAnnouncement aDeparture,
  milliseconds aTimeout)
{
  const auto endpoint = ParseEndpoint(aLeader);
  if (!endpoint.ok()) {
    co_return endpoint.status();
  }
  Frame frame;
  frame.kind_ = FrameKind::Command;
  frame.payload_ =
    EncodeCommand({ {}, RecordDeparture{ std::move(aDeparture) } });
  auto call = frames_.Call(*endpoint, std::move(frame), aTimeout);
  const auto answer = co_await std::move(call);
  if (!answer.ok()) {
    co_return answer.status();
  }
  const auto reply = DecodeCommandReply(answer->payload_);
  if (!reply.ok()) {
    co_return reply.status();
  }
  if (reply->status_ != CommandReplyStatus::Done) {
    co_return MakeError(ErrorKind::NoQuorum,
                        "the leader did not confirm the departure: " +
                          std::string(NameOf(reply->status_)) +
                          "; send it again, or to another control instance");
  }
  co_return absl::OkStatus();
}

} // namespace foxtail
