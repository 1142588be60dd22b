#ifndef CONSENSUS_REPLICATEDLOG_H
#define CONSENSUS_REPLICATEDLOG_H

#include "consensus/LogStorage.h"

#include <optional>

namespace foxtail {

/// A member's log in memory: a snapshot and the entries that are kept, which
/// may begin before the snapshot's index so that slow members still get them.
/// Not thread safe.
class ReplicatedLog
{
public:
  explicit ReplicatedLog(Snapshot aSnapshot, std::vector<LogEntry> aEntries);

  LogIndex LastIndex() const { return baseIndex_ + entries_.size(); }
  Term LastTerm() const { return TermAt(LastIndex()).value_or(0); }
  /// @return the index before the first kept entry; its term is still known.
  LogIndex BaseIndex() const { return baseIndex_; }
  /// @return the term of the entry at @p aIndex, or nothing when it is not
  /// known any more or not there yet.
  std::optional<Term> TermAt(LogIndex aIndex) const;
  bool Matches(LogIndex aIndex, Term aTerm) const;
  /// @return whether a log that ends so is at least as complete as this one.
  bool IsUpToDate(LogIndex aLastIndex, Term aLastTerm) const;
  /// @return the last index that may still match a leader's log, whose entry
  /// at @p aIndex was found to differ or to be missing.
  LogIndex ConflictHint(LogIndex aIndex) const;

  const LogEntry& At(LogIndex aIndex) const
  {
    return entries_[aIndex - baseIndex_ - 1];
  }
  /// @return entries from @p aFrom on, at least one when there is any, up to
  /// about @p aMaxBytes of payload.
  std::vector<LogEntry> Slice(LogIndex aFrom, size_t aMaxBytes) const;

  /// @p aEntry follows the last one.
  void Append(LogEntry aEntry);
  /// Drops the entries from @p aIndex on.
  void TruncateFrom(LogIndex aIndex);

  const Snapshot& LatestSnapshot() const { return snapshot_; }
  /// @return the membership that the last Membership entry or the snapshot
  /// sets, whether committed or not.
  const Membership& LatestMembership() const
  {
    return memberships_.back().membership_;
  }
  LogIndex LatestMembershipIndex() const { return memberships_.back().index_; }
  /// @return the membership as of @p aIndex.
  const Membership& MembershipAt(LogIndex aIndex) const;

  /// Takes a snapshot of what the log already has, and drops all but
  /// @p aRetainedEntries of the entries that it covers.
  void Compact(Snapshot aSnapshot, size_t aRetainedEntries);
  /// Takes a leader's snapshot. Entries after it are kept when the log agrees
  /// with it.
  void Install(Snapshot aSnapshot);

  /// @return the snapshot and the entries after it.
  StoredState ToStoredState(const HardState& aHardState) const;

private:
  struct MembershipAtIndex
  {
    LogIndex index_ = 0;
    Membership membership_;
  };

  void RecordMembership(const LogEntry& aEntry);
  void DropPrefix(LogIndex aLastDropped);

  Snapshot snapshot_;
  LogIndex baseIndex_ = 0;
  Term baseTerm_ = 0;
  std::vector<LogEntry> entries_;
  /// In order of index; the first is the snapshot's.
  std::vector<MembershipAtIndex> memberships_;
};

} // namespace foxtail

#endif // CONSENSUS_REPLICATEDLOG_H
