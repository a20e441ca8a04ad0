#pragma once

/// Boost.Asio and Beast for the stand-ins. Asio 1.74 needs <utility> before it in C++20.

// clang-format off
#include <utility>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
// clang-format on

namespace oleander::standins {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

} // namespace oleander::standins
