#ifndef OPERATOR_FORMDATA_H
#define OPERATOR_FORMDATA_H

#include <absl/status/statusor.h>
#include <map>
#include <string>
#include <string_view>

namespace foxtail {

/// Fields of a submitted form or of a target's query. Immutable.
class FormData
{
public:
  /// Parses application/x-www-form-urlencoded text.
  ///
  /// @return InvalidRequest for too many fields, a field given twice, or a
  /// wrong escape.
  static absl::StatusOr<FormData> Parse(std::string_view aText);

  bool Has(const std::string& aName) const { return fields_.contains(aName); }
  /// @return the field's value, or empty.
  std::string Get(const std::string& aName) const;

private:
  std::map<std::string, std::string> fields_;
};

} // namespace foxtail

#endif // OPERATOR_FORMDATA_H
