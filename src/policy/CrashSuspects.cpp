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
  if (record.refusedUntil_ > aNow || !IsSuspected(record)) {
    return true;
  }
  if (IsBlamed(record)) {
    Blame(record, aNow);
  } else {
    Probe(record, aNow + settings_.provisional_);
  }
  return true;
}

void CrashSuspects::Blame(Record& aRecord, TimePoint aNow)
{
  const bool isFirst = aRecord.blamedAt_ == TimePoint::max();
  Refuse(aRecord,
         aNow + (isFirst ? Duration(settings_.provisional_)
                         : Duration(settings_.refusal_)));
  ScheduleReview(aRecord, aNow);
}

void CrashSuspects::ScheduleReview(Record& aRecord, TimePoint aNow)
{
  aRecord.blamedAt_ = std::min(aRecord.blamedAt_, aNow);
  aRecord.reviewAt_ =
    std::min(aRecord.reviewAt_, aNow + settings_.reviewAfter_);
  nextReviewAt_ = std::min(nextReviewAt_, aRecord.reviewAt_);
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
  record.blamedAt_ = TimePoint::max();
  record.reviewAt_ = TimePoint::max();
  record.probedUntil_ = TimePoint{};
  return wasSuspected;
}

void CrashSuspects::OnQuarantine(const RequestQuarantine& aQuarantine,
                                 TimePoint aNow)
{
  Record& record = RecordOf(aQuarantine.request_, aNow);
  record.lastEventAt_ = aNow;
  // Bounds the effect of a wrong time.
  switch (aQuarantine.treatment_) {
    case SuspectTreatment::Probe:
      Probe(record,
            std::min(aQuarantine.until_, aNow + settings_.provisional_));
      break;
    case SuspectTreatment::Refuse:
      Refuse(record, std::min(aQuarantine.until_, aNow + settings_.refusal_));
      if (aQuarantine.until_ <= aNow + settings_.provisional_) {
        ScheduleReview(record, aNow);
      }
      break;
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
    if (IsBlamed(record)) {
      Refuse(record, aNow + settings_.refusal_);
    }
  }
}

void CrashSuspects::Apply(const CrashReport& aReport, TimePoint aNow)
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
  std::visit(Visitor{ *this, aNow }, aReport);
}

std::optional<RequestQuarantine> CrashSuspects::Find(
  RequestFingerprint aRequest,
  TimePoint aNow) const
{
  const auto found = records_.find(aRequest);
  if (found == records_.end()) {
    return std::nullopt;
  }
  const Record& record = found->second;
  if (record.refusedUntil_ > aNow) {
    return RequestQuarantine{ aRequest,
                              record.refusedUntil_,
                              SuspectTreatment::Refuse };
  }
  if (record.probedUntil_ > aNow) {
    return RequestQuarantine{ aRequest,
                              record.probedUntil_,
                              SuspectTreatment::Probe };
  }
  return std::nullopt;
}

std::vector<RequestQuarantine> CrashSuspects::QuarantinedSince(
  uint64_t aRevision,
  TimePoint aNow) const
{
  std::vector<RequestQuarantine> quarantines;
  for (const auto& [request, record] : records_) {
    const auto quarantine =
      record.revision_ > aRevision ? Find(request, aNow) : std::nullopt;
    if (quarantine) {
      quarantines.push_back(*quarantine);
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
    return record.refusedUntil_ <= aNow &&
           aNow - record.lastEventAt_ > lifetime;
  });
  if (records_.size() >= settings_.maxRequests_) {
    // Requests that may still be innocent make room before those that are not.
    const auto oldest =
      std::min_element(records_.begin(),
                       records_.end(),
                       [](const auto& aLeft, const auto& aRight) {
                         return std::pair(aLeft.second.refusedUntil_,
                                          aLeft.second.lastEventAt_) <
                                std::pair(aRight.second.refusedUntil_,
                                          aRight.second.lastEventAt_);
                       });
    records_.erase(oldest);
  }
}

bool CrashSuspects::IsSuspected(const Record& aRecord) const
{
  return aRecord.crashed_.size() >= settings_.minServers_ &&
         CountUnexplained(aRecord) >= settings_.minServers_;
}

bool CrashSuspects::IsBlamed(const Record& aRecord) const
{
  return aRecord.lastSentAt_ >=
           aRecord.firstEndedAt_ - settings_.timePrecision_ &&
         IsSuspected(aRecord);
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

void CrashSuspects::Probe(Record& aRecord, TimePoint aUntil)
{
  // A shorter extension is not published: each crash makes one, and transit
  // times shift the end that other instances report.
  constexpr seconds kMinExtension{ 1 };
  if (aUntil > aRecord.probedUntil_ + kMinExtension) {
    aRecord.probedUntil_ = aUntil;
    aRecord.revision_ = ++revision_;
  }
}

void CrashSuspects::Refuse(Record& aRecord, TimePoint aUntil)
{
  constexpr seconds kMinExtension{ 5 };
  if (aUntil > aRecord.refusedUntil_ + kMinExtension) {
    aRecord.refusedUntil_ = aUntil;
    aRecord.revision_ = ++revision_;
  }
}

} // namespace foxtail
