#include "operator/FormData.h"

#include "core/Error.h"

#include <absl/strings/str_split.h>
#include <charconv>

namespace foxtail {
namespace {

constexpr size_t kMaxFields = 200;

absl::StatusOr<std::string> Decode(std::string_view aText)
{
  constexpr size_t kEscapeLength = 2;
  constexpr int kHex = 16;
  std::string text;
  for (size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '+') {
      text += ' ';
      continue;
    }
    if (aText[i] != '%') {
      text += aText[i];
      continue;
    }
    const std::string_view digits = aText.substr(i + 1, kEscapeLength);
    unsigned char value = 0;
    const auto parsed = std::from_chars(
      digits.data(), digits.data() + digits.size(), value, kHex);
    if (digits.size() != kEscapeLength ||
        parsed.ptr != digits.data() + kEscapeLength) {
      return MakeError(ErrorKind::InvalidRequest,
                       "the form has a wrong escape; send it from the page");
    }
    text += static_cast<char>(value);
    i += kEscapeLength;
  }
  return text;
}

} // namespace

absl::StatusOr<FormData> FormData::Parse(std::string_view aText)
{
  FormData form;
  for (const absl::string_view field :
       absl::StrSplit(absl::string_view(aText.data(), aText.size()),
                      '&',
                      absl::SkipEmpty())) {
    const std::pair<std::string, std::string> parts =
      absl::StrSplit(field, absl::MaxSplits('=', 1));
    auto name = Decode(parts.first);
    auto value = Decode(parts.second);
    if (!name.ok() || !value.ok()) {
      return name.ok() ? value.status() : name.status();
    }
    if (!form.fields_.emplace(std::move(*name), std::move(*value)).second) {
      return MakeError(ErrorKind::InvalidRequest,
                       "the form has a field twice; send it from the page");
    }
    if (form.fields_.size() > kMaxFields) {
      return MakeError(ErrorKind::InvalidRequest,
                       "the form has too many fields; send it from the page");
    }
  }
  return form;
}

std::string FormData::Get(const std::string& aName) const
{
  const auto found = fields_.find(aName);
  return found == fields_.end() ? std::string() : found->second;
}

} // namespace foxtail
