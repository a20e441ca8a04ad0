#include "LoadDay.h"

#include <cmath>

namespace oleander::gateway::testing {

namespace {

/// Instances that share the servers' connections, where the policy does not say.
constexpr int usualInstances = 24;
constexpr int singleServers = 10;
/// Instances run for this long before callers come, so that all may use the allowance of extra
/// sendings.
constexpr Duration startTime = seconds(11);

std::string dataCentreNamed(int number)
{
    return "data-centre-" + std::to_string(number);
}

GatewayConfiguration configurationFor(const LoadShape &shape)
{
    GatewayConfiguration configuration = plainConfiguration(shape.shards);
    for (ServiceDeclaration &service : configuration.services)
        service.connectionCap = shape.connectionCap;
    Route search = configuration.routes[0];
    search.id = RouteId("search");
    search.prefix = "/search/";
    search.minimumShare = shape.searchShare;
    search.priority = 1;
    Route urgent = search;
    urgent.id = RouteId("urgent");
    urgent.prefix = "/urgent/";
    urgent.objective = milliseconds(80);
    urgent.timeout = milliseconds(1200);
    urgent.minimumShare = shape.urgentShare;
    urgent.recordLimit = 5;
    urgent.priority = 2;
    Route notes = configuration.routes[1];
    notes.id = RouteId("notes");
    notes.prefix = "/notes/";
    notes.priority = 2;
    configuration.routes = {search, urgent, notes};
    return configuration;
}

Duration logNormal(double meanMs, double spread, std::mt19937_64 &random)
{
    const double sigma = std::sqrt(std::log(1 + spread * spread));
    std::lognormal_distribution<double> distribution(std::log(meanMs) - sigma * sigma / 2, sigma);
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(distribution(random)));
}

Duration workFor(const CallerRequest &request, std::mt19937_64 &random)
{
    if (request.target.starts_with("/search/"))
        return logNormal(28, 0.35, random);
    if (request.target.starts_with("/urgent/"))
        return logNormal(9.2, 0.35, random);
    return logNormal(220, 0.5, random);
}

} // namespace

struct LoadDay::Request
{
    CallerKind kind;
    TimePoint asked{};
    int triesLeft = 0;
    std::shared_ptr<Received> received;
    bool isServed = false;
    bool isRefused = false;
    Duration after{};
    double share = 0;
};

LoadDay::LoadDay(LoadShape shape, GatewayPolicy policy, std::uint64_t seed)
    : m_shape(std::move(shape))
    , m_servers(m_scheduler, seed)
    , m_random(seed + 1)
{
    if (!policy.instances)
        policy.instances = usualInstances;
    m_servers.workTime = workFor;
    m_servers.handshake = milliseconds(6);
    for (int number = 0; number < m_shape.instances; ++number) {
        m_instances.push_back(
            std::make_unique<TestInstance>(m_scheduler, m_servers, policy, m_random(),
                                           dataCentreNamed(number % m_shape.dataCentres)));
        for (int service = 0; service <= m_shape.shards; ++service) {
            const int count = service == m_shape.shards ? singleServers : m_shape.replicas;
            for (int server = 0; server < count; ++server) {
                ServerRegistration registration = registrationOf(service, server);
                registration.dataCentre =
                    DataCentreId(dataCentreNamed(server % m_shape.dataCentres));
                m_instances.back()->fleet.onRegistration(registration.id, &registration);
            }
        }
        m_instances.back()->gateway.configure(configurationFor(m_shape));
    }
    for (int server = 0; server < singleServers; ++server)
        m_servers.conduct(addressOf(m_shape.shards, server)).slots = 4;
    if (m_shape.pause > Duration{}) {
        for (int service = 0; service < m_shape.shards; ++service) {
            for (int server = 0; server < m_shape.replicas; ++server)
                schedulePause(addressOf(service, server));
        }
    }
    m_scheduler.runFor(startTime);
    for (const CallerKind &kind : m_shape.kinds)
        scheduleNext(kind);
}

void LoadDay::at(Duration time, std::function<void()> change)
{
    m_scheduler.schedule(TimePoint{} + startTime + time, std::move(change));
}

void LoadDay::run(Duration length)
{
    m_scheduler.runFor(length);
}

LoadFigures LoadDay::figures(const std::string &path, Duration from, Duration until) const
{
    LoadFigures figures;
    for (const auto &request : m_requests) {
        const Duration time = request->asked - (TimePoint{} + startTime);
        if (request->kind.path != path || time < from || time >= until)
            continue;
        ++figures.asked;
        if (!request->isServed) {
            ++(request->isRefused ? figures.refused : figures.failed);
            continue;
        }
        const bool isInTime = request->after <= request->kind.objective;
        ++(isInTime ? figures.inTime : figures.late);
        figures.credit += isInTime ? request->share * request->share : 0;
    }
    return figures;
}

int LoadDay::tries(const std::string &path, Duration from, Duration until) const
{
    return static_cast<int>(std::ranges::count_if(m_tries, [&](const auto &made) {
        const Duration time = made.second - (TimePoint{} + startTime);
        return made.first == path && time >= from && time < until;
    }));
}

void LoadDay::scheduleNext(const CallerKind &kind)
{
    const auto wait = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(exponential(kind.perSecond)));
    m_scheduler.schedule(m_scheduler.now() + wait, [this, kind] {
        auto request = std::make_shared<Request>();
        request->kind = kind;
        request->asked = m_scheduler.now();
        request->triesLeft = kind.retries + 1;
        m_requests.push_back(request);
        ask(request);
        scheduleNext(kind);
    });
}

void LoadDay::ask(const std::shared_ptr<Request> &request)
{
    --request->triesLeft;
    m_tries.emplace_back(request->kind.path, m_scheduler.now());
    const Duration left = request->kind.patience - (m_scheduler.now() - request->asked);
    TestInstance &instance = *m_instances[m_random() % m_instances.size()];
    request->received =
        instance.ask("r" + std::to_string(++m_nextId), request->kind.path + "x", left);
    look(request);
}

void LoadDay::look(const std::shared_ptr<Request> &request)
{
    constexpr Duration toCaller = milliseconds(1);
    const auto &answer = request->received->answer;
    const Duration age = m_scheduler.now() - request->asked;
    if (!answer && age < request->kind.patience) {
        m_scheduler.schedule(m_scheduler.now() + toCaller, [this, request] { look(request); });
        return;
    }
    const bool isServed = answer && answer->status == 200;
    const bool isRefused = answer && answer->status == 503;
    if (!isServed && request->triesLeft > 0 && age < request->kind.patience) {
        const Duration wait = isRefused ? milliseconds(400) : milliseconds(5);
        m_scheduler.schedule(m_scheduler.now() + wait, [this, request] { ask(request); });
        return;
    }
    request->isServed = isServed;
    request->isRefused = isRefused;
    request->after = age + toCaller;
    request->share =
        1.0 - static_cast<double>(request->received->missing) / static_cast<double>(m_shape.shards);
}

void LoadDay::schedulePause(const Address &address)
{
    const double perSecond = 1.0 / std::chrono::duration<double>(m_shape.pausePeriod).count();
    const auto wait =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(exponential(perSecond)));
    m_scheduler.schedule(m_scheduler.now() + wait, [this, address] {
        m_servers.conduct(address).pausedUntil = m_scheduler.now() + m_shape.pause;
        schedulePause(address);
    });
}

double LoadDay::exponential(double perSecond)
{
    return std::exponential_distribution<double>(perSecond)(m_random);
}

LoadShape busyDay()
{
    LoadShape shape;
    shape.kinds = {
        {"/search/", 74, seconds(3), milliseconds(200), 1},
        {"/urgent/", 25, milliseconds(1200), milliseconds(80), 1},
        {"/notes/", 25, seconds(15), milliseconds(800), 1},
    };
    return shape;
}

LoadShape largeFleet()
{
    LoadShape shape;
    shape.instances = 98;
    shape.shards = 90;
    shape.replicas = 3;
    shape.dataCentres = 3;
    shape.connectionCap = 84;
    shape.searchShare = 0.95;
    shape.urgentShare = 0.85;
    shape.kinds = {
        {"/search/", 30, seconds(3), milliseconds(200), 1},
        {"/urgent/", 10, milliseconds(1200), milliseconds(80), 1},
        {"/notes/", 10, seconds(15), milliseconds(800), 1},
    };
    return shape;
}

} // namespace oleander::gateway::testing
