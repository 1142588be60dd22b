#include "policy/SlowServerBoard.h"

#include <algorithm>

namespace foxtail {

SlowServerBoard::SlowServerBoard(SlowServerBoardSettings aSettings)
  : settings_(aSettings)
{
}

bool SlowServerBoard::OnReport(const InstanceId& aReporter,
                               const SlowServerReport& aReport,
                               TimePoint aNow)
{
  RemoveExpired(aNow);
  const bool isUsable = !IsExpired(aReport.sentAt_, aNow) &&
                        aReport.sentAt_ <= aNow && aReport.ratio_ > 1;
  if (!isUsable || (rows_.size() >= settings_.maxServers_ &&
                    !rows_.contains(aReport.server_))) {
    return false;
  }
  Row& row = rows_[aReport.server_];
  std::erase_if(row.byReporter_, [&](const auto& aEntry) {
    return IsExpired(aEntry.second.sentAt_, aNow);
  });
  row.byReporter_[aReporter] = { aReport.ratio_, aReport.sentAt_ };
  const bool isDue = row.publishedRevision_ == 0 ||
                     aNow - row.publishedAt_ >= settings_.republishAfter_;
  if (!isDue || !IsConfirmed(row)) {
    return false;
  }
  row.published_ = { aReport.server_, MedianRatio(row), aReport.sentAt_ };
  row.publishedAt_ = aNow;
  row.publishedRevision_ = ++revision_;
  return true;
}

bool SlowServerBoard::IsConfirmed(const Row& aRow) const
{
  // The span between the second and the last but one request needs three.
  constexpr size_t kMinObservations = 3;
  if (aRow.byReporter_.size() <
      std::max<size_t>(settings_.minReporters_, kMinObservations)) {
    return false;
  }
  std::vector<TimePoint> times;
  times.reserve(aRow.byReporter_.size());
  for (const auto& [reporter, observation] : aRow.byReporter_) {
    times.push_back(observation.sentAt_);
  }
  std::sort(times.begin(), times.end());
  return times[times.size() - 2] - times[1] >= settings_.minSpan_;
}

double SlowServerBoard::MedianRatio(const Row& aRow)
{
  std::vector<double> ratios;
  ratios.reserve(aRow.byReporter_.size());
  for (const auto& [reporter, observation] : aRow.byReporter_) {
    ratios.push_back(observation.ratio_);
  }
  const auto middle =
    ratios.begin() + static_cast<std::ptrdiff_t>(ratios.size() / 2);
  std::nth_element(ratios.begin(), middle, ratios.end());
  return *middle;
}

std::vector<SlowServer> SlowServerBoard::PublishedSince(uint64_t aKnownRevision,
                                                        TimePoint aNow) const
{
  std::vector<SlowServer> published;
  for (const auto& [id, row] : rows_) {
    if (row.publishedRevision_ > aKnownRevision &&
        !IsExpired(row.published_.sentAt_, aNow)) {
      published.push_back(row.published_);
    }
  }
  return published;
}

void SlowServerBoard::RemoveExpired(TimePoint aNow)
{
  if (aNow < nextCleanupAt_) {
    return;
  }
  nextCleanupAt_ = aNow + settings_.reportLifetime_;
  std::erase_if(rows_, [&](const auto& aEntry) {
    const Row& row = aEntry.second;
    return std::all_of(row.byReporter_.begin(),
                       row.byReporter_.end(),
                       [&](const auto& aObservation) {
                         return IsExpired(aObservation.second.sentAt_, aNow);
                       });
  });
}

} // namespace foxtail
