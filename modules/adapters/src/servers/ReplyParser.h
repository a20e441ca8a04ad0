#pragma once

#include "Asio.h"

#include <string>

namespace oleander {

/// Beast's HTTP parser for one reply of a backend server. Keeps the status and the body only, so
/// that no header field costs an allocation. The body goes to a string that the owner reuses.
class ReplyParser final : public http::basic_parser<false>
{
public:
    /// Replies with larger bodies fail with http::error::body_limit.
    ReplyParser(std::string &body, std::size_t maximumBodyBytes);

    [[nodiscard]] int status() const { return m_status; }

private:
    using Error = boost::system::error_code;
    using Text = beast::string_view;

    void on_request_impl(http::verb, Text, Text, int, Error &) override {}
    void on_response_impl(int code, Text, int, Error &) override { m_status = code; }
    void on_field_impl(http::field, Text, Text, Error &) override {}
    void on_header_impl(Error &) override {}
    void on_body_init_impl(const boost::optional<std::uint64_t> &length, Error &) override;
    std::size_t on_body_impl(Text bytes, Error &) override;
    void on_chunk_header_impl(std::uint64_t, Text, Error &) override {}
    std::size_t on_chunk_body_impl(std::uint64_t, Text bytes, Error &error) override;
    void on_finish_impl(Error &) override {}

    std::string &m_body;
    const std::size_t m_maximumBodyBytes;
    int m_status = 0;
};

} // namespace oleander
