#pragma once

#include "../servers/Asio.h"
#include "concurrency/GrowingStringBody.h"

#include <oleander/adapters/platform/AsioPlatformReader.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oleander {

/// Bytes that were read and are no whole piece of a response yet, such as a line. Bodies do not
/// count.
constexpr std::size_t maximumUnparsedBytes = std::size_t{128} * 1024;

/// Addresses and limits shared by all calls of one reader.
struct PlatformEndpoints
{
    std::vector<std::string> addresses;
    PlatformReaderLimits limits;
    /// Index of the address that last gave a valid response.
    std::size_t preferred = 0;
};

/// One call to the configuration service: tries the addresses in turn until one responds.
class PlatformCall : public std::enable_shared_from_this<PlatformCall>
{
public:
    /// The call holds only a weak reference to the service, and does not run the callback after the
    /// reader has been destroyed.
    PlatformCall(asio::io_context &context, const std::shared_ptr<PlatformEndpoints> &service,
                 std::string target, Duration wait, PlatformCallback callback);

    void start();

private:
    using Error = boost::system::error_code;

    void tryNextAddress();
    void onConnected(const Error &error);
    void onWritten(const Error &error);
    void onHeader(const Error &error);
    void onRead(const Error &error);
    [[nodiscard]] std::optional<PlatformValue> result() const;
    void finish(PlatformValue value);

    asio::io_context &m_context;
    std::weak_ptr<PlatformEndpoints> m_service;
    std::string m_target;
    Duration m_wait;
    PlatformCallback m_callback;
    std::optional<beast::tcp_stream> m_stream;
    std::size_t m_tried = 0;
    std::size_t m_address = 0;
    http::request<http::empty_body> m_request;
    beast::flat_buffer m_buffer{maximumUnparsedBytes};
    std::optional<http::response_parser<GrowingStringBody>> m_parser;
};

} // namespace oleander
