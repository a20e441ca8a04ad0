#pragma once

#include <oleander/gateway/ServerDirectory.h>
#include <oleander/gateway/ServerLink.h>
#include <oleander/ports/TimerService.h>

#include <functional>
#include <memory>
#include <string>

namespace oleander::gateway {

enum class HealthProbeEnd {
    Replied,
    /// No connection came about.
    NotOpened,
    /// The connection was closed before a complete reply.
    Closed,
    TimedOut,
};

struct HealthProbeOutcome
{
    HealthProbeEnd end = HealthProbeEnd::TimedOut;
    /// The complete reply, if there was one. `isMisdirected` is set if it names another server.
    std::optional<ServerReply> reply{};
};

/// One question to a server's health path, on a connection of its own, since a reply there cannot
/// be mistaken for that of a request.
class HealthProbe final : private ServerLinkListener
{
public:
    /// Called once. May destroy the probe.
    using Callback = std::function<void(HealthProbeOutcome)>;

    HealthProbe(ServerLinkFactory &links, TimerService &timer,
                const ServerRegistration &registration, const std::string &path, Callback done);
    HealthProbe(const HealthProbe &) = delete;
    HealthProbe &operator=(const HealthProbe &) = delete;

private:
    void onOpened() override;
    void onReply(ServerReply reply, bool isReusable) override;
    void onClosed(LinkEnd end) override;
    void finish(HealthProbeOutcome outcome);

    ServerId m_server;
    std::shared_ptr<const CallerRequest> m_request;
    Callback m_done;
    std::unique_ptr<ServerLink> m_link;
    Subscription m_timeout;
};

} // namespace oleander::gateway
