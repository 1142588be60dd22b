#ifndef OPERATOR_DOCUMENTDIFF_H
#define OPERATOR_DOCUMENTDIFF_H

#include "config/Document.h"
#include "core/EnumTable.h"

#include <string>
#include <vector>

namespace foxtail {

enum class DocumentSection
{
  Teams,
  Services,
  Regions,
};

template<>
struct EnumTable<DocumentSection>
{
  static constexpr std::array<EnumName<DocumentSection>, 3> kRows{ {
    { DocumentSection::Teams, "teams" },
    { DocumentSection::Services, "services" },
    { DocumentSection::Regions, "regions" },
  } };
};

enum class ChangeKind
{
  Added,
  Removed,
  Changed,
};

template<>
struct EnumTable<ChangeKind>
{
  static constexpr std::array<EnumName<ChangeKind>, 3> kRows{ {
    { ChangeKind::Added, "added" },
    { ChangeKind::Removed, "removed" },
    { ChangeKind::Changed, "changed" },
  } };
};

/// One member of a row that differs.
struct MemberChange
{
  std::string member_;
  /// Empty for a row that was added.
  std::string before_;
  /// Empty for a row that was removed.
  std::string after_;
};

/// One team, service or region that differs between two documents. Rows are
/// matched by name: their order means nothing.
struct DocumentChange
{
  ChangeKind kind_ = ChangeKind::Changed;
  DocumentSection section_ = DocumentSection::Services;
  std::string name_;
  std::vector<MemberChange> members_;

  /// @return such as services/agronomy-desk.
  std::string Path() const;
};

/// @return the differences, ordered by section and name.
std::vector<DocumentChange> DiffDocuments(const Document& aBefore,
                                          const Document& aAfter);

/// @return one line for the history and the audit, cut to a bounded length.
std::string SummarizeChanges(const std::vector<DocumentChange>& aChanges);

/// @return a JSON value as operators read it: 4 for 4.0, lists with commas.
std::string ReadableValue(const boost::json::value& aValue);

} // namespace foxtail

#endif // OPERATOR_DOCUMENTDIFF_H
