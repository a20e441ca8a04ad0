#pragma once

#include <oleander/adapters/gateway/HeaderNames.h>
#include <oleander/adapters/resources/ProcessMemory.h>
#include <oleander/core/Reason.h>
#include <oleander/gateway/Gateway.h>
#include <oleander/ports/TimerService.h>
#include <oleander/settings/Address.h>

#include <functional>
#include <memory>
#include <optional>

namespace boost::asio {
class io_context;
}

namespace oleander {

/// Takes requests from an ingress; returns what is told when the caller leaves, or null.
using IngressHandler = std::function<std::shared_ptr<gateway::Call>(
    std::shared_ptr<const gateway::CallerRequest>, gateway::AnswerCallback)>;

struct IngressCounts
{
    std::size_t connections = 0;
    std::uint64_t accepted = 0;
    std::uint64_t requests = 0;
    std::uint64_t malformed = 0;
    std::uint64_t evicted = 0;
    /// Connections closed because their callers did not read an answer.
    std::uint64_t unread = 0;
};

/// HTTP/1.1 from callers: reads requests whole, answers them in order, and notices when a caller
/// closes its connection while its request is under way.
///
/// When there are too many connections, those whose request has stalled give way first, the oldest
/// of them before the others, then those that have waited longest, then those that hold bytes
/// behind a request or an answer that is not read.
class CallerIngress
{
public:
    CallerIngress(boost::asio::io_context &context, TimerService &timer, HeaderNames names,
                  IngressHandler handler);
    CallerIngress(const CallerIngress &) = delete;
    CallerIngress &operator=(const CallerIngress &) = delete;
    ~CallerIngress();

    /// Charges what callers make the process hold to `memory`, and bounds connections by it. Must
    /// be called before listen().
    void setMemory(std::shared_ptr<ProcessMemory> memory);
    /// Bounds that hold for requests that begin from now on.
    void setLimits(const gateway::CallerLimits &limits);
    void setMaximumConnections(std::size_t maximum);
    /// Begins to accept; port 0 lets the system choose. Returns the port.
    std::optional<std::uint16_t> listen(const Address &address, Reason &reason);

    // Stopping
    /// Each answer from now on asks the caller to close its connection.
    void beginStop();
    /// Accepts nothing more, and closes the connections that carry no request.
    void closeIdle();
    /// Requests that were read or are being answered.
    [[nodiscard]] std::size_t busyConnections() const;

    [[nodiscard]] const IngressCounts &counts() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace oleander
