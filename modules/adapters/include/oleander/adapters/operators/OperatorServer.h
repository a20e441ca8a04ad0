#pragma once

#include <oleander/adapters/callers/HttpLimits.h>
#include <oleander/adapters/resources/ProcessMemory.h>
#include <oleander/core/Reason.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace boost::asio {
class io_context;
}

namespace oleander {

/// One page as an operator or a monitoring system reads it.
struct OperatorPage
{
    int status = 200;
    std::string contentType = "text/plain; charset=utf-8";
    std::string body;
};

/// Makes a page. The text is what stands behind '?' in the request, undecoded.
using OperatorPageSource = std::function<OperatorPage(const std::string &query)>;
/// Makes a page that has to be collected from other threads first. The reply is to be called once,
/// on the server's thread.
using DeferredPageSource =
    std::function<void(const std::string &query, std::function<void(OperatorPage)> reply)>;

/// The HTTP server of the operators' pages, on an address of its own that callers do not reach.
///
/// It answers GET only. `/healthz` is there from the start and says that the thread runs; the
/// daemon registers the rest, such as `/readyz`, `/metrics`, `/status` and `/burn`. Everything is
/// on the thread that runs the context.
class OperatorServer
{
public:
    /// The context must outlive the server.
    explicit OperatorServer(boost::asio::io_context &context, HttpLimits limits = {},
                            std::shared_ptr<ProcessMemory> memory = nullptr);
    OperatorServer(const OperatorServer &) = delete;
    OperatorServer &operator=(const OperatorServer &) = delete;
    ~OperatorServer();

    // Pages
    /// Registers a page, or replaces the one with the same path.
    void addPage(const std::string &path, OperatorPageSource source);
    void addDeferredPage(const std::string &path, DeferredPageSource source);

    // Serving
    /// Begins to accept on an IP number and port; port 0 lets the system choose. Returns the port.
    std::optional<std::uint16_t> listen(const std::string &address, Reason &reason);
    /// Ends after the pages under way; calls `whenEnded` once.
    void beginStop(std::function<void()> whenEnded);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace oleander
