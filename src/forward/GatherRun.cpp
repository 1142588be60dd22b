#include "forward/GatherRun.h"

#include "forward/RecordMerge.h"

#include <algorithm>

namespace foxtail {

GatherRun::GatherRun(RunContext& aContext,
                     std::shared_ptr<const RouteTable> aTable,
                     const Route& aRoute,
                     const GatherTarget& aTarget,
                     RouteStats& aStats,
                     std::shared_ptr<const ForwardRequest> aRequest,
                     Done aDone)
  : Run(aContext,
        std::move(aTable),
        aRoute,
        aStats,
        std::move(aRequest),
        std::move(aDone))
  , target_(aTarget)
  , attempts_(aTarget.shards_.size())
  , parts_(aTarget.shards_.size())
  , objectiveAt_(ObjectiveAt())
{
  for (size_t i = 0; i < attempts_.size(); ++i) {
    attempts_[i].service_ = aTarget.shards_[i];
  }
}

void GatherRun::Start(TimePoint aNow)
{
  const auto known = static_cast<uint32_t>(std::count_if(
    attempts_.begin(), attempts_.end(), [&](const Attempts& aRow) {
      return context_.pools_.HasServer(aRow.service_);
    }));
  const auto shards = static_cast<uint32_t>(attempts_.size());
  if (known < RequiredShards(shards, target_.leastShare_)) {
    Finish(GiveUp(std::to_string(known) + " of " + std::to_string(shards) +
                    " shards have a backend server that takes work, too few "
                    "for an answer; try again, and check the announcements",
                  false),
           aNow);
    return;
  }
  for (uint32_t i = 0; i < shards; ++i) {
    if (!TrySend(attempts_[i], i, aNow)) {
      parts_[i].state_ = PartState::GivenUp;
      ++givenUp_;
    }
  }
  ScheduleWake(aNow);
}

void GatherRun::OnExchangeEnd(Exchange& aExchange, TimePoint aNow)
{
  const uint32_t shard = aExchange.shard_;
  if (IsDone() || !TakeEnd(attempts_[shard], aExchange, aNow) ||
      parts_[shard].state_ != PartState::Pending) {
    return;
  }
  const bool isPart =
    aExchange.end_ == ExchangeEnd::Answered && aExchange.reply_.IsSuccess();
  if (isPart) {
    parts_[shard].signature_ = std::move(aExchange.reply_.signature_);
    parts_[shard].records_ = std::move(aExchange.reply_.body_);
    Settle(shard, PartState::Included, aNow);
  } else if (attempts_[shard].open_.empty() &&
             !TryAgain(attempts_[shard], shard, IsNeeded(), aNow)) {
    Settle(shard, PartState::GivenUp, aNow);
  }
  if (!IsDone()) {
    ScheduleWake(aNow);
  }
}

void GatherRun::Settle(uint32_t aShard, PartState aState, TimePoint aNow)
{
  parts_[aShard].state_ = aState;
  included_ += aState == PartState::Included ? 1 : 0;
  givenUp_ += aState == PartState::GivenUp ? 1 : 0;
  AbandonOpen(attempts_[aShard], aNow);
  Judge(aNow);
}

void GatherRun::OnWake(TimePoint aNow)
{
  Judge(aNow);
  if (IsDone()) {
    return;
  }
  const bool isNeeded = IsNeeded();
  for (uint32_t i = 0; i < attempts_.size(); ++i) {
    ConsiderPreparing(attempts_[i], aNow);
    ConsiderHedge(attempts_[i], i, isNeeded, aNow);
  }
}

TimePoint GatherRun::NextWake(TimePoint aNow) const
{
  TimePoint next = NextGatherEvaluation(Progress(), aNow);
  for (const Attempts& attempts : attempts_) {
    next = std::min({ next, attempts.prepareAt_, attempts.hedgeAt_ });
  }
  return next;
}

GatherProgress GatherRun::Progress() const
{
  return { static_cast<uint32_t>(parts_.size()),
           included_,
           givenUp_,
           target_.leastShare_,
           objectiveAt_,
           finalAt_ };
}

bool GatherRun::IsNeeded() const
{
  return included_ < RequiredShards(static_cast<uint32_t>(parts_.size()),
                                    target_.leastShare_);
}

void GatherRun::Judge(TimePoint aNow)
{
  switch (EvaluateGather(Progress(), aNow)) {
    case GatherVerdict::Wait:
      return;
    case GatherVerdict::AnswerWhole:
    case GatherVerdict::AnswerPartial:
      Finish(Merge(), aNow);
      return;
    case GatherVerdict::Fail:
      Finish(GiveUp(std::to_string(included_) + " of " +
                      std::to_string(parts_.size()) +
                      " shards answered, too few for an answer",
                    aNow >= finalAt_),
             aNow);
      return;
  }
}

ForwardAnswer GatherRun::Merge() const
{
  constexpr unsigned kOk = 200;
  ForwardAnswer answer;
  answer.source_ = AnswerSource::Merged;
  answer.status_ = kOk;
  std::string signatures;
  std::vector<std::string_view> records;
  for (const Part& part : parts_) {
    if (part.state_ == PartState::Included) {
      signatures += (signatures.empty() ? "" : ", ") + part.signature_;
      records.push_back(part.records_);
    }
  }
  const Vocabulary& words = context_.vocabulary_;
  answer.headers_ = "Content-Type: application/octet-stream\r\n";
  answer.headers_ += words.requestId_ + ": " + Request().id_.Value() + "\r\n";
  answer.headers_ += words.partSignatures_ + ": " + signatures + "\r\n";
  answer.headers_ += words.missingShards_ + ": " +
                     std::to_string(parts_.size() - included_) + "\r\n";
  answer.body_ = MergeGreatest(records, target_.topRecords_);
  return answer;
}

} // namespace foxtail
