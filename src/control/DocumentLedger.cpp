#include "control/DocumentLedger.h"

#include <xxhash.h>

namespace foxtail {

const ChangeMemory* DocumentLedger::FindResult(const ChangeId& aId) const
{
  const auto found = resultNumbers_.find(aId);
  if (found == resultNumbers_.end()) {
    return nullptr;
  }
  return &results_[found->second - firstResult_];
}

ChangeResult DocumentLedger::Apply(const ChangeDocument& aChange,
                                   milliseconds aTime)
{
  const uint64_t hash = XXH3_64bits(aChange.text_.data(), aChange.text_.size());
  if (const ChangeMemory* memory = FindResult(aChange.changeId_)) {
    const bool isSame =
      memory->bodyHash_ == hash && memory->base_ == aChange.base_;
    return isSame ? memory->result_
                  : ChangeResult{ ChangeOutcome::IdReused, version_ };
  }
  const ChangeResult result = Decide(aChange);
  Remember({ aChange.changeId_, aChange.base_, hash, result });
  if (result.outcome_ == ChangeOutcome::Accepted) {
    Accept(result.version_,
           aChange.text_,
           aChange.changeId_,
           aChange.author_,
           aTime);
  }
  return result;
}

ChangeResult DocumentLedger::Adopt(const AdoptDocument& aOrder,
                                   milliseconds aTime)
{
  if (aOrder.version_ <= version_) {
    return { ChangeOutcome::Held, version_ };
  }
  Accept(aOrder.version_, aOrder.text_, {}, {}, aTime);
  return { ChangeOutcome::Accepted, version_ };
}

ChangeResult DocumentLedger::Decide(const ChangeDocument& aChange) const
{
  if (aChange.base_ != version_) {
    return { ChangeOutcome::Conflict, version_ };
  }
  return { ChangeOutcome::Accepted, DocumentVersion(version_.Value() + 1) };
}

void DocumentLedger::Remember(ChangeMemory aMemory)
{
  resultNumbers_.emplace(aMemory.changeId_, firstResult_ + results_.size());
  results_.push_back(std::move(aMemory));
  if (results_.size() > kKeptResults) {
    resultNumbers_.erase(results_.front().changeId_);
    results_.pop_front();
    ++firstResult_;
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
  history_.push_back({ version_, aId, std::string(aAuthor), aTime, text_ });
  if (history_.size() > kKeptTexts) {
    history_[history_.size() - 1 - kKeptTexts].text_.reset();
  }
  if (history_.size() > kKeptHistory) {
    history_.pop_front();
  }
}

void DocumentLedger::Restore(DocumentVersion aVersion,
                             std::string aText,
                             std::deque<HistoryEntry> aHistory,
                             std::deque<ChangeMemory> aResults)
{
  version_ = aVersion;
  text_ = std::make_shared<const std::string>(std::move(aText));
  history_ = std::move(aHistory);
  results_.clear();
  resultNumbers_.clear();
  firstResult_ = 0;
  for (ChangeMemory& memory : aResults) {
    Remember(std::move(memory));
  }
}

} // namespace foxtail
