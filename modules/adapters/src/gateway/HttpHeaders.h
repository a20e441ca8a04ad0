#pragma once

#include <oleander/gateway/HttpMessage.h>

#include <boost/beast/http/fields.hpp>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace oleander {

/// Whether a field concerns one connection only and is not handed on.
[[nodiscard]] bool isConnectionField(std::string_view name);

/// The fields to hand on: all but those of the connection, those that the connection's own field
/// names, and `excluded`.
[[nodiscard]] std::vector<gateway::HttpField>
endToEndFields(const boost::beast::http::fields &fields, std::span<const std::string> excluded);

} // namespace oleander
