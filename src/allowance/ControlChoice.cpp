#include "allowance/ControlChoice.h"

namespace foxtail {

const AllowanceControl* ControlChoice::Choose(
  const std::vector<AllowanceControl>& aControls,
  TimePoint aNow) const
{
  const AllowanceControl* nearest = nullptr;
  for (const AllowanceControl& control : aControls) {
    if (!IsSkipped(control.endpoint_, aNow) &&
        (nearest == nullptr || control.distance_ < nearest->distance_)) {
      nearest = &control;
    }
  }
  return nearest;
}

bool ControlChoice::IsSkipped(const std::string& aEndpoint,
                              TimePoint aNow) const
{
  const auto found = rows_.find(aEndpoint);
  return found != rows_.end() && aNow < found->second.skippedUntil_;
}

bool ControlChoice::MaySend(const std::string& aEndpoint) const
{
  const auto found = rows_.find(aEndpoint);
  return found == rows_.end() || found->second.outstanding_ < kMaxOutstanding;
}

void ControlChoice::OnSent(const std::string& aEndpoint)
{
  ++rows_[aEndpoint].outstanding_;
}

void ControlChoice::OnReply(const std::string& aEndpoint, Duration aRoundTrip)
{
  // Weight of one sample; a single late reply does not change the order.
  constexpr int kSamples = 8;
  Row& row = rows_[aEndpoint];
  --row.outstanding_;
  row.roundTrip_ =
    row.roundTrip_ == Duration{}
      ? aRoundTrip
      : row.roundTrip_ + (aRoundTrip - row.roundTrip_) / kSamples;
}

void ControlChoice::OnFailure(const std::string& aEndpoint, TimePoint aNow)
{
  Row& row = rows_[aEndpoint];
  --row.outstanding_;
  row.skippedUntil_ = aNow + settings_.skipTime_;
}

Duration ControlChoice::RoundTrip(const std::string& aEndpoint) const
{
  const auto found = rows_.find(aEndpoint);
  return found == rows_.end() ? Duration{} : found->second.roundTrip_;
}

} // namespace foxtail
