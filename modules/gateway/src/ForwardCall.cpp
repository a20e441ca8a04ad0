#include "Calls.h"

#include <oleander/gateway/HttpStatus.h>

#include <algorithm>

namespace oleander::gateway {

namespace {

/// Statuses by which a server would promise that the request has not run.
constexpr std::array promisingStatuses{408, 421, 429, 503};

} // namespace

void ForwardCall::begin()
{
    const ServiceId &service = chooseService();
    const ServiceCallPlan plan =
        planFor(service, std::min(m_deadline, m_request->arrived + m_route.objective));
    if (!plan.pool->hasUsableServer()) {
        refuseLater("no server of the service");
        return;
    }
    m_call = std::make_shared<ServiceCall>(m_gateway.m_fleet, m_gateway.m_timer, plan);
    m_call->start([this](ServiceOutcome outcome) { onOutcome(std::move(outcome)); });
}

const ServiceId &ForwardCall::chooseService()
{
    // Smooth weighted round robin: each service gains its weight, the richest pays the sum.
    auto &credits = m_gateway.stateOf(m_route.id).weightCredits;
    const auto &services = m_route.services;
    if (services.size() == 1)
        return services.front().service;
    double sum = 0;
    for (const WeightedService &service : services)
        sum += service.weight;
    if (credits.size() != services.size()) {
        // Instances start at different points of the cycle.
        credits.assign(services.size(), 0);
        for (double &credit : credits)
            credit = sum * static_cast<double>(m_gateway.m_random.below(1000)) / 1000.0;
    }
    for (std::size_t index = 0; index < services.size(); ++index)
        credits[index] += services[index].weight;
    const auto richest = std::ranges::max_element(credits);
    *richest -= sum;
    return services[static_cast<std::size_t>(richest - credits.begin())].service;
}

void ForwardCall::onOutcome(ServiceOutcome outcome)
{
    if (!outcome.reply) {
        if (outcome.ran == ExecutionState::NotRun)
            refuse("servers are busy or unreachable");
        else
            fail(statusBadGateway, "connection to the server lost");
        return;
    }
    ServerReply &reply = *outcome.reply;
    const bool isPromise =
        std::ranges::find(promisingStatuses, reply.status) != promisingStatuses.end();
    if (isPromise) {
        // The server executed the request, so its status would promise what is not true.
        fail(statusBadGateway, "server failed");
        return;
    }
    if (reply.receipt.empty() && reply.status < firstServerErrorStatus) {
        fail(statusBadGateway, "server gave no receipt");
        return;
    }
    if (reply.status < firstFailureStatus)
        ++m_gateway.m_counts.answered;
    else
        ++m_gateway.m_counts.failed;
    record(EventId::QueryAnswered, {{"status", reply.status},
                                    {"route", m_route.id.text()},
                                    {"attempts", m_call->attempts()},
                                    {"configuration", m_routes->version().value()},
                                    {"afterMs", inMilliseconds(age())}});
    answer({reply.status, std::move(reply.fields), std::move(reply.body)});
}

void ForwardCall::onDeadline()
{
    const bool isNotRun = !m_call || m_call->ranState() == ExecutionState::NotRun;
    leaveServers();
    if (isNotRun)
        refuse("no server was free in time");
    else
        fail(statusTimeout, "no reply in time");
}

void ForwardCall::leaveServers()
{
    if (m_call)
        m_call->leave();
}

void ForwardCall::stopServers()
{
    if (m_call)
        m_call->stopRunning();
}

bool ForwardCall::isServerBusy() const
{
    return m_call && m_call->isRunning();
}

} // namespace oleander::gateway
