#include "control/DocumentLedger.h"

#include <xxhash.h>

namespace foxtail {

const ChangeRecord* DocumentLedger::FindResult(const ChangeId& aId) const
{
  const auto found = resultNumbers_.find(aId);
  if (found == resultNumbers_.end()) {
    return nullptr;
  }
  return &results_[found->second - firstResultNumber_];
}

ChangeResult DocumentLedger::Apply(const ChangeDocument& aChange,
                                   milliseconds aTime)
{
  const uint64_t hash = XXH3_64bits(aChange.text_.data(), aChange.text_.size());
  if (const ChangeRecord* record = FindResult(aChange.changeId_)) {
    const bool isSame =
      record->bodyHash_ == hash && record->baseVersion_ == aChange.baseVersion_;
    return isSame ? record->result_
                  : ChangeResult{ ChangeOutcome::IdReused, BaseVersion() };
  }
  const ChangeResult result = Decide(aChange);
  AddResult({ aChange.changeId_, aChange.baseVersion_, hash, result });
  if (result.outcome_ == ChangeOutcome::Accepted) {
    Accept(result.version_,
           aChange.text_,
           aChange.changeId_,
           aChange.author_,
           aTime);
  }
  return result;
}

ChangeResult DocumentLedger::Adopt(const AdoptDocument& aDocument,
                                   milliseconds aTime)
{
  if (version_ && aDocument.version_ <= *version_) {
    return { ChangeOutcome::NotNewer, *version_ };
  }
  Accept(aDocument.version_, aDocument.text_, {}, {}, aTime);
  return { ChangeOutcome::Accepted, aDocument.version_ };
}

ChangeResult DocumentLedger::Decide(const ChangeDocument& aChange) const
{
  if (aChange.baseVersion_ != BaseVersion()) {
    return { ChangeOutcome::Conflict, BaseVersion() };
  }
  return { ChangeOutcome::Accepted,
           DocumentVersion(BaseVersion().Value() + 1) };
}

void DocumentLedger::AddResult(ChangeRecord aRecord)
{
  resultNumbers_.emplace(aRecord.changeId_,
                         firstResultNumber_ + results_.size());
  results_.push_back(std::move(aRecord));
  if (results_.size() > kMaxResults) {
    resultNumbers_.erase(results_.front().changeId_);
    results_.pop_front();
    ++firstResultNumber_;
  }
}

void DocumentLedger::Accept(DocumentVersion aVersion,
                            std::string_view aText,
                            const ChangeId& aId,
                            std::string_view aAuthor,
                            milliseconds aTime)
{
  version_ = aVersion;
  text_ = std::make_shared<const std::string>(aText);
  history_.push_back({ aVersion, aId, std::string(aAuthor), aTime, text_ });
  if (history_.size() > kMaxTexts) {
    history_[history_.size() - 1 - kMaxTexts].text_.reset();
  }
  if (history_.size() > kMaxHistoryEntries) {
    history_.pop_front();
  }
}

void DocumentLedger::Restore(std::optional<DocumentVersion> aVersion,
                             std::string aText,
                             std::deque<HistoryEntry> aHistory,
                             std::deque<ChangeRecord> aResults)
{
  version_ = aVersion;
  text_ = std::make_shared<const std::string>(std::move(aText));
  history_ = std::move(aHistory);
  results_.clear();
  resultNumbers_.clear();
  firstResultNumber_ = 0;
  for (ChangeRecord& record : aResults) {
    AddResult(std::move(record));
  }
}

} // namespace foxtail
