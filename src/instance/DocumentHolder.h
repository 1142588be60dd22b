#ifndef INSTANCE_DOCUMENTHOLDER_H
#define INSTANCE_DOCUMENTHOLDER_H

#include "config/Document.h"
#include "core/RcuCell.h"
#include "instance/DocumentMessages.h"

#include <mutex>

namespace foxtail {

enum class DocumentApplyResult
{
  /// In force now.
  Applied,
  /// Not above the version in force.
  NotNewer,
  /// It does not parse; the one in force stays.
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
  /// @param aCell gets each adopted document.
  explicit DocumentHolder(RcuCell<Document>& aCell);

  DocumentApplyResult Apply(const VersionedText& aDocument);

  DocumentVersion Version() const;
  /// @return the version and text in force; version 0 when none was offered.
  VersionedText Get() const;

private:
  RcuCell<Document>& cell_;
  mutable std::mutex mutex_;
  VersionedText current_;
};

} // namespace foxtail

#endif // INSTANCE_DOCUMENTHOLDER_H
