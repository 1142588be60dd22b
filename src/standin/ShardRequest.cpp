#include "standin/ShardRequest.h"

#include <charconv>

namespace foxtail {
namespace {

template<typename T>
bool ParseNumber(std::string_view aText, T& aNumber)
{
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, aNumber);
  return result.ec == std::errc() && result.ptr == end;
}

bool ParseShard(std::string_view aText, ShardPlace& aPlace)
{
  const size_t slash = aText.find('/');
  return slash != std::string_view::npos &&
         ParseNumber(aText.substr(0, slash), aPlace.shard_) &&
         ParseNumber(aText.substr(slash + 1), aPlace.shards_);
}

} // namespace

std::optional<ShardRequest> ShardRequest::Parse(HttpRequest aRequest,
                                                TimePoint aNow)
{
  ShardRequest request;
  request.attempt_ = HeaderOf(aRequest, "Foxtail-Attempt");
  if (request.attempt_.empty() ||
      !ParseNumber(HeaderOf(aRequest, "Foxtail-Version"),
                   request.place_.version_) ||
      !ParseShard(HeaderOf(aRequest, "Foxtail-Shard"), request.place_)) {
    return std::nullopt;
  }
  int64_t deadlineMs = 0;
  const auto deadline = HeaderOf(aRequest, "Foxtail-Deadline-Ms");
  if (!deadline.empty()) {
    if (!ParseNumber(deadline, deadlineMs)) {
      return std::nullopt;
    }
    request.deadline_ = aNow + milliseconds(deadlineMs);
  }
  request.idempotencyKey_ = HeaderOf(aRequest, "Foxtail-Idempotency-Key");
  request.body_ = std::move(aRequest.body());
  return request;
}

} // namespace foxtail
