#include "http/HttpFetch.h"

#include <oleander/settings/Address.h>

// Boost.Asio 1.74 uses std::exchange without including <utility> when compiled as C++20.
// clang-format off
#include <utility>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
// clang-format on

#include <charconv>

namespace oleander {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::size_t maximumAtATime = 32;
constexpr std::uint64_t maximumBodyBytes = 16ULL * 1024 * 1024;
constexpr int http11 = 11;

/// One request on one connection of its own.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(asio::io_context &context, const HttpRequest &request, HttpResult &result,
             std::function<void()> done)
        : m_stream(context)
        , m_source(request)
        , m_result(result)
        , m_done(std::move(done))
    {
        m_parser.body_limit(maximumBodyBytes);
    }

    void start()
    {
        const std::optional<Address> address = parseAddress(m_source.address);
        if (!address) {
            end("is no IP number and port");
            return;
        }
        prepareRequest();
        m_stream.expires_after(m_source.timeout);
        const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address->number),
                                               address->port);
        m_stream.async_connect(endpoint, [self = shared_from_this()](beast::error_code error) {
            if (error)
                self->end("can not be connected: " + error.message());
            else
                self->send();
        });
    }

private:
    void prepareRequest()
    {
        m_request.version(http11);
        m_request.method(m_source.body.empty() ? http::verb::get : http::verb::post);
        m_request.target(m_source.target);
        m_request.set(http::field::host, m_source.address);
        m_request.set(http::field::connection, "close");
        m_request.body() = m_source.body;
        if (!m_source.body.empty())
            m_request.set(http::field::content_type, "application/json");
        m_request.prepare_payload();
    }

    void send()
    {
        http::async_write(m_stream, m_request,
                          [self = shared_from_this()](beast::error_code error, std::size_t) {
                              if (error)
                                  self->end("took no request: " + error.message());
                              else
                                  self->receive();
                          });
    }

    void receive()
    {
        http::async_read(m_stream, m_buffer, m_parser,
                         [self = shared_from_this()](beast::error_code error, std::size_t) {
                             if (error)
                                 self->end("gave no answer: " + error.message());
                             else
                                 self->finish();
                         });
    }

    void finish()
    {
        auto message = m_parser.release();
        HttpResponse response;
        response.status = static_cast<int>(message.result_int());
        response.body = std::move(message.body());
        const beast::string_view version = message["X-Version"];
        std::from_chars(version.data(), version.data() + version.size(), response.version);
        m_result.response = std::move(response);
        m_done();
    }

    void end(const std::string &why)
    {
        m_result.reason.set(ErrorKind::NotReady, m_source.address + " " + why);
        m_done();
    }

    beast::tcp_stream m_stream;
    const HttpRequest &m_source;
    HttpResult &m_result;
    std::function<void()> m_done;
    http::request<http::string_body> m_request;
    beast::flat_buffer m_buffer;
    http::response_parser<http::string_body> m_parser;
};

/// Keeps a bounded number of exchanges under way until all have ended.
class FetchRun
{
public:
    FetchRun(const std::vector<HttpRequest> &requests, const FetchProgress &progress)
        : m_requests(requests)
        , m_progress(progress)
        , m_results(requests.size())
    {
    }

    std::vector<HttpResult> run()
    {
        for (std::size_t index = 0; index < maximumAtATime; ++index)
            startNext();
        m_context.run();
        return std::move(m_results);
    }

private:
    void startNext()
    {
        if (m_next == m_requests.size())
            return;
        const std::size_t index = m_next++;
        std::make_shared<Exchange>(m_context, m_requests[index], m_results[index], [this] {
            ++m_ended;
            if (m_progress)
                m_progress(m_ended);
            startNext();
        })->start();
    }

    asio::io_context m_context;
    const std::vector<HttpRequest> &m_requests;
    const FetchProgress &m_progress;
    std::vector<HttpResult> m_results;
    std::size_t m_next = 0;
    std::size_t m_ended = 0;
};

} // namespace

std::vector<HttpResult> fetchAll(const std::vector<HttpRequest> &requests,
                                 const FetchProgress &progress)
{
    return FetchRun(requests, progress).run();
}

HttpResult fetch(const HttpRequest &request)
{
    return fetchAll({request}, {}).front();
}

} // namespace oleander
