#ifndef ALLOWANCE_ALLOWANCECLIENT_H
#define ALLOWANCE_ALLOWANCECLIENT_H

#include "allowance/ControlChoice.h"
#include "allowance/PermitSource.h"
#include "instance/FrameTransport.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <prometheus/counter.h>
#include <set>

namespace foxtail {

class Metrics;

/// Gets permits for an entry instance from the nearest control instance that
/// answers. All asks of one moment share a message; at most two messages to one
/// control instance are outstanding. Used on worker 0, on which it also calls
/// back.
class AllowanceClient : public PermitSource
{
public:
  /// @return the control instances and their distances.
  using Controls = std::function<std::vector<AllowanceControl>(TimePoint)>;

  AllowanceClient(AllowanceSettings aSettings,
                  FrameTransport& aFrames,
                  boost::asio::io_context& aContext,
                  Metrics& aMetrics,
                  Controls aControls);
  ~AllowanceClient() override;
  AllowanceClient(const AllowanceClient&) = delete;
  AllowanceClient& operator=(const AllowanceClient&) = delete;

  PermitDecision Take(const std::string& aName, TimePoint aNow) override;
  std::shared_ptr<void> Wait(const std::string& aName,
                             DocumentVersion aVersion,
                             TimePoint aUntil,
                             Callback aCallback) override;
  void Return(const std::string& aName,
              Permit aPermit,
              TimePoint aNow) override;

private:
  struct Waiting
  {
    TimePoint until_{};
    Callback callback_;
  };
  struct Queue
  {
    std::deque<std::weak_ptr<Waiting>> waiting_;
    /// A message with an ask is outstanding.
    bool isAsked_ = false;
    /// The next ask waits for other control instances.
    bool isShort_ = false;
  };

  void ScheduleFlush();
  /// Sends the asks of all names with waiting requests.
  void Flush();
  void SendBatch(const AllowanceControl& aControl,
                 const std::vector<std::string>& aNames,
                 bool aMayWait,
                 TimePoint aNow);
  boost::asio::awaitable<void> Ask(std::string aEndpoint,
                                   AllowanceRequest aRequest);
  void ApplyReply(const AllowanceReply& aReply,
                  TimePoint aAskedAt,
                  TimePoint aNow);
  /// Ends the waits of a name that have a permit, are refused or are over.
  ///
  /// @param aRefusedUntil set when the control instance refused.
  void Complete(const std::string& aName,
                std::optional<TimePoint> aRefusedUntil,
                TimePoint aNow);
  void End(const std::shared_ptr<Waiting>& aWaiting, PermitOutcome aOutcome);
  void ScheduleTimer();

  const AllowanceSettings settings_;
  FrameTransport& frames_;
  boost::asio::io_context& context_;
  const Controls controls_;
  HeldPermits held_;
  ControlChoice choice_;
  std::map<std::string, Queue> queues_;
  /// Newest version by which permits were waited for, or none.
  std::optional<DocumentVersion> version_;
  bool isFlushScheduled_ = false;
  boost::asio::steady_timer timer_;
  TimePoint timerAt_ = TimePoint::max();
  prometheus::Counter& granted_;
  prometheus::Counter& refused_;
  prometheus::Counter& unavailable_;
  prometheus::Counter& returned_;
  prometheus::Counter& expired_;
};

} // namespace foxtail

#endif // ALLOWANCE_ALLOWANCECLIENT_H
