#pragma once

#include <oleander/gateway/Gateway.h>
#include <oleander/ports/PeerMessage.h>
#include <oleander/ports/PeerNetwork.h>
#include <oleander/ports/TimerService.h>

#include <deque>
#include <memory>
#include <unordered_map>

namespace oleander::gateway {

/// Executes gathered requests for other instances.
///
/// The rules of a request are those of the configuration that the sender has pinned. They are known
/// by their hash, from this instance's own configuration or because a sender has sent them.
class GatherServer
{
public:
    /// All arguments must outlive the server.
    GatherServer(Gateway &gateway, TimerService &timer, const GatewayPolicy &policy);
    GatherServer(const GatherServer &) = delete;
    GatherServer &operator=(const GatherServer &) = delete;

    /// Replies to the request, or refuses it if its rules do not match their hash. A cancelled
    /// request is treated like one whose caller has disconnected.
    void serve(PeerGather gather, std::shared_ptr<PeerResponder> responder);

    /// Requests in progress.
    [[nodiscard]] std::size_t active() const { return *m_active; }

private:
    struct Execution;

    void execute(const std::shared_ptr<Execution> &execution);
    /// The route of the rules, or null if they are not known.
    std::shared_ptr<const Route> findRoute(std::uint64_t digest);
    void keepRoute(std::uint64_t digest, std::shared_ptr<const Route> route);

    Gateway &m_gateway;
    TimerService &m_timer;
    const GatewayPolicy &m_policy;
    std::unordered_map<std::uint64_t, std::shared_ptr<const Route>> m_routes;
    /// Digests in the order in which the rules came.
    std::deque<std::uint64_t> m_routeOrder;
    /// Outlives the server with the requests that it counts.
    std::shared_ptr<std::size_t> m_active = std::make_shared<std::size_t>(0);
};

} // namespace oleander::gateway
