#include <oleander/gateway/HealthProbe.h>

#include <utility>

namespace oleander::gateway {

namespace {

/// A server that is paused answers after its pause; longer ones are asked again later.
constexpr Duration probeTimeout = seconds(1);

} // namespace

HealthProbe::HealthProbe(ServerLinkFactory &links, TimerService &timer,
                         const ServerRegistration &registration, const std::string &path,
                         Callback done)
    : m_server(registration.id)
    , m_done(std::move(done))
{
    auto request = std::make_shared<CallerRequest>();
    request->method = "GET";
    request->target = path;
    request->host = registration.address.number;
    m_request = std::move(request);
    m_link = links.open(registration.address, *this);
    m_timeout = timer.callAfter(probeTimeout,
                                [this](const TimerTick &) { finish({HealthProbeEnd::TimedOut}); });
}

void HealthProbe::onOpened()
{
    m_link->send({m_request, m_server, probeTimeout});
}

void HealthProbe::onReply(ServerReply reply, bool)
{
    if (!reply.serverId.isEmpty() && reply.serverId != m_server)
        reply.isMisdirected = true;
    finish({HealthProbeEnd::Replied, std::move(reply)});
}

void HealthProbe::onClosed(LinkEnd end)
{
    finish({end == LinkEnd::NotOpened ? HealthProbeEnd::NotOpened : HealthProbeEnd::Closed});
}

void HealthProbe::finish(HealthProbeOutcome outcome)
{
    if (const auto done = std::exchange(m_done, nullptr))
        done(std::move(outcome));
}

} // namespace oleander::gateway
