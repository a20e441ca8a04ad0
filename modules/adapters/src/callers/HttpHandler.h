#pragma once

#include <oleander/core/ErrorKind.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace oleander {

struct HttpRequest
{
    std::string method;
    /// Path and query as sent.
    std::string target;
    std::string body;
};

struct HttpResponse
{
    int status = 200;
    std::string contentType;
    std::string body;
    /// Value of the Allow header; left out when empty.
    std::string allow;
};

/// One request under way. Outlives its connection as long as somebody holds it.
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    /// Sends the response. At most once; does nothing when the other side is gone.
    virtual void respond(HttpResponse response) = 0;
    /// Called when the other side closes its connection before the response. Never after respond().
    virtual void onGone(std::function<void()> callback) = 0;
};

/// What an HTTP server does with requests.
class HttpHandler
{
public:
    virtual ~HttpHandler() = default;

    /// Looks at a request before its body is read. A response ends the request and its connection.
    virtual std::optional<HttpResponse> refuseHead(const HttpRequest &head) = 0;
    virtual void onRequest(HttpRequest request, std::shared_ptr<HttpExchange> exchange) = 0;
    /// The response to bytes that are no proper request.
    virtual HttpResponse errorResponse(ErrorKind kind, const std::string &text) = 0;
    virtual void onProtocolError(const std::string &text) = 0;
};

} // namespace oleander
