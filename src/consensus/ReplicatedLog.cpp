#include "consensus/ReplicatedLog.h"

#include <algorithm>
#include <boost/assert.hpp>

namespace foxtail {

ReplicatedLog::ReplicatedLog(Snapshot aSnapshot, std::vector<LogEntry> aEntries)
  : snapshot_(std::move(aSnapshot))
  , baseIndex_(snapshot_.meta_.index_)
  , baseTerm_(snapshot_.meta_.term_)
{
  memberships_.push_back({ baseIndex_, snapshot_.meta_.membership_ });
  for (LogEntry& entry : aEntries) {
    Append(std::move(entry));
  }
}

std::optional<Term> ReplicatedLog::TermAt(LogIndex aIndex) const
{
  if (aIndex == baseIndex_) {
    return baseTerm_;
  }
  if (aIndex < baseIndex_ || aIndex > LastIndex()) {
    return std::nullopt;
  }
  return At(aIndex).term_;
}

bool ReplicatedLog::Matches(LogIndex aIndex, Term aTerm) const
{
  const std::optional<Term> term = TermAt(aIndex);
  return term.has_value() && *term == aTerm;
}

bool ReplicatedLog::IsUpToDate(LogIndex aLastIndex, Term aLastTerm) const
{
  if (aLastTerm != LastTerm()) {
    return aLastTerm > LastTerm();
  }
  return aLastIndex >= LastIndex();
}

LogIndex ReplicatedLog::ConflictHint(LogIndex aIndex) const
{
  if (aIndex > LastIndex()) {
    return LastIndex();
  }
  // Skips the whole conflicting term, so that the leader needs one rejection
  // per term rather than one per entry.
  const std::optional<Term> term = TermAt(aIndex);
  LogIndex hint = aIndex;
  while (hint > baseIndex_ && TermAt(hint) == term) {
    --hint;
  }
  return hint;
}

std::vector<LogEntry> ReplicatedLog::Slice(LogIndex aFrom,
                                           size_t aMaxBytes) const
{
  std::vector<LogEntry> slice;
  size_t bytes = 0;
  for (LogIndex index = aFrom; index <= LastIndex(); ++index) {
    const LogEntry& entry = At(index);
    bytes += entry.payload_.size();
    if (!slice.empty() && bytes > aMaxBytes) {
      break;
    }
    slice.push_back(entry);
  }
  return slice;
}

void ReplicatedLog::Append(LogEntry aEntry)
{
  BOOST_ASSERT(aEntry.index_ == LastIndex() + 1);
  RecordMembership(aEntry);
  entries_.push_back(std::move(aEntry));
}

void ReplicatedLog::RecordMembership(const LogEntry& aEntry)
{
  if (aEntry.kind_ != EntryKind::Membership) {
    return;
  }
  if (auto membership = DecodeMembership(aEntry.payload_); membership.ok()) {
    memberships_.push_back({ aEntry.index_, *std::move(membership) });
  }
}

void ReplicatedLog::TruncateFrom(LogIndex aIndex)
{
  BOOST_ASSERT(aIndex > baseIndex_);
  if (aIndex > LastIndex()) {
    return;
  }
  entries_.resize(aIndex - baseIndex_ - 1);
  while (memberships_.size() > 1 && memberships_.back().index_ >= aIndex) {
    memberships_.pop_back();
  }
}

const Membership& ReplicatedLog::MembershipAt(LogIndex aIndex) const
{
  size_t last = memberships_.size() - 1;
  while (last > 0 && memberships_[last].index_ > aIndex) {
    --last;
  }
  return memberships_[last].membership_;
}

void ReplicatedLog::DropPrefix(LogIndex aLastDropped)
{
  if (aLastDropped <= baseIndex_) {
    return;
  }
  baseTerm_ = TermAt(aLastDropped).value_or(baseTerm_);
  const auto count = static_cast<std::ptrdiff_t>(aLastDropped - baseIndex_);
  entries_.erase(entries_.begin(), entries_.begin() + count);
  baseIndex_ = aLastDropped;
}

void ReplicatedLog::Compact(Snapshot aSnapshot, size_t aRetainedEntries)
{
  snapshot_ = std::move(aSnapshot);
  const LogIndex index = snapshot_.meta_.index_;
  const LogIndex lastDropped =
    index > aRetainedEntries ? index - aRetainedEntries : 0;
  DropPrefix(std::min(lastDropped, index));
  while (memberships_.size() > 1 && memberships_[1].index_ <= index) {
    memberships_.erase(memberships_.begin());
  }
}

void ReplicatedLog::Install(Snapshot aSnapshot)
{
  const SnapshotMeta& meta = aSnapshot.meta_;
  if (Matches(meta.index_, meta.term_)) {
    Compact(std::move(aSnapshot), 0);
    return;
  }
  *this = ReplicatedLog(std::move(aSnapshot), {});
}

StoredState ReplicatedLog::ToStoredState(const HardState& aHardState) const
{
  StoredState state{ aHardState, snapshot_, {} };
  const LogIndex first = snapshot_.meta_.index_ + 1;
  for (LogIndex index = first; index <= LastIndex(); ++index) {
    state.entries_.push_back(At(index));
  }
  return state;
}

} // namespace foxtail
