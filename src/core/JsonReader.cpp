#include "core/JsonReader.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>
#include <unordered_set>

namespace foxtail {
namespace {

constexpr size_t kMaxJsonDepth = 32;

std::string RangeText(int64_t aLow, int64_t aHigh)
{
  return "give a whole number from " + std::to_string(aLow) + " to " +
         std::to_string(aHigh);
}

std::string RangeText(double aLow, double aHigh)
{
  std::ostringstream text;
  text << "give a number from " << aLow << " to " << aHigh;
  return text.str();
}

} // namespace

void JsonFaults::Add(std::string aPath, std::string aMessage)
{
  faults_.push_back({ std::move(aPath), std::move(aMessage) });
}

absl::Status JsonFaults::ToStatus(ErrorKind aKind, std::string_view aWhat) const
{
  if (faults_.empty()) {
    return absl::OkStatus();
  }
  std::string text(aWhat);
  for (size_t i = 0; i < faults_.size(); ++i) {
    text += i == 0 ? ": " : "; ";
    text += faults_[i].path_.empty() ? "/" : faults_[i].path_;
    text += " " + faults_[i].message_;
  }
  return MakeError(aKind, text);
}

JsonReader::JsonReader(const boost::json::value& aValue,
                       std::string aPath,
                       JsonFaults& aFaults)
  : object_(aValue.if_object())
  , path_(std::move(aPath))
  , faults_(aFaults)
{
  if (object_ == nullptr) {
    faults_.Add(path_, "is not an object; give { ... }");
  }
}

std::string JsonReader::PathOf(std::string_view aName) const
{
  return path_ + "/" + std::string(aName);
}

void JsonReader::Fault(std::string_view aName, std::string aMessage)
{
  faults_.Add(PathOf(aName), std::move(aMessage));
}

bool JsonReader::Has(std::string_view aName) const
{
  return object_ != nullptr && object_->contains(aName);
}

const boost::json::value* JsonReader::FindMember(std::string_view aName)
{
  requestedNames_.emplace_back(aName);
  return object_ == nullptr ? nullptr : object_->if_contains(aName);
}

const boost::json::array* JsonReader::FindArray(std::string_view aName,
                                                size_t aMaxCount)
{
  const boost::json::value* value = FindMember(aName);
  if (value == nullptr) {
    return nullptr;
  }
  const boost::json::array* array = value->if_array();
  if (array == nullptr) {
    Fault(aName, "is not an array; give [ ... ]");
    return nullptr;
  }
  if (array->size() > aMaxCount) {
    Fault(aName,
          "has " + std::to_string(array->size()) + " entries; give at most " +
            std::to_string(aMaxCount));
    return nullptr;
  }
  return array;
}

std::string JsonReader::RequiredString(std::string_view aName,
                                       size_t aMaxLength)
{
  if (object_ != nullptr && !Has(aName)) {
    requestedNames_.emplace_back(aName);
    Fault(aName, "is missing; give a string");
    return {};
  }
  std::string text = String(aName, {}, aMaxLength);
  if (text.empty() && object_ != nullptr && object_->at(aName).is_string()) {
    Fault(aName, "is empty; give a string of at least one character");
  }
  return text;
}

std::string JsonReader::String(std::string_view aName,
                               std::string_view aDefault,
                               size_t aMaxLength)
{
  const boost::json::value* value = FindMember(aName);
  if (value == nullptr) {
    return std::string(aDefault);
  }
  if (!value->is_string()) {
    Fault(aName, "is not a string; give \"...\"");
    return std::string(aDefault);
  }
  const auto& text = value->get_string();
  if (text.size() > aMaxLength) {
    Fault(aName,
          "is too long; give at most " + std::to_string(aMaxLength) + " bytes");
    return std::string(aDefault);
  }
  return { text.data(), text.size() };
}

bool JsonReader::Bool(std::string_view aName, bool aDefault)
{
  const boost::json::value* value = FindMember(aName);
  if (value == nullptr) {
    return aDefault;
  }
  if (!value->is_bool()) {
    Fault(aName, "is not a boolean; give true or false");
    return aDefault;
  }
  return value->get_bool();
}

int64_t JsonReader::Integer(std::string_view aName,
                            int64_t aDefault,
                            int64_t aLow,
                            int64_t aHigh)
{
  const boost::json::value* value = FindMember(aName);
  if (value == nullptr) {
    return aDefault;
  }
  boost::json::error_code error;
  const auto number = value->to_number<int64_t>(error);
  if (error || value->is_double()) {
    Fault(aName, "is not a whole number; " + RangeText(aLow, aHigh));
    return aDefault;
  }
  if (number < aLow || number > aHigh) {
    Fault(aName,
          "is " + std::to_string(number) + "; " + RangeText(aLow, aHigh));
    return aDefault;
  }
  return number;
}

int64_t JsonReader::RequiredInteger(std::string_view aName,
                                    int64_t aLow,
                                    int64_t aHigh)
{
  if (object_ != nullptr && !Has(aName)) {
    requestedNames_.emplace_back(aName);
    Fault(aName, "is missing; " + RangeText(aLow, aHigh));
    return aLow;
  }
  return Integer(aName, aLow, aLow, aHigh);
}

double JsonReader::Number(std::string_view aName,
                          double aDefault,
                          double aLow,
                          double aHigh)
{
  const boost::json::value* value = FindMember(aName);
  if (value == nullptr) {
    return aDefault;
  }
  boost::json::error_code error;
  const auto number = value->to_number<double>(error);
  if (error || !std::isfinite(number) || number < aLow || number > aHigh) {
    Fault(aName, "is out of range; " + RangeText(aLow, aHigh));
    return aDefault;
  }
  return number;
}

milliseconds JsonReader::Millis(std::string_view aName,
                                milliseconds aDefault,
                                milliseconds aLow,
                                milliseconds aHigh)
{
  return milliseconds(
    Integer(aName, aDefault.count(), aLow.count(), aHigh.count()));
}

std::vector<std::string> JsonReader::Strings(std::string_view aName,
                                             size_t aMaxCount)
{
  std::vector<std::string> texts;
  const boost::json::array* array = FindArray(aName, aMaxCount);
  for (size_t i = 0; array != nullptr && i < array->size(); ++i) {
    const boost::json::value& element = (*array)[i];
    if (!element.is_string() || element.get_string().empty()) {
      Fault(std::string(aName) + "/" + std::to_string(i),
            "is not a non-empty string; give \"...\"");
      continue;
    }
    texts.emplace_back(element.get_string());
  }
  return texts;
}

void JsonReader::Finish()
{
  if (object_ == nullptr) {
    return;
  }
  for (const auto& member : *object_) {
    const std::string name(member.key());
    if (std::find(requestedNames_.begin(), requestedNames_.end(), name) ==
        requestedNames_.end()) {
      Fault(name, "is not a known member; remove it or correct its name");
    }
  }
}

namespace {

// Detects objects with duplicate member names. Boost.JSON keeps only the last
// of two members with the same name, so a person who reads the document could
// take the first value to be in effect while the program uses the last.
class DuplicateMemberDetector
{
public:
  explicit DuplicateMemberDetector(std::string_view aText)
    : text_(aText)
  {
  }

  bool HasDuplicate()
  {
    // Sets, because an object may have hundreds of thousands of members.
    std::vector<std::unordered_set<std::string_view>> names;
    for (size_t i = 0; i < text_.size(); ++i) {
      const char c = text_[i];
      if (c == '{') {
        names.emplace_back();
      } else if (c == '}' && !names.empty()) {
        names.pop_back();
      } else if (c == '"') {
        const std::string_view name = ReadString(i);
        if (IsMemberName(i) && !names.empty() &&
            !names.back().insert(name).second) {
          return true;
        }
      }
    }
    return false;
  }

private:
  // Reads the string that starts at aIndex and leaves aIndex on the closing
  // quote.
  std::string_view ReadString(size_t& aIndex) const
  {
    const size_t start = aIndex;
    for (++aIndex; aIndex < text_.size() && text_[aIndex] != '"'; ++aIndex) {
      if (text_[aIndex] == '\\') {
        ++aIndex;
      }
    }
    return text_.substr(start, aIndex - start);
  }

  bool IsMemberName(size_t aClosingQuote) const
  {
    const size_t next = text_.find_first_not_of(" \t\r\n", aClosingQuote + 1);
    return next != std::string_view::npos && text_[next] == ':';
  }

  std::string_view text_;
};

} // namespace

absl::StatusOr<boost::json::value> ParseJson(std::string_view aText,
                                             std::string_view aWhat,
                                             ErrorKind aKind)
{
  boost::json::parse_options options;
  options.max_depth = kMaxJsonDepth;
  boost::json::error_code error;
  boost::json::value value = boost::json::parse(aText, error, {}, options);
  if (error) {
    return MakeError(aKind,
                     std::string(aWhat) + ": is not JSON (" + error.message() +
                       "); give one JSON value in UTF-8");
  }
  if (DuplicateMemberDetector(aText).HasDuplicate()) {
    return MakeError(
      aKind,
      std::string(aWhat) +
        ": an object has two members of one name; keep one of them");
  }
  return value;
}

absl::StatusOr<std::string> ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return MakeError(ErrorKind::NotFound,
                     "cannot read " + aPath +
                       "; check that the file exists and may be read");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

} // namespace foxtail
