#pragma once

/// Boost.Asio and Beast for the adapters of this folder.
///
/// Asio 1.74 uses std::exchange in C++20 without including <utility>, so that header goes first.

// clang-format off
#include <utility>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
// clang-format on

namespace oleander {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

} // namespace oleander
