#ifndef CONSENSUS_REPLICATEDLOG_H
#define CONSENSUS_REPLICATEDLOG_H

#include "consensus/LogStorage.h"

#include <optional>

namespace foxtail {

/// A member's log in memory: the latest snapshot and the retained entries. Some
/// entries that the snapshot covers are retained, so that members that lag a
/// little need no snapshot. Not thread safe.
class ReplicatedLog
{
public:
  explicit ReplicatedLog(Snapshot aSnapshot, std::vector<LogEntry> aEntries);

  LogIndex LastIndex() const { return baseIndex_ + entries_.size(); }
  Term LastTerm() const { return TermAt(LastIndex()).value_or(0); }
  /// @return the index before the first retained entry; TermAt() still returns
  /// its term.
  LogIndex BaseIndex() const { return baseIndex_; }
  /// @return the term of the entry at @p aIndex, or nothing when the entry was
  /// compacted or is after the last one.
  std::optional<Term> TermAt(LogIndex aIndex) const;
  bool Matches(LogIndex aIndex, Term aTerm) const;
  /// @return whether a log with this last entry is at least as up to date as
  /// this log, by the rule for granting votes.
  bool IsUpToDate(LogIndex aLastIndex, Term aLastTerm) const;
  /// @return the last index at which the leader's log may still match this log,
  /// given that this log's entry at @p aIndex differs or is missing.
  LogIndex ConflictHint(LogIndex aIndex) const;

  const LogEntry& At(LogIndex aIndex) const
  {
    return entries_[aIndex - baseIndex_ - 1];
  }
  /// @return the entries from @p aFrom on, up to @p aMaxBytes of payload, but
  /// at least one entry when there is any.
  std::vector<LogEntry> Slice(LogIndex aFrom, size_t aMaxBytes) const;

  /// Appends an entry, whose index must be LastIndex() + 1.
  void Append(LogEntry aEntry);
  /// Drops the entries from @p aIndex on.
  void TruncateFrom(LogIndex aIndex);

  const Snapshot& LatestSnapshot() const { return snapshot_; }
  /// @return the membership of the last Membership entry, committed or not, or
  /// of the snapshot when there is no such entry.
  const Membership& LatestMembership() const
  {
    return memberships_.back().membership_;
  }
  LogIndex LatestMembershipIndex() const { return memberships_.back().index_; }
  /// @return the membership as of the entry at @p aIndex.
  const Membership& MembershipAt(LogIndex aIndex) const;

  /// Stores a snapshot of entries that this log has, and drops all but the last
  /// @p aRetainedEntries of the entries that the snapshot covers.
  void Compact(Snapshot aSnapshot, size_t aRetainedEntries);
  /// Installs a snapshot received from the leader. The entries after it are
  /// kept only when this log's entry at the snapshot's index has the snapshot's
  /// term.
  void Install(Snapshot aSnapshot);

  /// @return the hard state, the snapshot and the entries after it.
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
  /// Memberships in order of index; the first one is the snapshot's.
  std::vector<MembershipAtIndex> memberships_;
};

} // namespace foxtail

#endif // CONSENSUS_REPLICATEDLOG_H
