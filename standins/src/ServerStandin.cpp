#include "ServerState.h"

namespace oleander::standins {

ServerStandin::ServerStandin(boost::asio::io_context &context, const Server &server,
                             const ServerShape &shape, ExecutionLedger &ledger)
    : m_state(std::make_shared<State>(context, server, shape, ledger))
{
    HttpListenerLimits limits;
    limits.connectionCap = server.connectionCap;
    limits.connectionCost = shape.connectionCost;
    m_state->listener = std::make_unique<HttpListener>(
        context, limits,
        [state = m_state.get()](const HttpRequest &request, const HttpResponder &respond) {
            state->onRequest(request, respond);
        });
}

ServerStandin::~ServerStandin()
{
    m_state->kill();
    m_state->listener.reset();
}

std::optional<std::uint16_t> ServerStandin::listen(Reason &reason)
{
    auto &address = m_state->server.address;
    const auto port = m_state->listener->listen(address, reason);
    if (port)
        address = address.substr(0, address.rfind(':') + 1) + std::to_string(*port);
    return port;
}

void ServerStandin::kill()
{
    m_state->kill();
}

void ServerStandin::revive()
{
    m_state->kill();
    m_state->warmFrom = State::Clock::now() + m_state->shape.coldTime;
    Reason reason;
    m_state->listener->listen(m_state->server.address, reason);
}

void ServerStandin::freeze()
{
    m_state->listener->freeze();
}

void ServerStandin::thaw()
{
    m_state->listener->thaw();
}

void ServerStandin::silenceOpenConnections()
{
    m_state->listener->silenceOpenConnections();
}

void ServerStandin::setFaults(const ServerFaults &faults)
{
    if (faults.isDraining && !m_state->faults.isDraining)
        m_state->drainStarted = State::Clock::now();
    m_state->faults = faults;
}

void ServerStandin::setLoadReport(LoadReport report)
{
    m_state->shape.loadReport = report;
}

ServerFaults ServerStandin::faults() const
{
    return m_state->faults;
}

ServerCounts ServerStandin::counts() const
{
    return m_state->counts;
}

HttpListenerCounts ServerStandin::connections() const
{
    return m_state->listener->counts();
}

} // namespace oleander::standins
