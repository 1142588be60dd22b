#ifndef BACKEND_JSONSYNTAX_H
#define BACKEND_JSONSYNTAX_H

#include <string_view>

namespace foxtail {

/// Checks that @p aText is exactly one JSON value, without building it.
///
/// @return false also when it is nested too deep or is not UTF-8.
bool IsWellFormedJson(std::string_view aText);

} // namespace foxtail

#endif // BACKEND_JSONSYNTAX_H
