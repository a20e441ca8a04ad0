#include "callers/HttpServer.h"

#include <oleander/adapters/callers/CallerServer.h>
#include <oleander/adapters/callers/QueryCodec.h>
#include <oleander/adapters/time/SteadyTime.h>

namespace oleander {

namespace {

constexpr std::string_view queryPath = "/v1/query";
constexpr std::string_view jsonType = "application/json";
constexpr int notFound = 404;
constexpr int methodNotAllowed = 405;
/// At most one log line about malformed requests in this time, whatever strangers send.
constexpr Duration protocolErrorPeriod = seconds(1);

HttpResponse responseOf(const Answer &answer)
{
    return {httpStatusOf(answer), std::string(jsonType), answerToJson(answer), {}};
}

} // namespace

class CallerServer::Impl : public HttpHandler
{
public:
    Impl(boost::asio::io_context &context, QueryHandler &queries, EventLog &log, HttpLimits limits)
        : m_queries(queries)
        , m_log(log)
        , m_server(context, *this, limits)
    {
    }

    // HttpHandler
    std::optional<HttpResponse> refuseHead(const HttpRequest &head) override
    {
        if (head.target != queryPath)
            return refused(notFound, "no such path; queries go to POST /v1/query");
        if (head.method == "POST")
            return std::nullopt;
        HttpResponse response = refused(methodNotAllowed, "only POST is allowed here");
        response.allow = "POST";
        return response;
    }

    void onRequest(HttpRequest request, std::shared_ptr<HttpExchange> exchange) override
    {
        Reason reason;
        std::optional<Query> query = queryFromJson(request.body, reason);
        if (!query) {
            onProtocolError(reason.text);
            exchange->respond(errorResponse(reason.kind, reason.text));
            return;
        }
        const auto isAnswered = std::make_shared<bool>(false);
        const QueryTicket ticket =
            m_queries.submit(std::move(*query), [exchange, isAnswered](const Answer &answer) {
                *isAnswered = true;
                exchange->respond(responseOf(answer));
            });
        if (!*isAnswered)
            exchange->onGone([this, ticket] { m_queries.abandon(ticket); });
    }

    HttpResponse errorResponse(ErrorKind kind, const std::string &text) override
    {
        return responseOf(refusal(kind, text));
    }

    void onProtocolError(const std::string &text) override
    {
        const TimePoint now = steadyNow();
        if (now < m_nextProtocolError)
            return;
        m_nextProtocolError = now + protocolErrorPeriod;
        m_log.record(EventId::CallerProtocolError, text);
    }

    HttpServer &server() { return m_server; }

private:
    HttpResponse refused(int status, const std::string &text)
    {
        HttpResponse response = errorResponse(ErrorKind::BadRequest, text);
        response.status = status;
        return response;
    }

    QueryHandler &m_queries;
    EventLog &m_log;
    TimePoint m_nextProtocolError;
    HttpServer m_server;
};

CallerServer::CallerServer(boost::asio::io_context &context, QueryHandler &handler, EventLog &log,
                           HttpLimits limits)
    : m_impl(std::make_unique<Impl>(context, handler, log, limits))
{
}

CallerServer::~CallerServer() = default;

std::optional<std::uint16_t> CallerServer::listen(const std::string &address, Reason &reason)
{
    return m_impl->server().listen(address, reason);
}

void CallerServer::beginStop(std::function<void()> whenEnded)
{
    m_impl->server().beginStop(std::move(whenEnded));
}

HttpStatistics CallerServer::statistics() const
{
    return std::as_const(m_impl->server()).statistics();
}

} // namespace oleander
