#ifndef STANDIN_CATALOGUE_H
#define STANDIN_CATALOGUE_H

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace foxtail {

/// What a request's body asks of a catalogue.
struct CatalogueQuery
{
  /// Echoed in the result, so that a checker can tell answers apart.
  std::string token_;
  /// Text to look for; empty for every entry.
  std::string text_;

  /// Reads the members "token" and "query"; anything else is left out.
  static CatalogueQuery Parse(std::string_view aBody);
};

/// Entries of one catalogue, immutable. Thread safe.
class Catalogue
{
public:
  Catalogue() = default;

  /// @param aPath names a file with a JSON array.
  /// @return InvalidSettings when it cannot be read.
  static absl::StatusOr<Catalogue> Load(const std::string& aPath);

  /// @return the entries of a shard that contain @p aText, as a JSON array.
  std::string Find(uint32_t aShard,
                   uint32_t aShardCount,
                   std::string_view aText) const;

private:
  /// Each entry as JSON text.
  std::vector<std::string> entries_;
};

} // namespace foxtail

#endif // STANDIN_CATALOGUE_H
