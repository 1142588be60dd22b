#include "policy/SlowServerBoard.h"

#include <algorithm>
#include <functional>

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
    return IsExpired(aEntry.second.lastSentAt_, aNow);
  });
  const auto [entry, isNew] = row.byReporter_.try_emplace(
    aReporter, Observation{ aReport.ratio_, aReport.sentAt_, aReport.sentAt_ });
  Observation& observation = entry->second;
  if (!isNew) {
    observation.ratio_ = aReport.ratio_;
    observation.firstSentAt_ = IsExpired(observation.firstSentAt_, aNow)
                                 ? aReport.sentAt_
                                 : observation.firstSentAt_;
    observation.lastSentAt_ =
      std::max(observation.lastSentAt_, aReport.sentAt_);
  }
  const bool isDue = row.publishedRevision_ == 0 ||
                     aNow - row.publishedAt_ >= settings_.republishAfter_;
  if (!isDue || !IsConfirmed(row)) {
    return false;
  }
  TimePoint lastSentAt{};
  for (const auto& [reporter, other] : row.byReporter_) {
    lastSentAt = std::max(lastSentAt, other.lastSentAt_);
  }
  row.published_ = { aReport.server_, AgreedRatio(row), lastSentAt };
  row.publishedAt_ = aNow;
  row.publishedRevision_ = ++revision_;
  return true;
}

bool SlowServerBoard::IsConfirmed(const Row& aRow) const
{
  if (aRow.byReporter_.size() < settings_.minReporters_) {
    return false;
  }
  TimePoint first = TimePoint::max();
  TimePoint last{};
  for (const auto& [reporter, observation] : aRow.byReporter_) {
    first = std::min(first, observation.firstSentAt_);
    last = std::max(last, observation.lastSentAt_);
  }
  return last - first >= settings_.minSpan_;
}

double SlowServerBoard::AgreedRatio(const Row& aRow) const
{
  std::vector<double> ratios;
  ratios.reserve(aRow.byReporter_.size());
  for (const auto& [reporter, observation] : aRow.byReporter_) {
    ratios.push_back(observation.ratio_);
  }
  std::sort(ratios.begin(), ratios.end(), std::greater<>());
  return ratios[settings_.minReporters_ - 1];
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
                         return IsExpired(aObservation.second.lastSentAt_,
                                          aNow);
                       });
  });
}

} // namespace foxtail
