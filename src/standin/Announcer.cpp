#include "standin/Announcer.h"

#include "core/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace foxtail {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr milliseconds kDefaultRenewal{ 1000 };
constexpr milliseconds kTimeout{ 500 };
constexpr milliseconds kPauseAfterFailure{ 100 };
constexpr size_t kBatch = 200;

milliseconds RenewalOf(const HttpResponse& aResponse)
{
  boost::system::error_code error;
  const auto value = boost::json::parse(aResponse.body(), error);
  if (error || !value.is_object()) {
    return kDefaultRenewal;
  }
  const auto* renewal = value.get_object().if_contains("renew_ms");
  if (renewal == nullptr || !renewal->is_number()) {
    return kDefaultRenewal;
  }
  constexpr int64_t kShortestMs = 50;
  return milliseconds(std::max(kShortestMs, renewal->to_number<int64_t>()));
}

} // namespace

// The servers that share a first choice of entry instance.
struct Announcer::Lane
{
  Lane(asio::io_context& aContext, size_t aTarget)
    : timer_(aContext)
    , target_(aTarget)
  {
  }

  asio::steady_timer timer_;
  size_t target_;
  std::unique_ptr<HttpClient> client_;
  std::vector<std::shared_ptr<StandinServer>> servers_;
  milliseconds renewal_ = kDefaultRenewal;
  bool isKicked_ = false;
};

Announcer::Announcer(std::string aZone,
                     std::vector<TcpEndpoint> aTargets,
                     bool aIsToAll,
                     asio::io_context& aContext)
  : zone_(std::move(aZone))
  , targets_(std::move(aTargets))
  , isToAll_(aIsToAll)
  , context_(aContext)
{
  for (size_t i = 0; i < targets_.size(); ++i) {
    lanes_.push_back(std::make_unique<Lane>(aContext, i));
  }
}

Announcer::~Announcer() = default;

void Announcer::AddServer(std::shared_ptr<StandinServer> aServer)
{
  if (isToAll_) {
    for (auto& lane : lanes_) {
      lane->servers_.push_back(aServer);
    }
  } else if (!lanes_.empty()) {
    lanes_[nextLane_++ % lanes_.size()]->servers_.push_back(std::move(aServer));
  }
}

void Announcer::Start()
{
  for (auto& lane : lanes_) {
    asio::co_spawn(context_, Run(*lane), asio::detached);
  }
}

void Announcer::Kick()
{
  asio::post(context_, [this] {
    for (auto& lane : lanes_) {
      lane->isKicked_ = true;
      lane->timer_.cancel();
    }
  });
}

asio::awaitable<void> Announcer::Run(Lane& aLane)
{
  while (true) {
    aLane.isKicked_ = false;
    const bool isSent = co_await SendAll(aLane);
    if (!isSent) {
      aLane.client_.reset();
      if (!isToAll_) {
        aLane.target_ = (aLane.target_ + 1) % targets_.size();
      }
    }
    if (aLane.isKicked_ && isSent) {
      continue;
    }
    aLane.timer_.expires_after(isSent ? aLane.renewal_ : kPauseAfterFailure);
    error_code ignored;
    co_await aLane.timer_.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
}

asio::awaitable<bool> Announcer::SendAll(Lane& aLane)
{
  std::string body;
  size_t count = 0;
  for (size_t i = 0; i < aLane.servers_.size(); ++i) {
    const auto announcement = aLane.servers_[i]->Announcement();
    if (announcement) {
      body += body.empty() ? R"({"announcements":[)" : ",";
      body += *announcement;
      ++count;
    }
    const bool isLast = i + 1 == aLane.servers_.size();
    if (count == kBatch || (isLast && count > 0)) {
      if (!co_await Send(aLane, body + "]}")) {
        co_return false;
      }
      body.clear();
      count = 0;
    }
  }
  co_return true;
}

asio::awaitable<bool> Announcer::Send(Lane& aLane, std::string aBody)
{
  const TcpEndpoint& target = targets_[aLane.target_];
  if (aLane.client_ == nullptr) {
    aLane.client_ =
      std::make_unique<HttpClient>(context_.get_executor(), target);
  }
  auto request = MakeRequest(
    boost::beast::http::verb::post, "/v1/announce", std::move(aBody));
  const auto response =
    co_await aLane.client_->Exchange(std::move(request), kTimeout);
  if (response.ok() && response->result() == HttpStatus::ok) {
    aLane.renewal_ = RenewalOf(*response);
    co_return true;
  }
  const std::string reason =
    response.ok() ? response->body() : std::string(response.status().message());
  LogLine(LogLevel::Warning, "announce_failed")
    .Add("zone", zone_)
    .Add("target",
         target.address().to_string() + ":" + std::to_string(target.port()))
    .Add("reason", reason);
  co_return false;
}

} // namespace foxtail
