#include <oleander/decisions/request/ServerHealth.h>

#include <algorithm>

namespace oleander {

namespace {

constexpr int failuresToEject = 3;
constexpr int latencyFactorToEject = 5;
constexpr std::int64_t minimumSamplesToEject = 20;
constexpr int maximumEjectionFactor = 8;
constexpr std::int64_t averageWeight = 8;
/// Growth of the window with each reply, in thousandths of a request.
constexpr std::int64_t windowGrowth = 50;
constexpr std::int64_t minimumWindow = 1000;

} // namespace

void noteReply(ServerHealth &health, Duration latency, int reportedLoad)
{
    const std::int64_t sample = latency.count();
    health.latency += health.samples == 0 ? sample : (sample - health.latency) / averageWeight;
    ++health.samples;
    health.reportedLoad = reportedLoad;
    health.consecutiveFailures = 0;
    if (health.window != 0)
        health.window += windowGrowth;
}

void noteServerShed(ServerHealth &health)
{
    const std::int64_t current = health.window == 0 ? 4 * minimumWindow : health.window;
    health.window = std::max(minimumWindow, current / 2);
}

void noteDraining(ServerHealth &health, TimePoint now, const Policy &policy)
{
    health.drainingUntil = std::max(health.drainingUntil, now + policy.drainMemory);
}

void noteFailure(ServerHealth &health)
{
    ++health.consecutiveFailures;
}

bool isOutlier(const ServerHealth &health, Duration usualLatency)
{
    if (health.consecutiveFailures >= failuresToEject)
        return true;
    if (health.samples < minimumSamplesToEject || usualLatency.count() == 0)
        return false;
    return health.latency > latencyFactorToEject * usualLatency.count();
}

bool mayEject(int ejected, int servers, PerMille limit)
{
    const std::int64_t allowed = static_cast<std::int64_t>(servers) * limit.value / 1000;
    return ejected < allowed && ejected + 1 < servers;
}

void eject(ServerHealth &health, TimePoint now, const Policy &policy)
{
    const int factor = std::min(1 << std::min(health.ejections, 3), maximumEjectionFactor);
    health.ejectedUntil = now + factor * policy.ejectionTime;
    health.slowStartSince = health.ejectedUntil;
    ++health.ejections;
    health.consecutiveFailures = 0;
    health.latency = 0;
    health.samples = 0;
}

bool isEjected(const ServerHealth &health, TimePoint now)
{
    return now < health.ejectedUntil;
}

bool isDraining(const ServerHealth &health, TimePoint now)
{
    return now < health.drainingUntil;
}

int concurrencyLimit(const ServerHealth &health, int slots, const Policy &policy, TimePoint now)
{
    const int coordinators = std::max(1, policy.coordinators);
    const int share = (slots + coordinators - 1) / coordinators + policy.pipelineDepth;
    std::int64_t limit = share;
    if (health.window != 0)
        limit = std::min(limit, health.window / 1000);
    const Duration elapsed = now - health.slowStartSince;
    if (elapsed < policy.slowStart && policy.slowStart.count() > 0)
        limit = std::min(limit, 1 + share * elapsed.count() / policy.slowStart.count());
    return static_cast<int>(std::max<std::int64_t>(1, limit));
}

} // namespace oleander
