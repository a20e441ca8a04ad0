#include "callers/HttpServer.h"

#include <oleander/adapters/operators/OperatorServer.h>

#include <map>

namespace oleander {

namespace {

constexpr int notFound = 404;
constexpr int methodNotAllowed = 405;
constexpr std::string_view textType = "text/plain; charset=utf-8";

HttpResponse textResponse(int status, std::string text)
{
    return {status, std::string(textType), std::move(text) + "\n", {}};
}

HttpResponse responseOf(OperatorPage page)
{
    return {page.status, std::move(page.contentType), std::move(page.body), {}};
}

} // namespace

class OperatorServer::Impl : public HttpHandler
{
public:
    Impl(boost::asio::io_context &context, HttpLimits limits, std::shared_ptr<ProcessMemory> memory)
        : m_server(context, *this, limits, std::move(memory))
    {
    }

    // HttpHandler
    std::optional<HttpResponse> refuseHead(const HttpRequest &head) override
    {
        if (head.method == "GET")
            return std::nullopt;
        HttpResponse response = textResponse(methodNotAllowed, "only GET is allowed here");
        response.allow = "GET";
        return response;
    }

    void onRequest(HttpRequest request, std::shared_ptr<HttpExchange> exchange) override
    {
        const std::size_t mark = request.target.find('?');
        const auto source = m_pages.find(request.target.substr(0, mark));
        if (source == m_pages.end()) {
            exchange->respond(textResponse(notFound, "no such page; there are:" + listOfPages()));
            return;
        }
        const std::string query =
            mark == std::string::npos ? std::string() : request.target.substr(mark + 1);
        source->second(query, [exchange](OperatorPage page) {
            exchange->respond(responseOf(std::move(page)));
        });
    }

    HttpResponse errorResponse(ErrorKind kind, const std::string &text) override
    {
        return textResponse(answerFor(kind).httpStatus, text);
    }

    void onProtocolError(const std::string & /*text*/) override {}

    HttpServer &server() { return m_server; }
    std::map<std::string, DeferredPageSource> &pages() { return m_pages; }

private:
    [[nodiscard]] std::string listOfPages() const
    {
        std::string result;
        for (const auto &[path, source] : m_pages)
            result += " " + path;
        return result;
    }

    std::map<std::string, DeferredPageSource> m_pages;
    HttpServer m_server;
};

OperatorServer::OperatorServer(boost::asio::io_context &context, HttpLimits limits,
                               std::shared_ptr<ProcessMemory> memory)
    : m_impl(std::make_unique<Impl>(context, limits, std::move(memory)))
{
    addPage("/healthz", [](const std::string &) { return OperatorPage{.body = "ok\n"}; });
}

OperatorServer::~OperatorServer() = default;

void OperatorServer::addPage(const std::string &path, OperatorPageSource source)
{
    addDeferredPage(path,
                    [source = std::move(source)](const std::string &query, const auto &reply) {
                        reply(source(query));
                    });
}

void OperatorServer::addDeferredPage(const std::string &path, DeferredPageSource source)
{
    m_impl->pages().insert_or_assign(path, std::move(source));
}

std::optional<std::uint16_t> OperatorServer::listen(const std::string &address, Reason &reason)
{
    return m_impl->server().listen(address, reason);
}

void OperatorServer::beginStop(std::function<void()> whenEnded)
{
    m_impl->server().beginStop(std::move(whenEnded));
}

} // namespace oleander
