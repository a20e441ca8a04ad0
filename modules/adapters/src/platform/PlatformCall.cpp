#include "PlatformCall.h"

#include "../servers/Endpoint.h"

#include <charconv>

namespace oleander {

namespace {

constexpr std::uint32_t maximumHeaderBytes = 4096;
/// Reserved buffer size; Beast reads as much at once as fits into the buffer.
constexpr std::size_t readBytes = 65536;
constexpr std::string_view versionField = "X-Version";

std::optional<SectionVersion> parseVersion(beast::string_view text)
{
    std::uint64_t number = 0;
    const auto *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number);
    if (result.ec != std::errc{} || result.ptr != end || number == 0)
        return std::nullopt;
    return SectionVersion(number);
}

} // namespace

PlatformCall::PlatformCall(asio::io_context &context,
                           const std::shared_ptr<PlatformEndpoints> &service, std::string target,
                           Duration wait, PlatformCallback callback)
    : m_context(context)
    , m_service(service)
    , m_target(std::move(target))
    , m_wait(wait)
    , m_callback(std::move(callback))
    , m_address(service->preferred)
{
}

void PlatformCall::start()
{
    asio::post(m_context, [self = shared_from_this()]() { self->tryNextAddress(); });
}

void PlatformCall::tryNextAddress()
{
    const auto service = m_service.lock();
    if (!service)
        return;
    if (m_tried == service->addresses.size()) {
        finish({});
        return;
    }
    if (m_tried++ > 0)
        m_address = (m_address + 1) % service->addresses.size();

    Reason reason;
    const auto &address = service->addresses[m_address];
    const auto endpoint = parseEndpoint(address, reason);
    if (!endpoint) {
        tryNextAddress();
        return;
    }
    m_request = {http::verb::get, m_target, 11};
    m_request.set(http::field::host, address);
    m_request.set(http::field::connection, "close");
    m_stream.emplace(m_context);
    m_stream->expires_after(service->limits.connectTimeout);
    m_stream->async_connect(
        *endpoint, [self = shared_from_this()](const Error &error) { self->onConnected(error); });
}

void PlatformCall::onConnected(const Error &error)
{
    const auto service = m_service.lock();
    if (!service)
        return;
    if (error) {
        tryNextAddress();
        return;
    }
    m_stream->expires_after(service->limits.responseTimeout + m_wait);
    m_buffer.clear();
    m_buffer.reserve(readBytes);
    m_parser.emplace();
    m_parser->header_limit(maximumHeaderBytes);
    m_parser->body_limit(service->limits.maximumBodyBytes);
    http::async_write(*m_stream, m_request,
                      [self = shared_from_this()](const Error &writeError, std::size_t) {
                          self->onWritten(writeError);
                      });
}

void PlatformCall::onWritten(const Error &error)
{
    if (error) {
        tryNextAddress();
        return;
    }
    // The header is read separately because Beast 1.74 does not enforce the body limit if the first
    // body bytes arrive together with the header.
    http::async_read_header(*m_stream, m_buffer, *m_parser,
                            [self = shared_from_this()](const Error &readError, std::size_t) {
                                self->onHeader(readError);
                            });
}

void PlatformCall::onHeader(const Error &error)
{
    if (error) {
        tryNextAddress();
        return;
    }
    http::async_read(*m_stream, m_buffer, *m_parser,
                     [self = shared_from_this()](const Error &readError, std::size_t) {
                         self->onRead(readError);
                     });
}

void PlatformCall::onRead(const Error &error)
{
    const auto service = m_service.lock();
    if (!service)
        return;
    auto value = error ? std::nullopt : result();
    if (!value) {
        tryNextAddress();
        return;
    }
    service->preferred = m_address;
    finish(std::move(*value));
}

std::optional<PlatformValue> PlatformCall::result() const
{
    const auto &response = m_parser->get();
    if (response.result() == http::status::not_modified)
        return PlatformValue{PlatformStatus::NotChanged, {}, {}};
    if (response.result() == http::status::not_found)
        return PlatformValue{PlatformStatus::NotFound, {}, {}};
    const auto version =
        parseVersion(response[beast::string_view(versionField.data(), versionField.size())]);
    if (response.result() != http::status::ok || !version)
        return std::nullopt;
    return PlatformValue{PlatformStatus::Ok, *version, response.body()};
}

void PlatformCall::finish(PlatformValue value)
{
    m_stream.reset();
    const auto callback = std::exchange(m_callback, nullptr);
    callback(std::move(value));
}

} // namespace oleander
