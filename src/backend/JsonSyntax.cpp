#include "backend/JsonSyntax.h"

#include <boost/json/basic_parser_impl.hpp>

namespace foxtail {
namespace {

constexpr size_t kMaxDepth = 32;

// Accepts every event and keeps nothing.
struct NullHandler
{
  using Text = boost::json::string_view;
  using Error = boost::system::error_code;

  // NOLINTBEGIN(readability-identifier-naming): names that Boost.JSON calls.
  static constexpr size_t max_object_size = static_cast<size_t>(-1);
  static constexpr size_t max_array_size = static_cast<size_t>(-1);
  static constexpr size_t max_key_size = static_cast<size_t>(-1);
  static constexpr size_t max_string_size = static_cast<size_t>(-1);

  bool on_document_begin(Error&) { return true; }
  bool on_document_end(Error&) { return true; }
  bool on_object_begin(Error&) { return true; }
  bool on_object_end(size_t, Error&) { return true; }
  bool on_array_begin(Error&) { return true; }
  bool on_array_end(size_t, Error&) { return true; }
  bool on_key_part(Text, size_t, Error&) { return true; }
  bool on_key(Text, size_t, Error&) { return true; }
  bool on_string_part(Text, size_t, Error&) { return true; }
  bool on_string(Text, size_t, Error&) { return true; }
  bool on_number_part(Text, Error&) { return true; }
  bool on_int64(int64_t, Text, Error&) { return true; }
  bool on_uint64(uint64_t, Text, Error&) { return true; }
  bool on_double(double, Text, Error&) { return true; }
  bool on_bool(bool, Error&) { return true; }
  bool on_null(Error&) { return true; }
  bool on_comment_part(Text, Error&) { return true; }
  bool on_comment(Text, Error&) { return true; }
  // NOLINTEND(readability-identifier-naming)
};

} // namespace

bool IsWellFormedJson(std::string_view aText)
{
  boost::json::parse_options options;
  options.max_depth = kMaxDepth;
  boost::json::basic_parser<NullHandler> parser(options);
  boost::system::error_code error;
  const size_t used =
    parser.write_some(false, aText.data(), aText.size(), error);
  return !error && used == aText.size();
}

} // namespace foxtail
