#include "backend/ReplyParser.h"

#include "core/ReplyStatus.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <charconv>

namespace foxtail {
namespace {

constexpr std::string_view kPrefix = "Foxtail-";

// An attempt id that is no whole number is no attempt's.
uint64_t ParseAttemptId(std::string_view aText)
{
  uint64_t value = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, value);
  return parsed.ec == std::errc() && parsed.ptr == end ? value : 0;
}

} // namespace

ReplyParser::ReplyParser(uint64_t aMaxBodyBytes)
{
  header_limit(kMaxHeaderBytes);
  body_limit(aMaxBodyBytes);
  eager(true);
}

void ReplyParser::on_response_impl(int aCode, Text, int, Error& aError)
{
  status_ = static_cast<unsigned>(aCode);
  if (ClassifyStatus(status_) == ReplyStatusClass::Undefined) {
    aError = make_error_code(boost::beast::http::error::bad_status);
  }
}

bool ReplyParser::IsInformational() const
{
  return is_done() &&
         ClassifyStatus(status_) == ReplyStatusClass::Informational;
}

void ReplyParser::on_field_impl(Field, Text aName, Text aValue, Error&)
{
  namespace beast = boost::beast;
  if (aName.size() <= kPrefix.size() ||
      !beast::iequals(aName.substr(0, kPrefix.size()),
                      Text(kPrefix.data(), kPrefix.size()))) {
    return;
  }
  const Text name = aName.substr(kPrefix.size());
  const std::string_view value(aValue.data(), aValue.size());
  if (beast::iequals(name, "Attempt")) {
    // Two headers that differ name no attempt.
    const uint64_t id = ParseAttemptId(value);
    attempt_ = !hasAttempt_ || attempt_ == id ? id : 0;
    hasAttempt_ = true;
  } else if (beast::iequals(name, "Version")) {
    version_ = value;
  } else if (beast::iequals(name, "Shard")) {
    shard_ = value;
  } else if (beast::iequals(name, "Load")) {
    load_ = ReportedLoad::Parse(value);
  } else if (beast::iequals(name, "Outcome")) {
    isNotRun_ = value == "not_run";
  } else if (beast::iequals(name, "Reason")) {
    reason_ = value;
  }
}

void ReplyParser::on_body_init_impl(
  const boost::optional<std::uint64_t>& aLength,
  Error&)
{
  // The stated length is not trusted with memory beyond this.
  constexpr uint64_t kMaxReservedBytes = 64 * 1024;
  if (aLength) {
    body_.reserve(std::min<uint64_t>(*aLength, kMaxReservedBytes));
  }
}

std::size_t ReplyParser::on_body_impl(Text aBody, Error&)
{
  body_.append(aBody.data(), aBody.size());
  return aBody.size();
}

std::size_t ReplyParser::on_chunk_body_impl(std::uint64_t, Text aBody, Error&)
{
  body_.append(aBody.data(), aBody.size());
  return aBody.size();
}

} // namespace foxtail
