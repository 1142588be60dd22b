#ifndef CONTROL_DOCUMENTLEDGER_H
#define CONTROL_DOCUMENTLEDGER_H

#include "control/Command.h"

#include <deque>
#include <memory>
#include <unordered_map>
#include <vector>

namespace foxtail {

/// One accepted change.
struct HistoryEntry
{
  DocumentVersion version_;
  ChangeId changeId_;
  std::string author_;
  /// Log time of the change, since the epoch.
  milliseconds time_{};
  /// Null when the text is not kept any more.
  std::shared_ptr<const std::string> text_;
};

/// The first result of a change, kept for resends.
struct ChangeRecord
{
  ChangeId changeId_;
  DocumentVersion baseVersion_;
  uint64_t bodyHash_ = 0;
  ChangeResult result_;
};

/// The document's versions: compare-and-set on the version, with the result of
/// each change id, or acceptance by a version of the order's own. The results
/// of the last 4,096 changes are kept; an older change id is judged by its base
/// version alone, which by then is not current. Deterministic. Not thread safe.
class DocumentLedger
{
public:
  static constexpr size_t kMaxResults = 4096;
  static constexpr size_t kMaxHistoryEntries = 4096;
  static constexpr size_t kMaxTexts = 16;

  ChangeResult Apply(const ChangeDocument& aChange, milliseconds aTime);
  /// Accepts by the order's own version instead: the highest one wins, whatever
  /// it was based on, and the same order may come again.
  ChangeResult Adopt(const AdoptDocument& aDocument, milliseconds aTime);

  /// @return the result kept for the change id, or null.
  const ChangeRecord* FindResult(const ChangeId& aId) const;

  DocumentVersion Version() const { return version_; }
  /// @return the current text; never null.
  const std::shared_ptr<const std::string>& Text() const { return text_; }
  /// Accepted changes in order of version.
  const std::deque<HistoryEntry>& History() const { return history_; }
  const std::deque<ChangeRecord>& Results() const { return results_; }

  /// Replaces everything, for a snapshot.
  void Restore(DocumentVersion aVersion,
               std::string aText,
               std::deque<HistoryEntry> aHistory,
               std::deque<ChangeRecord> aResults);

private:
  ChangeResult Decide(const ChangeDocument& aChange) const;
  void AddResult(ChangeRecord aRecord);
  void Accept(DocumentVersion aVersion,
              std::string_view aText,
              const ChangeId& aId,
              std::string_view aAuthor,
              milliseconds aTime);

  DocumentVersion version_;
  std::shared_ptr<const std::string> text_ =
    std::make_shared<const std::string>("{}");
  std::deque<HistoryEntry> history_;
  std::deque<ChangeRecord> results_;
  /// Change id to its number since the start; results_ begins at
  /// firstResultNumber_.
  std::unordered_map<ChangeId, uint64_t> resultNumbers_;
  uint64_t firstResultNumber_ = 0;
};

} // namespace foxtail

#endif // CONTROL_DOCUMENTLEDGER_H
