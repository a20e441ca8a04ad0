#pragma once

#include <oleander/core/Reason.h>
#include <oleander/core/Units.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace oleander {

/// One HTTP request: GET without a body, POST of JSON with one.
struct HttpRequest
{
    /// IP number and port.
    std::string address;
    std::string target;
    std::string body;
    Duration timeout = seconds(5);
};

struct HttpResponse
{
    int status = 0;
    std::string body;
    /// The platform's X-Version header; zero when there is none.
    std::uint64_t version = 0;
};

/// A response, or why there is none.
struct HttpResult
{
    std::optional<HttpResponse> response;
    Reason reason;
};

/// Called after each request that ended, with how many have.
using FetchProgress = std::function<void(std::size_t ended)>;

/// Sends all requests, at most 32 at a time, and waits for all. Results stand in the order of the
/// requests. Each ends at the latest after its time-out; bodies are limited to 16 MB.
std::vector<HttpResult> fetchAll(const std::vector<HttpRequest> &requests,
                                 const FetchProgress &progress);

/// One request.
HttpResult fetch(const HttpRequest &request);

} // namespace oleander
