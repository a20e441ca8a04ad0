#include "gateway/HttpHeaders.h"

#include "concurrency/AsioHeaders.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <array>
#include <unordered_set>

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

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::ranges::transform(lower, lower.begin(), [](char character) {
        return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a')
                                                    : character;
    });
    return lower;
}

/// The names of fields that concern one connection only, in lower case, as the Connection field
/// lists them. Each token is read once, since a head may have thousands of them and of fields.
std::unordered_set<std::string> namedByConnection(const http::fields &fields)
{
    std::unordered_set<std::string> names;
    const auto [begin, end] = fields.equal_range(http::field::connection);
    for (auto field = begin; field != end; ++field) {
        for (const auto &token : http::token_list(field->value()))
            names.insert(lowerCase({token.data(), token.size()}));
    }
    return names;
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
    const auto named = namedByConnection(fields);
    std::vector<gateway::HttpField> kept;
    for (const auto &field : fields) {
        const std::string_view name(field.name_string().data(), field.name_string().size());
        const bool isExcluded =
            isConnectionField(name)
            || std::ranges::any_of(excluded,
                                   [name](const auto &other) { return isSame(name, other); })
            || (!named.empty() && named.contains(lowerCase(name)));
        if (!isExcluded)
            kept.push_back({std::string(name), std::string(field.value())});
    }
    return kept;
}

} // namespace oleander
