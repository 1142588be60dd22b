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

/// One fault of a document.
struct JsonFault
{
  /// JSON pointer of the place, such as /services/0/deadline_ms.
  std::string path_;
  /// What is wrong and what to give instead.
  std::string message_;
};

/// Collects every fault of one document, so that all are told at once.
class JsonFaults
{
public:
  void Add(std::string aPath, std::string aMessage);

  bool IsEmpty() const { return faults_.empty(); }
  const std::vector<JsonFault>& List() const { return faults_; }

  /// @return ok, or an error of @p aKind that names @p aWhat and each fault.
  absl::Status ToStatus(ErrorKind aKind, std::string_view aWhat) const;

private:
  std::vector<JsonFault> faults_;
};

/// Typed reader of one JSON object. Each getter returns the default on a fault
/// and notes the fault; Finish() notes the members that nobody asked for. Not
/// thread safe; lives no longer than the value and the faults that it refers
/// to.
class JsonReader
{
public:
  /// @param aPath JSON pointer of @p aValue; empty for the root.
  JsonReader(const boost::json::value& aValue,
             std::string aPath,
             JsonFaults& aFaults);

  bool Has(std::string_view aName) const;

  /// Required string of 1 to @p aMaxLength bytes.
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
  /// A whole number of milliseconds.
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

  /// Calls @p aVisit(JsonReader&) for the member object; when it is absent,
  /// nothing is called.
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

  /// Notes a fault of the member @p aName, found by the caller.
  void Fault(std::string_view aName, std::string aMessage);
  std::string PathOf(std::string_view aName) const;
  const std::string& Path() const { return path_; }

  /// Notes each member that no getter asked for. Call it once, last.
  void Finish();

private:
  const boost::json::value* FindMember(std::string_view aName);
  const boost::json::array* FindArray(std::string_view aName, size_t aMaxCount);

  const boost::json::object* object_ = nullptr;
  std::string path_;
  JsonFaults& faults_;
  std::vector<std::string> requestedNames_;
};

/// Parses JSON text that may come from outside: depth and size are bounded and
/// repeated member names are refused.
///
/// @param aWhat names the source in the message.
absl::StatusOr<boost::json::value> ParseJson(std::string_view aText,
                                             std::string_view aWhat,
                                             ErrorKind aKind);

/// Reads a whole file.
absl::StatusOr<std::string> ReadFile(const std::string& aPath);

} // namespace foxtail

#endif // CORE_JSONREADER_H
