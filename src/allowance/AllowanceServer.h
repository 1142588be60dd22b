#ifndef ALLOWANCE_ALLOWANCESERVER_H
#define ALLOWANCE_ALLOWANCESERVER_H

#include "allowance/AllowanceLedger.h"
#include "allowance/ControlChoice.h"
#include "instance/FrameTransport.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <prometheus/counter.h>
#include <set>

namespace foxtail {

class Metrics;

/// Handles the requests for permits at a control instance: from entry instances
/// and from other control instances, which it also asks itself. Except for the
/// constructor and the destructor, used on worker 0 of a pool with one worker.
class AllowanceServer
{
public:
  /// @param aFrames must not have been started.
  AllowanceServer(AllowanceSettings aSettings,
                  FrameTransport& aFrames,
                  boost::asio::io_context& aContext,
                  Metrics& aMetrics);
  ~AllowanceServer();
  AllowanceServer(const AllowanceServer&) = delete;
  AllowanceServer& operator=(const AllowanceServer&) = delete;

  AllowanceLedger& Ledger() { return ledger_; }
  /// Sets the frame endpoints of the other control instances.
  void SetPeers(const std::vector<std::string>& aEndpoints);

private:
  using Timer = boost::asio::steady_timer;

  boost::asio::awaitable<Frame> Handle(InstanceId aFrom, Frame aFrame);
  AllowanceReply LendAll(const AllowanceRequest& aRequest, TimePoint aNow);
  boost::asio::awaitable<AllowanceReply> GrantAll(AllowanceRequest aRequest);
  /// @return the peers that are not skipped.
  std::vector<AllowancePeer> Peers(TimePoint aNow) const;
  /// Adds asks to the next message for each peer.
  void Queue(const std::vector<PeerAsk>& aAsks);
  /// Sends queued asks, at most two messages at a time to a peer.
  void Flush();
  boost::asio::awaitable<void> AskPeer(std::string aEndpoint,
                                       std::vector<AllowanceAsk> aAsks);
  /// Lets the requests that wait for peers decide again.
  void WakeWaits();

  const AllowanceSettings settings_;
  FrameTransport& frames_;
  boost::asio::io_context& context_;
  AllowanceLedger ledger_;
  ControlChoice peerCalls_;
  std::vector<std::string> peers_;
  /// Asks that have not been sent, by endpoint and name.
  std::map<std::string, std::map<std::string, AllowanceAsk>> queued_;
  bool isFlushScheduled_ = false;
  /// Names with asks that are queued or outstanding, and their number.
  std::map<std::string, size_t> asked_;
  std::set<Timer*> waits_;
  prometheus::Counter& granted_;
  prometheus::Counter& refused_;
  prometheus::Counter& lent_;
  prometheus::Counter& borrowed_;
  prometheus::Counter& expired_;
};

} // namespace foxtail

#endif // ALLOWANCE_ALLOWANCESERVER_H
