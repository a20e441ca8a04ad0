#pragma once

#include <oleander/core/Units.h>
#include <oleander/gateway/HttpMessage.h>
#include <oleander/ports/TimerService.h>
#include <oleander/settings/Address.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace oleander {

/// A whole answer to a GET.
struct HttpGetAnswer
{
    int status = 0;
    /// The header fields without those of the connection.
    std::vector<gateway::HttpField> fields;
    std::string body;
    /// The body exceeds the limit and was not read; it is empty here.
    bool isTooLarge = false;
};

/// GET requests to one address, one at a time, over a connection that is kept. A call that fails or
/// takes too long closes the connection, since nothing more can be expected on it.
class HttpGetter
{
public:
    /// Nothing when the call failed or took too long.
    using Callback = std::function<void(std::optional<HttpGetAnswer>)>;

    HttpGetter(boost::asio::io_context &context, TimerService &timer, Address address,
               std::size_t largestBody);
    HttpGetter(const HttpGetter &) = delete;
    HttpGetter &operator=(const HttpGetter &) = delete;
    ~HttpGetter();

    /// Only when no call is under way. The callback is never called from inside get().
    void get(const std::string &target, Duration timeout, Callback done);

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace oleander
