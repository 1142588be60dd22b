#include "policy/CrashSuspects.h"

#include <algorithm>

namespace foxtail {

CrashSuspects::CrashSuspects(CrashSuspectsSettings aSettings)
  : settings_(aSettings)
{
}

void CrashSuspects::OnUnanswered(RequestFingerprint aRequest, TimePoint aNow)
{
  RecordOf(aRequest, aNow).lastEventAt_ = aNow;
}

bool CrashSuspects::OnCrash(const RequestCrash& aCrash, TimePoint aNow)
{
  Record& record = RecordOf(aCrash.request_, aNow);
  const ServerProcess server{ aCrash.server_, aCrash.serverStartedAtMs_ };
  const bool isKnown =
    std::find(record.crashed_.begin(), record.crashed_.end(), server) !=
    record.crashed_.end();
  if (isKnown || record.answeredAt_ >= aCrash.endedAt_) {
    return false;
  }
  record.lastEventAt_ = aNow;
  if (record.crashed_.size() < settings_.maxServers_) {
    record.crashed_.push_back(server);
  }
  record.firstEndedAt_ = std::min(record.firstEndedAt_, aCrash.endedAt_);
  const TimePoint aliveAt = aCrash.hasReachedServer_
                              ? aCrash.sentAt_
                              : aCrash.sentAt_ - settings_.transitTime_;
  record.lastSentAt_ = std::max(record.lastSentAt_, aliveAt);
  if (record.quarantinedUntil_ <= aNow && IsBlamed(record)) {
    const Duration duration = record.wasBlamed_
                                ? Duration(settings_.quarantine_)
                                : Duration(settings_.provisional_);
    BeginQuarantine(record, aNow + duration);
    ScheduleReview(record, aNow);
  }
  return true;
}

bool CrashSuspects::OnAnswered(RequestFingerprint aRequest, TimePoint aNow)
{
  const auto found = records_.find(aRequest);
  if (found == records_.end()) {
    return false;
  }
  Record& record = found->second;
  const bool wasSuspected = !record.crashed_.empty();
  record.answeredAt_ = aNow;
  record.crashed_.clear();
  record.firstEndedAt_ = TimePoint::max();
  record.lastSentAt_ = TimePoint{};
  record.wasBlamed_ = false;
  return wasSuspected;
}

void CrashSuspects::OnQuarantine(const RequestQuarantine& aQuarantine,
                                 TimePoint aNow)
{
  // Bounds the effect of a wrong time.
  const TimePoint until =
    std::min(aQuarantine.until_, aNow + settings_.quarantine_);
  Record& record = RecordOf(aQuarantine.request_, aNow);
  record.lastEventAt_ = aNow;
  // Transit times make the same quarantine end a little later each time.
  constexpr seconds kMinExtension{ 5 };
  if (until > record.quarantinedUntil_ + kMinExtension) {
    BeginQuarantine(record, until);
    ScheduleReview(record, aNow);
  }
}

void CrashSuspects::Review(TimePoint aNow)
{
  if (aNow < nextReviewAt_) {
    return;
  }
  nextReviewAt_ = TimePoint::max();
  for (auto& [request, record] : records_) {
    if (record.reviewAt_ > aNow) {
      nextReviewAt_ = std::min(nextReviewAt_, record.reviewAt_);
      continue;
    }
    record.reviewAt_ = TimePoint::max();
    const TimePoint until = aNow + settings_.quarantine_;
    if (IsBlamed(record) &&
        record.quarantinedUntil_ < until - settings_.provisional_) {
      BeginQuarantine(record, until);
    }
  }
}

void CrashSuspects::ScheduleReview(Record& aRecord, TimePoint aNow)
{
  aRecord.wasBlamed_ = true;
  aRecord.reviewAt_ = aNow + settings_.reviewAfter_;
  nextReviewAt_ = std::min(nextReviewAt_, aRecord.reviewAt_);
}

void CrashSuspects::Apply(const CrashNews& aNews, TimePoint aNow)
{
  struct Visitor
  {
    CrashSuspects& suspects_;
    TimePoint now_;

    void operator()(const RequestCrash& aCrash) const
    {
      suspects_.OnCrash(aCrash, now_);
    }
    void operator()(const RequestAnswered& aAnswered) const
    {
      suspects_.OnAnswered(aAnswered.request_, now_);
    }
    void operator()(const RequestQuarantine& aQuarantine) const
    {
      suspects_.OnQuarantine(aQuarantine, now_);
    }
  };
  std::visit(Visitor{ *this, aNow }, aNews);
}

std::optional<TimePoint> CrashSuspects::QuarantinedUntil(
  RequestFingerprint aRequest,
  TimePoint aNow) const
{
  const auto found = records_.find(aRequest);
  return found == records_.end() || found->second.quarantinedUntil_ <= aNow
           ? std::nullopt
           : std::optional(found->second.quarantinedUntil_);
}

std::vector<RequestQuarantine> CrashSuspects::QuarantinedSince(
  uint64_t aRevision,
  TimePoint aNow) const
{
  std::vector<RequestQuarantine> quarantines;
  for (const auto& [request, record] : records_) {
    if (record.quarantineRevision_ > aRevision &&
        record.quarantinedUntil_ > aNow) {
      quarantines.push_back({ request, record.quarantinedUntil_ });
    }
  }
  return quarantines;
}

CrashSuspects::Record& CrashSuspects::RecordOf(RequestFingerprint aRequest,
                                               TimePoint aNow)
{
  RemoveExpired(aNow);
  return records_[aRequest];
}

void CrashSuspects::RemoveExpired(TimePoint aNow)
{
  const bool isFull = records_.size() >= settings_.maxRequests_;
  if (aNow < nextCleanupAt_ && !isFull) {
    return;
  }
  nextCleanupAt_ = aNow + settings_.unansweredLifetime_;
  std::erase_if(records_, [&](const auto& aRow) {
    const Record& record = aRow.second;
    const Duration lifetime = record.crashed_.empty()
                                ? settings_.unansweredLifetime_
                                : settings_.crashLifetime_;
    return record.quarantinedUntil_ <= aNow &&
           aNow - record.lastEventAt_ > lifetime;
  });
  if (records_.size() >= settings_.maxRequests_) {
    // Requests that may still be innocent make room before those that are not.
    const auto oldest =
      std::min_element(records_.begin(),
                       records_.end(),
                       [](const auto& aLeft, const auto& aRight) {
                         return std::pair(aLeft.second.quarantinedUntil_,
                                          aLeft.second.lastEventAt_) <
                                std::pair(aRight.second.quarantinedUntil_,
                                          aRight.second.lastEventAt_);
                       });
    records_.erase(oldest);
  }
}

bool CrashSuspects::IsBlamed(const Record& aRecord) const
{
  return aRecord.crashed_.size() >= settings_.minServers_ &&
         aRecord.lastSentAt_ >=
           aRecord.firstEndedAt_ - settings_.timePrecision_ &&
         CountUnexplained(aRecord) >= settings_.minServers_;
}

size_t CrashSuspects::CountUnexplained(const Record& aRecord) const
{
  const auto isExplained = [&](const ServerProcess& aServer) {
    return std::any_of(records_.begin(), records_.end(), [&](const auto& aRow) {
      const auto& others = aRow.second.crashed_;
      return others.size() > aRecord.crashed_.size() &&
             std::find(others.begin(), others.end(), aServer) != others.end();
    });
  };
  return aRecord.crashed_.size() -
         static_cast<size_t>(std::count_if(
           aRecord.crashed_.begin(), aRecord.crashed_.end(), isExplained));
}

void CrashSuspects::BeginQuarantine(Record& aRecord, TimePoint aUntil)
{
  aRecord.quarantinedUntil_ = aUntil;
  aRecord.quarantineRevision_ = ++revision_;
}

} // namespace foxtail
