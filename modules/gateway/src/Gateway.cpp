#include "Calls.h"

#include <oleander/gateway/HttpStatus.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace oleander::gateway {

Gateway::Gateway(ServerFleet &fleet, TimerService &timer, RandomSource &random, EventLog &log,
                 const GatewayPolicy &policy, GatherHeaderBuilder buildGatherHeaders)
    : m_fleet(fleet)
    , m_timer(timer)
    , m_random(random)
    , m_log(log)
    , m_policy(policy)
    , m_buildGatherHeaders(std::move(buildGatherHeaders))
{
}

Gateway::~Gateway() = default;

bool Gateway::configure(GatewayConfiguration configuration)
{
    if (m_routes && configuration.version < m_routes->version()) {
        m_log.record(
            EventId::ConfigurationOld, {},
            {{"offered", configuration.version.value()}, {"held", m_routes->version().value()}});
        return false;
    }
    if (m_routes && configuration.version == m_routes->version())
        return true;
    m_routes = std::make_shared<const RouteTable>(std::move(configuration));
    const GatewayConfiguration &present = m_routes->configuration();
    m_fleet.onConfiguration(present);
    std::unordered_map<RouteId, std::unique_ptr<RouteState>> kept;
    for (const Route &route : present.routes) {
        const auto found = m_routeStates.find(route.id);
        if (found != m_routeStates.end())
            kept[route.id] = std::move(found->second);
    }
    m_routeStates = std::move(kept);
    m_log.record(EventId::ConfigurationAccepted, {},
                 {{"version", present.version.value()},
                  {"routes", present.routes.size()},
                  {"services", present.services.size()}});
    return true;
}

std::shared_ptr<Call> Gateway::handle(std::shared_ptr<const CallerRequest> request,
                                      AnswerCallback answer)
{
    const Route *route =
        m_routes ? m_routes->find(request->host, pathOf(request->target)) : nullptr;
    if (!route) {
        const int status = m_routes ? statusNotFound : statusUnavailable;
        const std::string_view cause = m_routes ? "no such route" : "no configuration yet";
        ++m_counts.refused;
        m_log.record(EventId::QueryRefused, request->id,
                     {{"cause", cause},
                      {"status", status},
                      {"configuration", m_routes ? m_routes->version().value() : 0}});
        std::vector<HttpField> fields;
        if (!m_routes)
            fields.push_back(retryAfterField(m_policy.startRetryAfter));
        m_timer.post([answer = std::move(answer), status, cause, fields = std::move(fields)] {
            answer({status, fields, std::string(cause) + "\n"});
        });
        return nullptr;
    }
    CallTerms terms = callTerms(*request, m_routes, *route, m_policy, m_fleet.wakeUpLateness());
    if (m_stopAt && m_timer.now() + route->objective > *m_stopAt) {
        ++m_counts.refused;
        m_log.record(EventId::QueryRefused, request->id,
                     {{"cause", "instance is stopping"}, {"route", route->id.text()}});
        m_timer.post([answer = std::move(answer), retryAfter = m_policy.retryAfter] {
            answer({statusUnavailable, {retryAfterField(retryAfter)}, "instance is stopping\n"});
        });
        return nullptr;
    }
    terms.deadline = std::min(terms.deadline, m_stopAt.value_or(terms.deadline));
    std::shared_ptr<CallBase> call;
    if (route->isGathered() && m_delegation && m_delegation->isActiveFor(*route))
        call = std::make_shared<DelegatedGatherCall>(*this, *m_delegation, std::move(request),
                                                     std::move(terms), std::move(answer));
    else if (route->isGathered())
        call = std::make_shared<GatherCall>(*this, std::move(request), std::move(terms),
                                            std::move(answer));
    else
        call = std::make_shared<ForwardCall>(*this, std::move(request), std::move(terms),
                                             std::move(answer));
    call->start();
    return call;
}

std::shared_ptr<Call> Gateway::coordinate(const CoordinatedRequest &coordinated,
                                          AnswerCallback answer)
{
    ++m_counts.coordinated;
    const SectionVersion version = m_routes ? m_routes->version() : SectionVersion();
    const auto call = std::make_shared<GatherCall>(
        *this, coordinated.request,
        CallTerms{coordinated.route, version,
                  std::min(coordinated.deadline, m_stopAt.value_or(coordinated.deadline)),
                  coordinated.answerBy - m_fleet.wakeUpLateness(), coordinated.isRerun,
                  coordinated.shards, coordinated.minimumParts},
        std::move(answer));
    call->start();
    return call;
}

void Gateway::beginStop(TimePoint end)
{
    m_stopAt = end;
    m_stopTimer = m_timer.callAfter(std::max(Duration{}, end - m_timer.now()),
                                    [this](const TimerTick &) { endCalls(); });
}

void Gateway::endCalls()
{
    std::vector<std::weak_ptr<CallBase>> calls;
    calls.reserve(m_calls.size());
    for (CallBase *call : m_calls)
        calls.push_back(call->weak_from_this());
    for (const auto &weak : calls) {
        if (const auto call = weak.lock())
            call->endAtDeadline();
    }
}

Gateway::RouteState &Gateway::routeState(const RouteId &route)
{
    auto &state = m_routeStates[route];
    if (!state)
        state = std::make_unique<RouteState>();
    return *state;
}

} // namespace oleander::gateway
