#include "operator/DocumentMerge.h"

#include "operator/DocumentDiff.h"

#include <set>

namespace foxtail {
namespace {

const boost::json::array* RowsOf(const boost::json::value& aDocument,
                                 std::string_view aSection)
{
  const auto* object = aDocument.if_object();
  const auto* rows =
    object == nullptr ? nullptr : object->if_contains(aSection);
  return rows == nullptr ? nullptr : rows->if_array();
}

std::string NameOfRow(const boost::json::value& aRow)
{
  const auto* object = aRow.if_object();
  const auto* name = object == nullptr ? nullptr : object->if_contains("name");
  return name == nullptr ? std::string() : ReadableValue(*name);
}

const boost::json::value* FindRow(const boost::json::array* aRows,
                                  const std::string& aName)
{
  for (size_t i = 0; aRows != nullptr && i < aRows->size(); ++i) {
    if (NameOfRow((*aRows)[i]) == aName) {
      return &(*aRows)[i];
    }
  }
  return nullptr;
}

bool IsSame(const boost::json::value* aLeft, const boost::json::value* aRight)
{
  if (aLeft == nullptr || aRight == nullptr) {
    return aLeft == aRight;
  }
  return *aLeft == *aRight;
}

std::vector<std::string> NamesOf(
  std::initializer_list<const boost::json::array*> aLists)
{
  std::vector<std::string> names;
  std::set<std::string> seen;
  for (const boost::json::array* rows : aLists) {
    for (size_t i = 0; rows != nullptr && i < rows->size(); ++i) {
      std::string name = NameOfRow((*rows)[i]);
      if (seen.insert(name).second) {
        names.push_back(std::move(name));
      }
    }
  }
  return names;
}

boost::json::array MergeSection(const boost::json::array* aBase,
                                const boost::json::array* aMine,
                                const boost::json::array* aTheirs,
                                std::string_view aSection,
                                std::vector<std::string>& aConflicts)
{
  boost::json::array merged;
  for (const std::string& name : NamesOf({ aTheirs, aMine })) {
    const auto* base = FindRow(aBase, name);
    const auto* mine = FindRow(aMine, name);
    const auto* theirs = FindRow(aTheirs, name);
    const bool isMineChanged = !IsSame(base, mine);
    const bool isTheirsChanged = !IsSame(base, theirs);
    if (isMineChanged && isTheirsChanged && !IsSame(mine, theirs)) {
      aConflicts.push_back(std::string(aSection) + "/" + name);
    }
    const auto* chosen = isMineChanged ? mine : theirs;
    if (chosen != nullptr) {
      merged.push_back(*chosen);
    }
  }
  return merged;
}

} // namespace

MergedDocument MergeDocuments(const boost::json::value& aBase,
                              const boost::json::value& aMine,
                              const boost::json::value& aTheirs)
{
  MergedDocument result;
  boost::json::object merged;
  for (const auto& section : EnumTable<DocumentSection>::kRows) {
    merged[section.name_] = MergeSection(RowsOf(aBase, section.name_),
                                         RowsOf(aMine, section.name_),
                                         RowsOf(aTheirs, section.name_),
                                         section.name_,
                                         result.conflicts_);
  }
  result.document_ = std::move(merged);
  return result;
}

} // namespace foxtail
