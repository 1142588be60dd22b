#include "policy/TimerLateness.h"

#include <algorithm>

namespace foxtail {

void TimerLateness::OnTimer(Duration aLateness)
{
  constexpr double kUsualQuantile = 0.95;
  recent_.Add(std::max(aLateness, Duration::zero()));
  usual_ = recent_.Quantile(kUsualQuantile);
}

} // namespace foxtail
