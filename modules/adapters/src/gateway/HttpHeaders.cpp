#include "gateway/HttpHeaders.h"

#include "concurrency/AsioHeaders.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <array>

namespace oleander {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

/// RFC 9110, section 7.6.1, and the fields that frame a message anew on each connection.
constexpr std::array connectionFields{
    "connection",         "keep-alive", "proxy-connection", "te",     "trailer",
    "transfer-encoding",  "upgrade",    "content-length",   "expect", "proxy-authenticate",
    "proxy-authorization"};

bool isSame(std::string_view left, std::string_view right)
{
    return beast::iequals({left.data(), left.size()}, {right.data(), right.size()});
}

} // namespace

bool isConnectionField(std::string_view name)
{
    return std::ranges::any_of(connectionFields,
                               [name](const char *field) { return isSame(name, field); });
}

std::vector<gateway::HttpField> endToEndFields(const http::fields &fields,
                                               std::span<const std::string> excluded)
{
    http::token_list named(fields[http::field::connection]);
    std::vector<gateway::HttpField> kept;
    for (const auto &field : fields) {
        const std::string_view name(field.name_string().data(), field.name_string().size());
        const bool isExcluded =
            isConnectionField(name)
            || std::ranges::any_of(excluded,
                                   [name](const auto &other) { return isSame(name, other); })
            || named.exists({name.data(), name.size()});
        if (!isExcluded)
            kept.push_back({std::string(name), std::string(field.value())});
    }
    return kept;
}

} // namespace oleander
