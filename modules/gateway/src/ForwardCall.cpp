#include "Calls.h"

#include <oleander/gateway/HttpStatus.h>

#include <algorithm>

namespace oleander::gateway {

namespace {

/// Statuses that callers interpret as "not executed".
constexpr std::array notExecutedStatuses{408, 421, 429, 503};

} // namespace

void ForwardCall::begin()
{
    if (refuseIfCrashing())
        return;
    const ServiceId &service = chooseService();
    const ServiceCallPlan plan =
        planFor(service, std::min(m_deadline, m_request->arrived + m_route.objective));
    if (!plan.pool->hasUsableServer()) {
        refuseLater("no server of the service");
        return;
    }
    if (refuseIfOverloaded({&service}, 0))
        return;
    m_call = std::make_shared<ServiceCall>(m_gateway.m_fleet, m_gateway.m_timer, plan);
    m_call->start([this](ServiceOutcome outcome) { onOutcome(std::move(outcome)); });
}

const ServiceId &ForwardCall::chooseService()
{
    // Smooth weighted round robin: each service gains its weight, and the one with the highest
    // credit is chosen and pays the sum of the weights.
    auto &credits = m_gateway.routeState(m_route.id).weightCredits;
    const auto &services = m_route.services;
    if (services.size() == 1)
        return services.front().service;
    double sum = 0;
    for (const WeightedService &service : services)
        sum += service.weight;
    if (credits.size() != services.size()) {
        // Random initial credits make instances start at different points of the cycle.
        credits.assign(services.size(), 0);
        for (double &credit : credits)
            credit = sum * static_cast<double>(m_gateway.m_random.below(1000)) / 1000.0;
    }
    for (std::size_t index = 0; index < services.size(); ++index)
        credits[index] += services[index].weight;
    const auto highest = std::ranges::max_element(credits);
    *highest -= sum;
    return services[static_cast<std::size_t>(highest - credits.begin())].service;
}

void ForwardCall::onOutcome(ServiceOutcome outcome)
{
    if (!outcome.reply) {
        if (outcome.ran == ExecutionState::NotRun)
            refuse("servers are busy or unreachable", outcome.retryAfter);
        else
            fail(statusBadGateway, "connection to the server lost");
        return;
    }
    ServerReply &reply = *outcome.reply;
    const bool claimsNotExecuted =
        std::ranges::find(notExecutedStatuses, reply.status) != notExecutedStatuses.end();
    if (claimsNotExecuted) {
        // The server executed the request, so forwarding its status would be misleading.
        fail(statusBadGateway, "server failed");
        return;
    }
    if (reply.receipt.empty() && reply.status < firstServerErrorStatus) {
        fail(statusBadGateway, "server gave no receipt");
        return;
    }
    if (reply.status < firstClientErrorStatus)
        ++m_gateway.m_counts.answered;
    else
        ++m_gateway.m_counts.failed;
    record(EventId::QueryAnswered, {{"status", reply.status},
                                    {"route", m_route.id.text()},
                                    {"attempts", m_call->attempts()},
                                    {"configuration", terms().configuration.value()},
                                    {"afterMs", inMilliseconds(age())}});
    answer({reply.status, std::move(reply.fields), std::move(reply.body)});
}

void ForwardCall::onDeadline()
{
    const bool isNotRun = !m_call || m_call->ranState() == ExecutionState::NotRun;
    abandonServerCalls();
    if (isNotRun)
        refuse("no server was free in time");
    else
        fail(statusTimeout, "no reply in time");
}

void ForwardCall::abandonServerCalls()
{
    if (m_call)
        m_call->abandon();
}

void ForwardCall::cancelServerCalls()
{
    if (m_call)
        m_call->cancelRunning();
}

bool ForwardCall::isServerBusy() const
{
    return m_call && m_call->isRunning();
}

} // namespace oleander::gateway
