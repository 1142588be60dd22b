#include "operator/DocumentDiff.h"

#include <cstdio>
#include <map>

namespace foxtail {
namespace {

using Rows = std::map<std::string, boost::json::object>;

Rows RowsOf(const boost::json::value& aDocument, DocumentSection aSection)
{
  Rows rows;
  for (const auto& row : aDocument.at(NameOf(aSection)).as_array()) {
    rows[std::string(row.at("name").as_string())] = row.as_object();
  }
  return rows;
}

DocumentChange WholeRow(ChangeKind aKind,
                        DocumentSection aSection,
                        const std::string& aName,
                        const boost::json::object& aRow)
{
  DocumentChange change{ aKind, aSection, aName, {} };
  for (const auto& member : aRow) {
    if (member.key() == "name") {
      continue;
    }
    const std::string text = ReadableValue(member.value());
    const bool isAdded = aKind == ChangeKind::Added;
    change.members_.push_back(
      { std::string(member.key()), isAdded ? "" : text, isAdded ? text : "" });
  }
  return change;
}

DocumentChange CompareRows(DocumentSection aSection,
                           const std::string& aName,
                           const boost::json::object& aBefore,
                           const boost::json::object& aAfter)
{
  DocumentChange change{ ChangeKind::Changed, aSection, aName, {} };
  for (const auto& member : aBefore) {
    const boost::json::value& after = aAfter.at(member.key());
    if (member.value() != after) {
      change.members_.push_back({ std::string(member.key()),
                                  ReadableValue(member.value()),
                                  ReadableValue(after) });
    }
  }
  return change;
}

void DiffSection(const Rows& aBefore,
                 const Rows& aAfter,
                 DocumentSection aSection,
                 std::vector<DocumentChange>& aChanges)
{
  std::map<std::string, bool> names;
  for (const auto& row : aBefore) {
    names[row.first] = true;
  }
  for (const auto& row : aAfter) {
    names[row.first] = true;
  }
  for (const auto& row : names) {
    const std::string& name = row.first;
    const auto before = aBefore.find(name);
    const auto after = aAfter.find(name);
    if (before == aBefore.end()) {
      aChanges.push_back(
        WholeRow(ChangeKind::Added, aSection, name, after->second));
    } else if (after == aAfter.end()) {
      aChanges.push_back(
        WholeRow(ChangeKind::Removed, aSection, name, before->second));
    } else if (before->second != after->second) {
      aChanges.push_back(
        CompareRows(aSection, name, before->second, after->second));
    }
  }
}

} // namespace

std::string DocumentChange::Path() const
{
  return std::string(NameOf(section_)) + "/" + name_;
}

std::vector<DocumentChange> DiffDocuments(const Document& aBefore,
                                          const Document& aAfter)
{
  const auto before = ToJson(aBefore);
  const auto after = ToJson(aAfter);
  std::vector<DocumentChange> changes;
  for (const auto& section : EnumTable<DocumentSection>::kRows) {
    DiffSection(RowsOf(before, section.value_),
                RowsOf(after, section.value_),
                section.value_,
                changes);
  }
  return changes;
}

std::string SummarizeChanges(const std::vector<DocumentChange>& aChanges)
{
  constexpr size_t kMaxLength = 500;
  std::string text;
  for (const DocumentChange& change : aChanges) {
    text += text.empty() ? "" : "; ";
    text += std::string(NameOf(change.kind_)) + " " + change.Path();
    if (change.kind_ != ChangeKind::Changed) {
      continue;
    }
    for (const MemberChange& member : change.members_) {
      text +=
        " " + member.member_ + " " + member.before_ + " to " + member.after_;
    }
  }
  if (text.size() > kMaxLength) {
    text.resize(kMaxLength);
    text += "... (" + std::to_string(aChanges.size()) + " changes)";
  }
  return text.empty() ? "no change" : text;
}

std::string ReadableValue(const boost::json::value& aValue)
{
  if (aValue.is_string()) {
    return std::string(aValue.get_string());
  }
  if (aValue.is_double()) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.10g", aValue.get_double());
    return text.data();
  }
  if (!aValue.is_array()) {
    return boost::json::serialize(aValue);
  }
  std::string text;
  for (const auto& element : aValue.get_array()) {
    text += (text.empty() ? "" : ", ") + ReadableValue(element);
  }
  return text;
}

} // namespace foxtail
