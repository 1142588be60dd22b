#ifndef OPERATOR_FORMFIELDS_H
#define OPERATOR_FORMFIELDS_H

#include "operator/DocumentDiff.h"
#include "operator/FormData.h"

#include <boost/json.hpp>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace foxtail {

/// A line of text.
struct TextField
{};

/// A whole or a decimal number.
struct NumberField
{};

/// One of a fixed list.
struct ChoiceField
{
  std::vector<std::string_view> choices_;
};

/// One of the teams of the document.
struct TeamField
{};

/// Texts, one a line.
struct ListField
{};

using FieldType =
  std::variant<TextField, NumberField, ChoiceField, TeamField, ListField>;

/// One member of a row of the document, as a form shows it.
struct FormField
{
  std::string_view member_;
  std::string_view label_;
  std::string_view hint_;
  FieldType type_;
};

/// @return the fields of a section's rows, in the order of the form.
std::span<const FormField> FieldsOf(DocumentSection aSection);

/// @return the text that the form shows for a member.
std::string FieldText(const FormField& aField, const boost::json::object& aRow);

/// @return the row that a submitted form describes. What is no number stays a
/// text, so that the document's reader faults it in its own words; an empty
/// number is left out and takes the default.
boost::json::object RowFromForm(DocumentSection aSection,
                                const FormData& aForm);

/// @return the row with which a new form starts.
boost::json::object DefaultRow(DocumentSection aSection);

} // namespace foxtail

#endif // OPERATOR_FORMFIELDS_H
