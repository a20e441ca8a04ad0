#include "LoadSimulation.h"

#include <cmath>

namespace oleander::gateway::testing {

namespace {

/// Number of instances in the policy when the caller sets none.
constexpr int defaultInstances = 24;
/// Servers of the service behind "/notes/".
constexpr int notesServers = 10;
/// Instances run for this long before callers send requests, so that the whole allowance of extra
/// attempts is available.
constexpr Duration warmUpTime = seconds(11);

std::string dataCentreName(int number)
{
    return "data-centre-" + std::to_string(number);
}

GatewayConfiguration makeConfiguration(const LoadProfile &profile)
{
    GatewayConfiguration configuration = testConfiguration(profile.shards);
    for (ServiceDeclaration &service : configuration.services)
        service.connectionCap = profile.connectionCap;
    const auto applyStream = [](Route &route, const char *id, const RequestStream &stream) {
        route.id = RouteId(id);
        route.prefix = stream.path;
        route.objective = stream.latencyObjective;
        route.timeout = stream.callerTimeout;
        route.priority = stream.priority;
    };
    Route search = configuration.routes[0];
    applyStream(search, "search", profile.streams[0]);
    search.minimumShare = profile.searchMinimumShare;
    Route urgent = search;
    applyStream(urgent, "urgent", profile.streams[1]);
    urgent.minimumShare = profile.urgentMinimumShare;
    urgent.recordLimit = 5;
    Route notes = configuration.routes[1];
    applyStream(notes, "notes", profile.streams[2]);
    configuration.routes = {search, urgent, notes};
    return configuration;
}

Duration logNormal(double meanMs, double variationCoefficient, std::mt19937_64 &random)
{
    const double sigma = std::sqrt(std::log(1 + variationCoefficient * variationCoefficient));
    std::lognormal_distribution<double> distribution(std::log(meanMs) - sigma * sigma / 2, sigma);
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(distribution(random)));
}

Duration executionTimeOf(const LoadProfile &profile, const CallerRequest &request,
                         std::mt19937_64 &random)
{
    const auto stream =
        std::ranges::find_if(profile.streams, [&request](const RequestStream &candidate) {
            return request.target.starts_with(candidate.path);
        });
    return logNormal(std::chrono::duration<double, std::milli>(stream->execution).count(),
                     stream->executionVariation, random);
}

/// The Retry-After of a refusal.
Duration retryAfterOf(const CallerAnswer &refusal)
{
    const auto field = std::ranges::find(refusal.fields, "Retry-After", &HttpField::name);
    if (field == refusal.fields.end())
        return {};
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(std::stod(field->value)));
}

} // namespace

/// A caller's request and its outcome, over all its attempts.
struct LoadSimulation::Request
{
    RequestStream stream;
    TimePoint sentAt{};
    int attemptsLeft = 0;
    std::shared_ptr<ReceivedAnswer> received;
    bool isServed = false;
    bool isRefused = false;
    /// Time at which the caller disconnects, if it does so early.
    std::optional<TimePoint> leavesAt;
    Duration latency{};
    double shardShare = 0;
};

LoadSimulation::LoadSimulation(LoadProfile profile, GatewayPolicy policy, std::uint64_t seed)
    : m_profile(std::move(profile))
    , m_loadFactors(m_profile.streams.size(), 1.0)
    , m_servers(m_scheduler, seed)
    , m_random(seed + 1)
{
    if (!policy.instances)
        policy.instances = defaultInstances;
    m_servers.executionTime = [this](const CallerRequest &request, std::mt19937_64 &random) {
        return executionTimeOf(m_profile, request, random);
    };
    m_servers.handshakeTime = milliseconds(6);
    for (int number = 0; number < m_profile.instances; ++number) {
        m_instances.push_back(std::make_unique<CoordinatedInstance>(
            m_scheduler, m_mesh, m_servers, policy, number,
            dataCentreName(number % m_profile.dataCentres),
            static_cast<std::size_t>(m_profile.instances), m_random()));
        TestInstance &instance = m_instances.back()->local;
        m_inUse.push_back(&instance);
        for (int service = 0; service <= m_profile.shards; ++service) {
            const int count = service == m_profile.shards ? notesServers : m_profile.replicas;
            for (int server = 0; server < count; ++server) {
                ServerRegistration registration = registrationOf(service, server);
                registration.dataCentre =
                    DataCentreId(dataCentreName((service + server) % m_profile.dataCentres));
                instance.fleet.onRegistration(registration.id, &registration);
            }
        }
        instance.gateway.configure(makeConfiguration(m_profile));
    }
    std::vector<Instance> coordinators;
    coordinators.reserve(static_cast<std::size_t>(m_profile.coordinators));
    for (int number = 0; number < m_profile.coordinators; ++number)
        coordinators.push_back(m_instances[static_cast<std::size_t>(number)]->description);
    for (const auto &instance : m_instances)
        instance->delegation.onCoordinators(InstanceId("seed"), coordinators);
    for (int server = 0; server < notesServers; ++server)
        m_servers.behaviour(addressOf(m_profile.shards, server)).slots = m_profile.notesSlots;
    if (m_profile.pause > Duration{}) {
        for (int service = 0; service < m_profile.shards; ++service) {
            for (int server = 0; server < m_profile.replicas; ++server)
                schedulePause(addressOf(service, server));
        }
    }
    m_scheduler.runFor(warmUpTime);
    for (std::size_t stream = 0; stream < m_profile.streams.size(); ++stream)
        scheduleNextRequest(stream);
}

void LoadSimulation::scheduleChange(Duration time, std::function<void()> change)
{
    m_scheduler.schedule(TimePoint{} + warmUpTime + time, std::move(change));
}

void LoadSimulation::kill(int number)
{
    CoordinatedInstance &instance = *m_instances[static_cast<std::size_t>(number)];
    std::erase(m_inUse, &instance.local);
    m_mesh.kill(instance.description.id);
}

void LoadSimulation::setLoad(const std::string &path, double factor, double leavingShare)
{
    for (std::size_t number = 0; number < m_profile.streams.size(); ++number) {
        if (m_profile.streams[number].path != path)
            continue;
        m_loadFactors[number] = factor;
        m_profile.streams[number].leavingShare = leavingShare;
    }
}

void LoadSimulation::run(Duration length)
{
    m_scheduler.runFor(length);
}

LoadResults LoadSimulation::results(const std::string &path, Duration from, Duration until) const
{
    LoadResults results;
    for (const auto &request : m_requests) {
        const Duration time = request->sentAt - (TimePoint{} + warmUpTime);
        if (request->stream.path != path || request->leavesAt || time < from || time >= until)
            continue;
        ++results.sent;
        if (!request->isServed) {
            ++(request->isRefused ? results.refused : results.failed);
            continue;
        }
        const bool isInTime = request->latency <= request->stream.latencyObjective;
        ++(isInTime ? results.inTime : results.late);
        results.credit += isInTime ? request->shardShare * request->shardShare : 0;
    }
    return results;
}

int LoadSimulation::attempts(const std::string &path, Duration from, Duration until) const
{
    return static_cast<int>(std::ranges::count_if(m_attempts, [&](const auto &attempt) {
        const Duration time = attempt.second - (TimePoint{} + warmUpTime);
        return attempt.first == path && time >= from && time < until;
    }));
}

void LoadSimulation::scheduleNextRequest(std::size_t stream)
{
    const double perSecond = m_profile.streams[stream].requestsPerSecond * m_loadFactors[stream];
    const auto wait = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(exponentialDelay(perSecond)));
    m_scheduler.schedule(m_scheduler.now() + wait, [this, stream] {
        auto request = std::make_shared<Request>();
        request->stream = m_profile.streams[stream];
        request->sentAt = m_scheduler.now();
        request->attemptsLeft = request->stream.retries + 1;
        std::uniform_real_distribution<double> fraction(0, 1);
        if (request->stream.leavingShare > 0 && fraction(m_random) < request->stream.leavingShare) {
            request->leavesAt = m_scheduler.now()
                                + std::chrono::duration_cast<Duration>(
                                    request->stream.latencyObjective * fraction(m_random));
        }
        m_requests.push_back(request);
        send(request);
        scheduleNextRequest(stream);
    });
}

void LoadSimulation::send(const std::shared_ptr<Request> &request)
{
    --request->attemptsLeft;
    m_attempts.emplace_back(request->stream.path, m_scheduler.now());
    const Duration left = request->stream.callerTimeout - (m_scheduler.now() - request->sentAt);
    TestInstance &instance = *m_inUse[m_random() % m_inUse.size()];
    request->received =
        instance.sendRequest("r" + std::to_string(++m_nextId), request->stream.path + "x", left);
    pollForAnswer(request);
}

void LoadSimulation::pollForAnswer(const std::shared_ptr<Request> &request)
{
    // Delay of the answer on its way to the caller, and the period of the checks.
    constexpr Duration callerDelay = milliseconds(1);
    const auto &answer = request->received->answer;
    const Duration age = m_scheduler.now() - request->sentAt;
    if (request->leavesAt && m_scheduler.now() >= *request->leavesAt) {
        if (const auto call = std::exchange(request->received->call, nullptr))
            call->onCallerDisconnected();
        return;
    }
    if (!answer && age < request->stream.callerTimeout) {
        m_scheduler.schedule(m_scheduler.now() + callerDelay,
                             [this, request] { pollForAnswer(request); });
        return;
    }
    const bool isServed = answer && answer->status == 200;
    const bool isRefused = answer && answer->status == 503;
    if (!isServed && request->attemptsLeft > 0 && age < request->stream.callerTimeout) {
        const Duration left = request->stream.callerTimeout - age;
        const Duration wait =
            isRefused ? std::min(retryAfterOf(*answer), left / 3) : milliseconds(5);
        m_scheduler.schedule(m_scheduler.now() + wait, [this, request] { send(request); });
        return;
    }
    request->isServed = isServed;
    request->isRefused = isRefused;
    request->latency = age + callerDelay;
    request->shardShare = 1.0
                          - static_cast<double>(request->received->missingShards)
                                / static_cast<double>(m_profile.shards);
}

void LoadSimulation::schedulePause(const Address &address)
{
    const double perSecond = 1.0 / std::chrono::duration<double>(m_profile.pausePeriod).count();
    const auto wait = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(exponentialDelay(perSecond)));
    m_scheduler.schedule(m_scheduler.now() + wait, [this, address] {
        m_servers.behaviour(address).pausedUntil = m_scheduler.now() + m_profile.pause;
        schedulePause(address);
    });
}

double LoadSimulation::exponentialDelay(double perSecond)
{
    return std::exponential_distribution<double>(perSecond)(m_random);
}

LoadProfile smallDeployment()
{
    LoadProfile profile;
    profile.streams = {
        {"/search/", 74, seconds(3), milliseconds(200), 1, milliseconds(28), 0.35, 1},
        {"/urgent/", 25, milliseconds(1200), milliseconds(80), 1, microseconds(9200), 0.35, 2},
        {"/notes/", 25, seconds(15), milliseconds(800), 1, milliseconds(220), 0.5, 2},
    };
    return profile;
}

LoadProfile coordinatedDeployment()
{
    LoadProfile profile;
    profile.instances = 295;
    profile.coordinators = 15;
    profile.shards = 180;
    profile.replicas = 3;
    profile.dataCentres = 5;
    profile.connectionCap = 175;
    profile.searchMinimumShare = 0.95;
    profile.urgentMinimumShare = 0.85;
    profile.streams = {
        {"/search/", 24, seconds(3), milliseconds(200), 1, milliseconds(28), 0.35, 1},
        {"/urgent/", 8, milliseconds(1200), milliseconds(80), 1, microseconds(9200), 0.35, 2},
        {"/notes/", 8, seconds(15), milliseconds(800), 1, milliseconds(220), 0.5, 2},
    };
    return profile;
}

LoadProfile prioritizedDeployment()
{
    LoadProfile profile;
    profile.instances = 35;
    profile.coordinators = 5;
    profile.shards = 90;
    profile.replicas = 3;
    profile.dataCentres = 3;
    profile.connectionCap = 66;
    profile.searchMinimumShare = 0.95;
    profile.urgentMinimumShare = 0.85;
    profile.notesSlots = 2;
    profile.pause = milliseconds(200);
    profile.pausePeriod = milliseconds(4500);
    profile.streams = {
        {"/search/", 31.7, milliseconds(2500), milliseconds(200), 1, milliseconds(20), 0.35, 1},
        {"/urgent/", 10.6, seconds(1), milliseconds(60), 1, microseconds(6700), 0.35, 0},
        {"/notes/", 10.6, seconds(10), milliseconds(600), 1, milliseconds(160), 0.5, 2},
    };
    return profile;
}

LoadProfile largeDeployment()
{
    LoadProfile profile;
    profile.instances = 98;
    profile.shards = 90;
    profile.replicas = 3;
    profile.dataCentres = 3;
    profile.connectionCap = 84;
    profile.searchMinimumShare = 0.95;
    profile.urgentMinimumShare = 0.85;
    profile.streams = {
        {"/search/", 30, seconds(3), milliseconds(200), 1, milliseconds(28), 0.35, 1},
        {"/urgent/", 10, milliseconds(1200), milliseconds(80), 1, microseconds(9200), 0.35, 2},
        {"/notes/", 10, seconds(15), milliseconds(800), 1, milliseconds(220), 0.5, 2},
    };
    return profile;
}

} // namespace oleander::gateway::testing
