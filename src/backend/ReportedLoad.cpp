#include "backend/ReportedLoad.h"

#include <charconv>

namespace foxtail {
namespace {

bool ParseNumber(std::string_view aText, uint32_t& aTarget)
{
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, aTarget);
  return parsed.ec == std::errc() && parsed.ptr == end;
}

bool ParseMember(std::string_view aName,
                 std::string_view aValue,
                 ReportedLoad& aLoad)
{
  if (aName == "in_flight") {
    return ParseNumber(aValue, aLoad.inFlight_);
  }
  if (aName == "queued") {
    return ParseNumber(aValue, aLoad.queued_);
  }
  if (aName == "slots") {
    return ParseNumber(aValue, aLoad.slots_);
  }
  if (aName == "state") {
    const auto state = FromName<BackendState>(aValue);
    aLoad.state_ = state.value_or(BackendState::Ready);
    return state.has_value();
  }
  return true;
}

} // namespace

std::optional<ReportedLoad> ReportedLoad::Parse(std::string_view aText)
{
  ReportedLoad load;
  while (!aText.empty()) {
    const size_t space = aText.find(' ');
    const std::string_view member = aText.substr(0, space);
    aText = space == std::string_view::npos ? std::string_view()
                                            : aText.substr(space + 1);
    if (member.empty()) {
      continue;
    }
    const size_t equals = member.find('=');
    if (equals == std::string_view::npos ||
        !ParseMember(
          member.substr(0, equals), member.substr(equals + 1), load)) {
      return std::nullopt;
    }
  }
  return load;
}

} // namespace foxtail
