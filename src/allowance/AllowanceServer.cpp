#include "allowance/AllowanceServer.h"

#include "core/Log.h"
#include "core/Metrics.h"
#include "instance/Endpoint.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace foxtail {

namespace asio = boost::asio;

namespace {

/// Asks to peers for one request: the first may find balances that are lower
/// than expected.
constexpr int kMaxRounds = 3;
/// Requests that may wait for peers at a time, which bounds their memory.
constexpr size_t kMaxWaits = 1024;
/// Assumed until a peer has replied: a round trip within a region.
constexpr milliseconds kAssumedRoundTrip{ 1 };

} // namespace

AllowanceServer::AllowanceServer(AllowanceSettings aSettings,
                                 FrameTransport& aFrames,
                                 asio::io_context& aContext,
                                 Metrics& aMetrics)
  : settings_(aSettings)
  , frames_(aFrames)
  , context_(aContext)
  , ledger_(aSettings)
  , peerCalls_(aSettings)
  , granted_(aMetrics.Counter("foxtail_allowance_granted_total",
                              "Permits granted to entry instances"))
  , refused_(aMetrics.Counter("foxtail_allowance_refused_total",
                              "Asks that were refused for lack of permits"))
  , lent_(aMetrics.Counter("foxtail_allowance_lent_total",
                           "Permits moved to other control instances"))
  , borrowed_(aMetrics.Counter("foxtail_allowance_borrowed_total",
                               "Permits moved here by control instances"))
  , expired_(aMetrics.Counter("foxtail_allowance_expired_total",
                              "Moved permits that expired unused here"))
{
  aFrames.OnCall(FrameKind::Allowance,
                 [this](const InstanceId& aFrom, Frame aFrame) {
                   return Handle(aFrom, std::move(aFrame));
                 });
}

AllowanceServer::~AllowanceServer() = default;

void AllowanceServer::SetPeers(const std::vector<std::string>& aEndpoints)
{
  peers_ = aEndpoints;
}

asio::awaitable<Frame> AllowanceServer::Handle(InstanceId aFrom, Frame aFrame)
{
  Frame result{ FrameKind::AllowanceReply, 0, {} };
  auto request = DecodeAllowanceRequest(aFrame.payload_);
  if (!request.ok()) {
    LogLine(LogLevel::Warning, "allowance_request_malformed")
      .Add("from", aFrom)
      .Add("error", request.status());
    result.payload_ = EncodeAllowanceReply({});
    co_return result;
  }
  if (request->asks_.size() > kMaxAllowanceAsks) {
    request->asks_.resize(kMaxAllowanceAsks);
  }
  if (request->isControl_) {
    result.payload_ = EncodeAllowanceReply(LendAll(*request, Now()));
    co_return result;
  }
  // g++ 12 destroys temporaries within an awaited expression twice.
  auto granting = GrantAll(*std::move(request));
  const AllowanceReply reply = co_await std::move(granting);
  result.payload_ = EncodeAllowanceReply(reply);
  co_return result;
}

AllowanceReply AllowanceServer::LendAll(const AllowanceRequest& aRequest,
                                        TimePoint aNow)
{
  AllowanceReply reply;
  reply.gives_ = ledger_.Gives(aNow);
  for (const AllowanceAsk& ask : aRequest.asks_) {
    reply.grants_.push_back(ledger_.Lend(ask, aNow));
    lent_.Increment(reply.grants_.back().amount_);
  }
  return reply;
}

asio::awaitable<AllowanceReply> AllowanceServer::GrantAll(
  AllowanceRequest aRequest)
{
  const TimePoint until =
    Now() + std::min<Duration>(aRequest.wait_, settings_.callTimeout_);
  AllowanceReply reply;
  reply.gives_ = ledger_.Gives(Now());
  reply.grants_.resize(aRequest.asks_.size());
  std::vector<size_t> open(aRequest.asks_.size());
  for (size_t i = 0; i < open.size(); ++i) {
    open[i] = i;
    ledger_.OnDemand(aRequest.asks_[i], Now());
  }
  std::vector<int> rounds(open.size());
  Timer timer(context_);
  while (!open.empty()) {
    const TimePoint now = Now();
    const auto peers = Peers(now);
    // Without a wait the entry instance repeats the request for short accounts,
    // so that these do not delay the others.
    const bool mayWait =
      reply.gives_ && now < until && waits_.size() < kMaxWaits;
    std::erase_if(open, [&](size_t aIndex) {
      const AllowanceAsk& ask = aRequest.asks_[aIndex];
      const bool isAsked = asked_.contains(ask.name_);
      const auto asks =
        isAsked ? std::vector<PeerAsk>() : ledger_.PlanAsks(ask, peers, now);
      const bool isFinal = asks.empty() && !isAsked;
      AllowanceGrant& grant = reply.grants_[aIndex];
      grant = ledger_.Grant(ask, aRequest.version_, isFinal, now);
      if (grant.outcome_ != AllowanceOutcome::Short || !mayWait ||
          rounds[aIndex] >= kMaxRounds) {
        return true;
      }
      rounds[aIndex] += asks.empty() ? 0 : 1;
      Queue(asks);
      return false;
    });
    if (open.empty()) {
      break;
    }
    timer.expires_at(until);
    waits_.insert(&timer);
    boost::system::error_code ignored;
    co_await timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
    waits_.erase(&timer);
  }
  const TimePoint now = Now();
  const auto peers = Peers(now);
  for (const AllowanceGrant& grant : reply.grants_) {
    granted_.Increment(grant.amount_);
    refused_.Increment(grant.outcome_ == AllowanceOutcome::Refused ? 1 : 0);
    if (!asked_.contains(grant.name_)) {
      Queue(ledger_.PlanAhead(grant.name_, peers, now));
    }
  }
  expired_.Increment(ledger_.TakeExpired());
  co_return reply;
}

std::vector<AllowancePeer> AllowanceServer::Peers(TimePoint aNow) const
{
  std::vector<AllowancePeer> peers;
  for (const std::string& endpoint : peers_) {
    if (!peerCalls_.IsSkipped(endpoint, aNow)) {
      const Duration roundTrip = peerCalls_.RoundTrip(endpoint);
      peers.push_back(
        { endpoint, roundTrip == Duration{} ? kAssumedRoundTrip : roundTrip });
    }
  }
  return peers;
}

void AllowanceServer::Queue(const std::vector<PeerAsk>& aAsks)
{
  for (const PeerAsk& ask : aAsks) {
    const auto [row, isNew] =
      queued_[ask.endpoint_].try_emplace(ask.ask_.name_, ask.ask_);
    if (isNew) {
      ++asked_[ask.ask_.name_];
    }
  }
  if (!aAsks.empty() && !std::exchange(isFlushScheduled_, true)) {
    // All asks of one moment share a message.
    asio::post(context_, [this] {
      isFlushScheduled_ = false;
      Flush();
    });
  }
}

void AllowanceServer::Flush()
{
  for (auto row = queued_.begin(); row != queued_.end();) {
    auto& [endpoint, asks] = *row;
    if (!peerCalls_.MaySend(endpoint)) {
      ++row;
      continue;
    }
    std::vector<AllowanceAsk> batch;
    while (!asks.empty() && batch.size() < kMaxAllowanceAsks) {
      batch.push_back(std::move(asks.extract(asks.begin()).mapped()));
    }
    peerCalls_.OnSent(endpoint);
    asio::co_spawn(
      context_, AskPeer(endpoint, std::move(batch)), asio::detached);
    row = asks.empty() ? queued_.erase(row) : std::next(row);
  }
}

asio::awaitable<void> AllowanceServer::AskPeer(std::string aEndpoint,
                                               std::vector<AllowanceAsk> aAsks)
{
  AllowanceRequest request;
  request.asks_ = std::move(aAsks);
  request.isControl_ = true;
  absl::Status status = MakeError(ErrorKind::InvalidSettings,
                                  "the endpoint of a control instance is no "
                                  "address and port");
  const TimePoint askedAt = Now();
  if (const auto endpoint = ToEndpoint(aEndpoint)) {
    Frame frame{ FrameKind::Allowance, 0, EncodeAllowanceRequest(request) };
    // g++ 12 destroys temporaries within an awaited expression twice.
    auto call =
      frames_.Call(*endpoint, std::move(frame), settings_.callTimeout_);
    const auto reply = co_await std::move(call);
    status = reply.status();
    if (reply.ok()) {
      const auto lent = DecodeAllowanceReply(reply->payload_);
      status = lent.status();
      if (lent.ok()) {
        for (const AllowanceGrant& grant : lent->grants_) {
          ledger_.OnBorrowed(aEndpoint, grant, askedAt, Now());
          borrowed_.Increment(grant.amount_);
        }
      }
    }
  }
  if (status.ok()) {
    peerCalls_.OnReply(aEndpoint, Now() - askedAt);
  } else {
    peerCalls_.OnFailure(aEndpoint, Now());
  }
  for (const AllowanceAsk& ask : request.asks_) {
    const auto found = asked_.find(ask.name_);
    if (found != asked_.end() && --found->second == 0) {
      asked_.erase(found);
    }
  }
  WakeWaits();
  Flush();
}

void AllowanceServer::WakeWaits()
{
  for (Timer* timer : waits_) {
    timer->cancel();
  }
}

} // namespace foxtail
