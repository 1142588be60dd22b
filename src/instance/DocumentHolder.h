#ifndef INSTANCE_DOCUMENTHOLDER_H
#define INSTANCE_DOCUMENTHOLDER_H

#include "config/Document.h"
#include "core/RcuCell.h"
#include "instance/DocumentMessages.h"

#include <mutex>

namespace foxtail {

/// Result of DocumentHolder::Apply().
enum class DocumentApplyResult
{
  /// The document is in force now.
  Applied,
  /// The version is not above the one in force.
  NotNewer,
  /// The text does not parse; the document in force stays.
  Invalid,
};

template<>
struct EnumTable<DocumentApplyResult>
{
  static constexpr std::array<EnumName<DocumentApplyResult>, 3> kRows{ {
    { DocumentApplyResult::Applied, "adopted" },
    { DocumentApplyResult::NotNewer, "not_newer" },
    { DocumentApplyResult::Invalid, "invalid" },
  } };
};

/// The document in force at one instance. Its version never goes back. Thread
/// safe.
class DocumentHolder
{
public:
  /// @param aCell publishes each applied document.
  explicit DocumentHolder(RcuCell<Document>& aCell);

  /// Parses the document and puts it in force when its version is newer.
  DocumentApplyResult Apply(const VersionedText& aDocument);

  DocumentVersion Version() const;
  /// @return the version and text in force; version 0 when none was applied.
  VersionedText Get() const;

private:
  RcuCell<Document>& cell_;
  mutable std::mutex mutex_;
  VersionedText current_;
};

} // namespace foxtail

#endif // INSTANCE_DOCUMENTHOLDER_H
