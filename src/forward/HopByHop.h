#ifndef FORWARD_HOPBYHOP_H
#define FORWARD_HOPBYHOP_H

#include <boost/beast/http/fields.hpp>
#include <span>
#include <string>

namespace foxtail {

/// Appends the header lines that concern more than one connection. Left out are
/// those of the connection and those that it names, the length, which is set
/// anew, and @p aExcept.
void AppendEndToEndHeaders(std::string& aOut,
                           const boost::beast::http::fields& aHeaders,
                           std::span<const std::string> aExcept);

} // namespace foxtail

#endif // FORWARD_HOPBYHOP_H
