#ifndef FORWARD_HOPBYHOP_H
#define FORWARD_HOPBYHOP_H

#include <boost/beast/http/fields.hpp>
#include <span>
#include <string>
#include <string_view>

namespace foxtail {

/// Appends the end-to-end header lines of @p aHeaders to @p aOut. It omits
/// hop-by-hop headers, those listed in the Connection header, Content-Length,
/// which is set again, and those in @p aExcept.
void AppendEndToEndHeaders(std::string& aOut,
                           const boost::beast::http::fields& aHeaders,
                           std::span<const std::string> aExcept);

/// @return the header lines of @p aHeaders, each terminated by CRLF, without
/// those in @p aExcept.
std::string WithoutHeaders(std::string_view aHeaders,
                           std::span<const std::string_view> aExcept);

} // namespace foxtail

#endif // FORWARD_HOPBYHOP_H
