#ifndef CONTROL_DOCUMENTLEDGER_H
#define CONTROL_DOCUMENTLEDGER_H

#include "control/Command.h"

#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace foxtail {

/// An accepted change.
struct HistoryEntry
{
  DocumentVersion version_;
  ChangeId changeId_;
  std::string author_;
  /// Log time of the change, since the epoch.
  milliseconds time_{};
  /// Null once the text has been dropped; only the latest kMaxTexts are kept.
  std::shared_ptr<const std::string> text_;
};

/// Result of the first attempt of a change, returned for its resends.
struct ChangeRecord
{
  ChangeId changeId_;
  DocumentVersion baseVersion_;
  uint64_t bodyHash_ = 0;
  ChangeResult result_;
};

/// Versions of the document. A change is accepted by compare-and-set on its
/// base version; a document that carries its own version is accepted when that
/// version is the highest. The results of the last 4,096 change ids are kept,
/// so that a resend gets its first result. A resend under an older id is
/// decided by its base version alone, which is no longer current by then, so it
/// is never applied twice. Deterministic. Not thread safe.
class DocumentLedger
{
public:
  static constexpr size_t kMaxResults = 4096;
  static constexpr size_t kMaxHistoryEntries = 4096;
  static constexpr size_t kMaxTexts = 16;

  ChangeResult Apply(const ChangeDocument& aChange, milliseconds aTime);
  /// Accepts a document that carries its own version if that version is above
  /// the current one, without regard to a base version. A repeated call with
  /// the same document changes nothing.
  ChangeResult Adopt(const AdoptDocument& aDocument, milliseconds aTime);

  /// @return the result kept for the change id, or null.
  const ChangeRecord* FindResult(const ChangeId& aId) const;

  /// @return the current version, or none before the first document.
  std::optional<DocumentVersion> Version() const { return version_; }
  /// @return the version that a ChangeDocument is based on: the current one, or
  /// 0 before the first document. Versions that changes make begin with 1.
  DocumentVersion BaseVersion() const
  {
    return version_.value_or(DocumentVersion(0));
  }
  /// @return the current text; never null.
  const std::shared_ptr<const std::string>& Text() const { return text_; }
  /// @return accepted changes in order of version.
  const std::deque<HistoryEntry>& History() const { return history_; }
  const std::deque<ChangeRecord>& Results() const { return results_; }

  /// Replaces the whole state by that of a snapshot.
  void Restore(std::optional<DocumentVersion> aVersion,
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

  std::optional<DocumentVersion> version_;
  std::shared_ptr<const std::string> text_ =
    std::make_shared<const std::string>("{}");
  std::deque<HistoryEntry> history_;
  std::deque<ChangeRecord> results_;
  /// Change id to the sequence number of its result; results_.front() has the
  /// number firstResultNumber_.
  std::unordered_map<ChangeId, uint64_t> resultNumbers_;
  uint64_t firstResultNumber_ = 0;
};

} // namespace foxtail

#endif // CONTROL_DOCUMENTLEDGER_H
