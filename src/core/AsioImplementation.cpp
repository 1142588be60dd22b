// Implementation of Boost.Asio and Boost.Beast for separate compilation.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
