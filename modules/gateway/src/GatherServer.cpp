#include <oleander/gateway/GatherDelegation.h>
#include <oleander/gateway/GatherServer.h>
#include <oleander/gateway/HttpStatus.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace oleander::gateway {

namespace {

constexpr std::size_t maximumRoutes = 64;

std::shared_ptr<const Route> routeOf(const GatherRules &rules)
{
    auto route = std::make_shared<Route>();
    route->id = RouteId(rules.route);
    route->idempotency = Idempotency::Idempotent;
    route->objective = rules.objective;
    route->priority = rules.priority;
    route->maximumAttempts = rules.maximumAttempts;
    route->shards = rules.shards;
    route->recordLimit = rules.recordLimit;
    route->minimumShare = rules.minimumShare;
    return route;
}

/// Whether positions are ascending and within the route's shards.
bool areShardsValid(const std::vector<std::uint32_t> &shards, std::size_t count)
{
    return std::ranges::adjacent_find(shards, std::greater_equal{}) == shards.end()
           && (shards.empty() || shards.back() < count);
}

} // namespace

/// One request of another instance, until it has been answered.
struct GatherServer::Execution
{
    explicit Execution(std::shared_ptr<std::size_t> count)
        : active(std::move(count))
    {
        ++*active;
    }
    Execution(const Execution &) = delete;
    Execution &operator=(const Execution &) = delete;
    ~Execution() { --*active; }

    CoordinatedRequest coordinated;
    std::shared_ptr<PeerResponder> responder;
    std::shared_ptr<Call> call;
    bool isCancelled = false;
    std::shared_ptr<std::size_t> active;
};

GatherServer::GatherServer(Gateway &gateway, TimerService &timer, const GatewayPolicy &policy)
    : m_gateway(gateway)
    , m_timer(timer)
    , m_policy(policy)
{
}

void GatherServer::serve(PeerGather gather, std::shared_ptr<PeerResponder> responder)
{
    if (gather.rules) {
        if (digestOf(*gather.rules) != gather.rulesDigest || gather.rules->shards.empty()) {
            responder->refuse();
            return;
        }
        keepRoute(gather.rulesDigest, routeOf(*gather.rules));
    }
    const auto route = findRoute(gather.rulesDigest);
    if (route && !areShardsValid(gather.shards, route->shards.size())) {
        responder->refuse();
        return;
    }
    if (!route || active() >= m_policy.coordinatedGathers) {
        PeerGatherReply reply;
        reply.needsRules = !route;
        reply.isBusy = !!route;
        reply.activeGathers = active();
        responder->reply(std::move(reply));
        return;
    }
    const TimePoint now = m_timer.now();
    auto request = std::make_shared<CallerRequest>();
    request->id = std::move(gather.request);
    request->method = std::move(gather.method);
    request->target = std::move(gather.target);
    request->host = std::move(gather.host);
    for (PeerField &field : gather.fields)
        request->fields.push_back({std::move(field.name), std::move(field.value)});
    request->body = std::move(gather.body);
    request->arrived = now;
    const auto execution = std::make_shared<Execution>(m_active);
    execution->coordinated = {
        std::move(request),       route,          now + gather.timeLeft - m_policy.coordinatorHop,
        now + gather.replyWithin, gather.isRerun, {gather.shards.begin(), gather.shards.end()},
        gather.minimumParts};
    execution->responder = std::move(responder);
    execution->responder->onCancel([weak = std::weak_ptr(execution)] {
        const auto cancelled = weak.lock();
        if (!cancelled)
            return;
        cancelled->isCancelled = true;
        if (const auto call = std::exchange(cancelled->call, nullptr))
            call->onCallerDisconnected();
    });
    // After a pause of this process, requests and their cancellations arrive together.
    m_timer.post([this, execution] {
        if (!execution->isCancelled)
            execute(execution);
    });
}

void GatherServer::execute(const std::shared_ptr<Execution> &execution)
{
    execution->call =
        m_gateway.coordinate(execution->coordinated, [this, execution](CallerAnswer given) {
            PeerGatherReply reply;
            reply.status = given.status;
            for (HttpField &field : given.fields)
                reply.fields.push_back({std::move(field.name), std::move(field.value)});
            reply.body = std::move(given.body);
            reply.receipts = std::move(given.receipts);
            reply.missingShards = given.missingShards;
            reply.elapsed = m_timer.now() - execution->coordinated.request->arrived;
            reply.activeGathers = active();
            execution->call.reset();
            execution->responder->reply(std::move(reply));
        });
}

std::shared_ptr<const Route> GatherServer::findRoute(std::uint64_t digest)
{
    const auto found = m_routes.find(digest);
    if (found != m_routes.end())
        return found->second;
    const RouteTablePtr table = m_gateway.routes();
    if (!table)
        return nullptr;
    for (const Route &route : table->configuration().routes) {
        if (!route.isGathered() || digestOf(gatherRules(route)) != digest)
            continue;
        std::shared_ptr<const Route> known(table, &route);
        keepRoute(digest, known);
        return known;
    }
    return nullptr;
}

void GatherServer::keepRoute(std::uint64_t digest, std::shared_ptr<const Route> route)
{
    if (!m_routes.insert_or_assign(digest, std::move(route)).second)
        return;
    m_routeOrder.push_back(digest);
    if (m_routeOrder.size() <= maximumRoutes)
        return;
    m_routes.erase(m_routeOrder.front());
    m_routeOrder.pop_front();
}

} // namespace oleander::gateway
