#include "standin/Catalogue.h"

#include "core/JsonReader.h"

namespace foxtail {
namespace {

std::string MemberOf(const boost::json::object& aObject, std::string_view aName)
{
  const auto* value = aObject.if_contains(aName);
  if (value == nullptr || !value->is_string()) {
    return {};
  }
  return std::string(value->get_string());
}

} // namespace

CatalogueQuery CatalogueQuery::Parse(std::string_view aBody)
{
  boost::system::error_code error;
  const auto value = boost::json::parse(aBody, error);
  if (error || !value.is_object()) {
    return {};
  }
  const auto& object = value.get_object();
  return { MemberOf(object, "token"), MemberOf(object, "query") };
}

absl::StatusOr<Catalogue> Catalogue::Load(const std::string& aPath)
{
  const auto text = ReadFile(aPath);
  if (!text.ok()) {
    return text.status();
  }
  const auto value =
    ParseJson(*text, "catalogue " + aPath, ErrorKind::InvalidSettings);
  if (!value.ok()) {
    return value.status();
  }
  if (!value->is_array()) {
    return MakeError(ErrorKind::InvalidSettings,
                     "catalogue " + aPath + " is no JSON array; give one");
  }
  Catalogue catalogue;
  for (const auto& entry : value->get_array()) {
    catalogue.entries_.push_back(boost::json::serialize(entry));
  }
  return catalogue;
}

std::string Catalogue::Find(uint32_t aShard,
                            uint32_t aShardCount,
                            std::string_view aText) const
{
  std::string found = "[";
  for (size_t i = aShard; i < entries_.size(); i += aShardCount) {
    if (!aText.empty() && entries_[i].find(aText) == std::string::npos) {
      continue;
    }
    found += found.size() > 1 ? "," : "";
    found += entries_[i];
  }
  return found + "]";
}

} // namespace foxtail
