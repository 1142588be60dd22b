#ifndef CORE_JSONREADER_H
#define CORE_JSONREADER_H

#include "core/EnumTable.h"
#include "core/Error.h"
#include "core/Time.h"

#include <absl/status/statusor.h>
#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace foxtail {

/// One fault found in a JSON document.
struct JsonFault
{
  /// JSON pointer of the faulty value, such as /services/0/deadline_ms.
  std::string path_;
  /// Describes the fault and the value that is expected instead.
  std::string message_;
};

/// Collects all faults of one document, so that they are reported together.
class JsonFaults
{
public:
  void Add(std::string aPath, std::string aMessage);

  bool IsEmpty() const { return faults_.empty(); }
  const std::vector<JsonFault>& List() const { return faults_; }

  /// @return ok when there is no fault, else an error of @p aKind that lists
  /// each fault.
  /// @param aWhat name of the document in the message.
  absl::Status ToStatus(ErrorKind aKind, std::string_view aWhat) const;

private:
  std::vector<JsonFault> faults_;
};

/// Typed reader of one JSON object. On a fault, a getter records the fault and
/// returns the default value; Finish() records a fault for each member that no
/// getter read. Not thread safe. The value and the JsonFaults that the reader
/// refers to must outlive it.
class JsonReader
{
public:
  /// @param aPath JSON pointer of @p aValue; empty for the root.
  JsonReader(const boost::json::value& aValue,
             std::string aPath,
             JsonFaults& aFaults);

  bool Has(std::string_view aName) const;

  /// Reads a required string of 1 to @p aMaxLength bytes.
  std::string RequiredString(std::string_view aName, size_t aMaxLength = 256);
  std::string String(std::string_view aName,
                     std::string_view aDefault,
                     size_t aMaxLength = 4096);
  bool Bool(std::string_view aName, bool aDefault);
  int64_t Integer(std::string_view aName,
                  int64_t aDefault,
                  int64_t aLow,
                  int64_t aHigh);
  int64_t RequiredInteger(std::string_view aName, int64_t aLow, int64_t aHigh);
  double Number(std::string_view aName,
                double aDefault,
                double aLow,
                double aHigh);
  /// Reads a duration given as a whole number of milliseconds.
  milliseconds Millis(std::string_view aName,
                      milliseconds aDefault,
                      milliseconds aLow,
                      milliseconds aHigh);
  std::vector<std::string> Strings(std::string_view aName, size_t aMaxCount);

  template<typename E>
  E Enum(std::string_view aName, E aDefault)
  {
    const std::string text = String(aName, NameOf(aDefault));
    if (const auto value = FromName<E>(text)) {
      return *value;
    }
    std::string choices;
    for (const auto& row : EnumTable<E>::kRows) {
      choices += choices.empty() ? "" : ", ";
      choices += row.name_;
    }
    Fault(aName, "is \"" + text + "\"; give one of: " + choices);
    return aDefault;
  }

  /// Calls @p aVisit(JsonReader&) for the member object, unless the member is
  /// absent.
  template<typename Visit>
  void Object(std::string_view aName, Visit&& aVisit)
  {
    if (const boost::json::value* value = FindMember(aName)) {
      JsonReader reader(*value, PathOf(aName), faults_);
      aVisit(reader);
      reader.Finish();
    }
  }

  /// Calls @p aVisit(JsonReader&) for each object of the member array.
  template<typename Visit>
  void Objects(std::string_view aName, size_t aMaxCount, Visit&& aVisit)
  {
    const boost::json::array* array = FindArray(aName, aMaxCount);
    for (size_t i = 0; array != nullptr && i < array->size(); ++i) {
      JsonReader reader(
        (*array)[i], PathOf(aName) + "/" + std::to_string(i), faults_);
      aVisit(reader);
      reader.Finish();
    }
  }

  /// Records a fault that the caller found in the member @p aName.
  void Fault(std::string_view aName, std::string aMessage);
  std::string PathOf(std::string_view aName) const;
  const std::string& Path() const { return path_; }

  /// Records a fault for each member that no getter read. Call once, after all
  /// getters.
  void Finish();

private:
  const boost::json::value* FindMember(std::string_view aName);
  const boost::json::array* FindArray(std::string_view aName, size_t aMaxCount);

  const boost::json::object* object_ = nullptr;
  std::string path_;
  JsonFaults& faults_;
  std::vector<std::string> requestedNames_;
};

/// Parses JSON text from an untrusted source: the nesting depth is limited and
/// duplicate member names are rejected.
///
/// @param aWhat name of the source in the error message.
/// @param aKind kind of the error when parsing fails.
absl::StatusOr<boost::json::value> ParseJson(std::string_view aText,
                                             std::string_view aWhat,
                                             ErrorKind aKind);

/// Reads a whole file.
///
/// @return NotFound when the file cannot be opened.
absl::StatusOr<std::string> ReadFile(const std::string& aPath);

} // namespace foxtail

#endif // CORE_JSONREADER_H
