#include "ReplyParser.h"

namespace oleander {

namespace {
constexpr std::uint32_t maximumHeaderBytes = 4096;
}

ReplyParser::ReplyParser(std::string &body, std::size_t maximumBodyBytes)
    : m_body(body)
    , m_maximumBodyBytes(maximumBodyBytes)
{
    m_body.clear();
    eager(true);
    header_limit(maximumHeaderBytes);
    body_limit(maximumBodyBytes);
}

void ReplyParser::on_body_init_impl(const boost::optional<std::uint64_t> &length, Error &error)
{
    // Beast 1.74 forgets its own limit when body bytes come along with the header.
    if (length && *length > m_maximumBodyBytes)
        error = http::error::body_limit;
    else if (length)
        m_body.reserve(*length);
}

std::size_t ReplyParser::on_body_impl(Text bytes, Error &error)
{
    if (bytes.size() > m_maximumBodyBytes - m_body.size()) {
        error = http::error::body_limit;
        return 0;
    }
    m_body.append(bytes.data(), bytes.size());
    return bytes.size();
}

std::size_t ReplyParser::on_chunk_body_impl(std::uint64_t, Text bytes, Error &error)
{
    return on_body_impl(bytes, error);
}

} // namespace oleander
