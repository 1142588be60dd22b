#include "operator/FormFields.h"

#include <charconv>
#include <sstream>

namespace foxtail {
namespace {

template<typename E>
ChoiceField ChoicesOf()
{
  ChoiceField field;
  for (const auto& row : EnumTable<E>::kRows) {
    field.choices_.push_back(row.name_);
  }
  return field;
}

const std::vector<FormField>& TeamFields()
{
  static const std::vector<FormField> kFields{
    { "name", "Name", "a-z, 0-9, dot, dash, underscore", TextField{} },
    { "weight",
      "Weight",
      "share of an overloaded entry instance, relative to other teams",
      NumberField{} },
    { "requests_per_second",
      "Requests a second",
      "quota at each entry instance; 0 for none",
      NumberField{} },
  };
  return kFields;
}

const std::vector<FormField>& ServiceFields()
{
  static const std::vector<FormField> kFields{
    { "name", "Name", "a-z, 0-9, dot, dash, underscore", TextField{} },
    { "team", "Team", "", TeamField{} },
    { "kind",
      "Kind",
      "a query is idempotent; an action runs at most once",
      ChoicesOf<ServiceKind>() },
    { "catalogues",
      "Catalogues",
      "one a line; an action has one",
      ListField{} },
    { "patience",
      "Patience",
      "complete: wait for every shard; prompt: answer at the soft deadline",
      ChoicesOf<Patience>() },
    { "deadline_ms", "Deadline, ms", "", NumberField{} },
    { "max_deadline_ms",
      "Largest deadline, ms",
      "that a request may ask for",
      NumberField{} },
    { "soft_deadline_ms",
      "Soft deadline, ms",
      "of a prompt service",
      NumberField{} },
    { "min_coverage_percent",
      "Least coverage, %",
      "that a prompt answer needs at the soft deadline",
      NumberField{} },
    { "hedge_budget_percent",
      "Hedge budget, %",
      "of the requests sent; 0 for none",
      NumberField{} },
    { "hedge_quantile",
      "Hedge quantile",
      "of the learned latency, such as 0.95",
      NumberField{} },
    { "retry_budget_percent",
      "Retry budget, %",
      "of the requests sent",
      NumberField{} },
    { "max_attempts",
      "Attempts",
      "of one shard in one request",
      NumberField{} },
    { "queue_length",
      "Queue length",
      "requests that may wait in an entry instance",
      NumberField{} },
  };
  return kFields;
}

const std::vector<FormField>& RegionFields()
{
  static const std::vector<FormField> kFields{
    { "name", "Name", "a-z, 0-9, dot, dash, underscore", TextField{} },
    { "zones",
      "Availability zones",
      "one a line; these are near each other",
      ListField{} },
  };
  return kFields;
}

std::string Trim(std::string_view aText)
{
  const size_t first = aText.find_first_not_of(" \t\r\n");
  if (first == std::string_view::npos) {
    return {};
  }
  const size_t last = aText.find_last_not_of(" \t\r\n");
  return std::string(aText.substr(first, last - first + 1));
}

boost::json::array ParseLines(const std::string& aText)
{
  boost::json::array lines;
  std::istringstream stream(aText);
  for (std::string line; std::getline(stream, line);) {
    line = Trim(line);
    if (!line.empty()) {
      lines.emplace_back(line);
    }
  }
  return lines;
}

boost::json::value ParseNumber(const std::string& aText)
{
  const char* end = aText.data() + aText.size();
  int64_t whole = 0;
  const auto asWhole = std::from_chars(aText.data(), end, whole);
  if (asWhole.ec == std::errc() && asWhole.ptr == end) {
    return whole;
  }
  double number = 0;
  const auto asNumber = std::from_chars(aText.data(), end, number);
  if (asNumber.ec == std::errc() && asNumber.ptr == end) {
    return number;
  }
  return boost::json::value(aText);
}

/// Puts a submitted text into a row, as its field's type wants it.
class RowSetter
{
public:
  RowSetter(boost::json::object& aRow,
            std::string_view aMember,
            const std::string& aText)
    : row_(aRow)
    , member_(aMember)
    , text_(aText)
  {
  }

  void operator()(const TextField& /*aField*/) { row_[member_] = Trim(text_); }
  void operator()(const ChoiceField& /*aField*/) { row_[member_] = text_; }
  void operator()(const TeamField& /*aField*/) { row_[member_] = text_; }
  void operator()(const ListField& /*aField*/)
  {
    row_[member_] = ParseLines(text_);
  }
  void operator()(const NumberField& /*aField*/)
  {
    const std::string text = Trim(text_);
    if (!text.empty()) {
      row_[member_] = ParseNumber(text);
    }
  }

private:
  boost::json::object& row_;
  std::string_view member_;
  const std::string& text_;
};

} // namespace

std::span<const FormField> FieldsOf(DocumentSection aSection)
{
  switch (aSection) {
    case DocumentSection::Teams:
      return TeamFields();
    case DocumentSection::Services:
      return ServiceFields();
    case DocumentSection::Regions:
      break;
  }
  return RegionFields();
}

std::string FieldText(const FormField& aField, const boost::json::object& aRow)
{
  const boost::json::value* value = aRow.if_contains(aField.member_);
  if (value == nullptr) {
    return {};
  }
  const auto* array = value->if_array();
  if (array == nullptr) {
    return ReadableValue(*value);
  }
  std::string lines;
  for (const auto& element : *array) {
    lines += (lines.empty() ? "" : "\n") + ReadableValue(element);
  }
  return lines;
}

boost::json::object RowFromForm(DocumentSection aSection, const FormData& aForm)
{
  boost::json::object row;
  for (const FormField& field : FieldsOf(aSection)) {
    const std::string text = aForm.Get(std::string(field.member_));
    std::visit(RowSetter(row, field.member_, text), field.type_);
  }
  return row;
}

boost::json::object DefaultRow(DocumentSection aSection)
{
  Document document;
  switch (aSection) {
    case DocumentSection::Teams:
      document.teams_.emplace_back();
      break;
    case DocumentSection::Services:
      document.services_.emplace_back();
      break;
    case DocumentSection::Regions:
      document.regions_.emplace_back();
      break;
  }
  return ToJson(document).at(NameOf(aSection)).at(0).as_object();
}

} // namespace foxtail
