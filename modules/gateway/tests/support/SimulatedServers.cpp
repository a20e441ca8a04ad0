#include "SimulatedServers.h"

#include <algorithm>
#include <set>

namespace oleander::gateway::testing {

/// The state of one connection. Scheduled events refer to it and do nothing once its listener is
/// reset.
struct SimulatedServers::LinkState
{
    ServerLinkListener *listener = nullptr;
    bool isOpen = false;
    std::shared_ptr<Work> work;
    std::set<std::string> carriedIds;
};

/// One connection.
class SimulatedServers::Link final : public ServerLink
{
public:
    Link(SimulatedServers &owner, Server &server, ServerLinkListener &listener);
    Link(const Link &) = delete;
    Link &operator=(const Link &) = delete;
    ~Link() override;

    void send(const ServerRequest &request) override;
    [[nodiscard]] std::optional<Duration> keepAlive() const override { return std::nullopt; }
    [[nodiscard]] const std::shared_ptr<LinkState> &state() const { return m_state; }

private:
    SimulatedServers &m_owner;
    Server &m_server;
    std::shared_ptr<LinkState> m_state;
};

/// One request on its way to or at a server.
struct SimulatedServers::Work
{
    std::shared_ptr<LinkState> link;
    std::shared_ptr<const CallerRequest> request;
    TimePoint deadline{};
    bool isStarted = false;
};

struct SimulatedServers::Server
{
    Address address;
    ServerBehaviour behaviour;
    ServerCounters counters;
    std::vector<std::weak_ptr<LinkState>> links;
    std::vector<std::shared_ptr<Work>> running;
    std::deque<std::shared_ptr<Work>> waiting;
    /// Until then the address accepts connections, although the server is down.
    TimePoint listensUntil{};
};

SimulatedServers::Link::Link(SimulatedServers &owner, Server &server, ServerLinkListener &listener)
    : m_owner(owner)
    , m_server(server)
    , m_state(std::make_shared<LinkState>())
{
    m_state->listener = &listener;
    ++m_owner.m_openConnections;
    ++m_server.counters.connections;
}

SimulatedServers::Link::~Link()
{
    --m_owner.m_openConnections;
    --m_server.counters.connections;
    m_state->listener = nullptr;
    // Servers drop a request when its connection closes.
    if (m_state->work) {
        m_owner.m_scheduler.schedule(
            m_owner.m_scheduler.now() + m_owner.oneWayDelay,
            [&owner = m_owner, &server = m_server, work = m_state->work] {
                if (std::erase(server.running, work) + std::erase(server.waiting, work) > 0)
                    ++server.counters.cancelled;
                owner.startQueuedWork(server);
            });
    }
}

void SimulatedServers::Link::send(const ServerRequest &request)
{
    auto work = std::make_shared<Work>();
    work->link = m_state;
    work->request = request.request;
    work->deadline = m_owner.m_scheduler.now() + request.timeLeft;
    m_state->work = work;
    m_owner.m_scheduler.schedule(
        m_owner.m_scheduler.now() + m_owner.oneWayDelay,
        [&owner = m_owner, &server = m_server, work] { owner.receive(server, work); });
}

SimulatedServers::SimulatedServers(VirtualScheduler &scheduler, std::uint64_t seed)
    : m_scheduler(scheduler)
    , m_random(seed)
{
}

SimulatedServers::~SimulatedServers() = default;

ServerBehaviour &SimulatedServers::behaviour(const Address &address)
{
    return serverAt(address).behaviour;
}

const ServerCounters &SimulatedServers::counters(const Address &address)
{
    return serverAt(address).counters;
}

std::size_t SimulatedServers::queueLength(const Address &address)
{
    return serverAt(address).waiting.size();
}

void SimulatedServers::crash(const Address &address)
{
    Server &server = serverAt(address);
    server.behaviour.isDown = true;
    server.listensUntil = m_scheduler.now() + crashListenTime;
    server.running.clear();
    server.waiting.clear();
    for (const auto &weakState : std::exchange(server.links, {})) {
        m_scheduler.schedule(m_scheduler.now() + oneWayDelay,
                             [weakState] { closeByServer(weakState); });
    }
}

void SimulatedServers::closeByServer(const std::weak_ptr<LinkState> &weakState)
{
    const auto state = weakState.lock();
    if (!state || !state->listener)
        return;
    state->work.reset();
    std::exchange(state->listener, nullptr)
        ->onClosed(state->isOpen ? LinkEnd::ClosedByServer : LinkEnd::NotOpened);
}

std::unique_ptr<ServerLink> SimulatedServers::open(const Address &address,
                                                   ServerLinkListener &listener)
{
    Server &server = serverAt(address);
    auto link = std::make_unique<Link>(*this, server, listener);
    ++m_connectionAttempts;
    server.links.push_back(link->state());
    if (server.behaviour.isUnresponsive)
        return link;
    const std::weak_ptr<LinkState> weakState = link->state();
    m_scheduler.schedule(m_scheduler.now() + 2 * oneWayDelay + handshakeTime, [this, &server,
                                                                               weakState] {
        const auto state = weakState.lock();
        if (!state || !state->listener)
            return;
        const bool isBeyondCap = server.counters.connections > server.behaviour.connectionCap;
        server.counters.connectionsRefused += isBeyondCap ? 1 : 0;
        const bool isListening =
            !server.behaviour.isDown || m_scheduler.now() < server.listensUntil;
        if (!isListening || isBeyondCap) {
            std::exchange(state->listener, nullptr)->onClosed(LinkEnd::NotOpened);
            return;
        }
        state->isOpen = true;
        if (server.behaviour.isDown)
            m_scheduler.schedule(server.listensUntil, [weakState] { closeByServer(weakState); });
        state->listener->onOpened();
    });
    return link;
}

SimulatedServers::Server &SimulatedServers::serverAt(const Address &address)
{
    auto &server = m_servers[address.number + ":" + std::to_string(address.port)];
    if (!server) {
        server = std::make_unique<Server>();
        server->address = address;
    }
    return *server;
}

void SimulatedServers::replyHealth(Server &server, const std::shared_ptr<Work> &work)
{
    ++server.counters.healthRequests;
    ServerReply health;
    health.status = 200;
    health.serverId = server.behaviour.isReplaced ? ServerId("another") : ServerId();
    health.warmUpLeft = std::max(Duration{}, server.behaviour.coldUntil - m_scheduler.now());
    reply(work, std::move(health));
}

void SimulatedServers::receive(Server &server, const std::shared_ptr<Work> &work)
{
    const ServerBehaviour &behaviour = server.behaviour;
    if (behaviour.isUnresponsive || behaviour.isDown || !work->link->listener)
        return;
    if (behaviour.isResetting) {
        m_scheduler.schedule(m_scheduler.now() + oneWayDelay,
                             [link = std::weak_ptr(work->link)] { closeByServer(link); });
        return;
    }
    if (work->request->target == healthPath) {
        replyHealth(server, work);
        return;
    }
    ++server.counters.arrived;
    server.counters.arrivalTimes.push_back(m_scheduler.now());
    if (!work->link->carriedIds.insert(work->request->id.text()).second)
        ++server.counters.repeatedOnConnection;
    ServerReply refusal;
    refusal.status = 503;
    refusal.isNotExecuted = true;
    refusal.isLeaving = behaviour.isLeaving;
    refusal.retryAfter = behaviour.retryAfter;
    if (behaviour.isReplaced) {
        refusal.status = 421;
        refusal.isMisdirected = true;
    }
    const bool isFull = static_cast<int>(server.waiting.size()) >= behaviour.queueLimit;
    if (behaviour.isReplaced || isFull || randomFraction() < behaviour.refusalRate) {
        ++server.counters.refused;
        reply(work, std::move(refusal));
        return;
    }
    if (randomFraction() < behaviour.immediateFailureRate) {
        ServerReply failure;
        failure.status = 500;
        failure.receipt = "receipt-" + std::to_string(++m_receiptCount);
        reply(work, std::move(failure));
        return;
    }
    server.waiting.push_back(work);
    startQueuedWork(server);
}

void SimulatedServers::startQueuedWork(Server &server)
{
    if (server.behaviour.isDown || server.behaviour.isUnresponsive)
        return;
    const TimePoint now = m_scheduler.now();
    while (!server.waiting.empty()
           && static_cast<int>(server.running.size()) < server.behaviour.slots) {
        const auto work = server.waiting.front();
        server.waiting.pop_front();
        if (now > work->deadline) {
            ServerReply refusal;
            refusal.status = 503;
            refusal.isNotExecuted = true;
            reply(work, std::move(refusal));
            continue;
        }
        work->isStarted = true;
        server.running.push_back(work);
        ++server.counters.executed;
        server.counters.executedIds.push_back(work->request->id.text());
        if (isCrashing && isCrashing(*work->request)) {
            if (crashAfter == Duration::zero()) {
                crashAndRestart(server);
                return;
            }
            m_scheduler.schedule(now + crashAfter,
                                 [this, &server, work] { crashUnder(server, work); });
        }
        const Duration usualTime = executionTime(*work->request, m_random);
        const auto executionDuration =
            std::chrono::duration_cast<Duration>(usualTime * server.behaviour.slowdown);
        const TimePoint start = std::max(now, server.behaviour.pausedUntil);
        m_scheduler.schedule(start + executionDuration,
                             [this, &server, work] { finish(server, work); });
    }
}

void SimulatedServers::crashUnder(Server &server, const std::shared_ptr<Work> &work)
{
    // The server may have answered the request, or dropped it with its connection.
    if (std::ranges::find(server.running, work) != server.running.end())
        crashAndRestart(server);
}

void SimulatedServers::crashAndRestart(Server &server)
{
    ++m_crashes;
    crash(server.address);
    if (onCrashed)
        onCrashed(server.address);
    m_scheduler.schedule(m_scheduler.now() + crashDownTime,
                         [&server] { server.behaviour.isDown = false; });
}

void SimulatedServers::finish(Server &server, const std::shared_ptr<Work> &work)
{
    const TimePoint now = m_scheduler.now();
    if (std::ranges::find(server.running, work) == server.running.end())
        return;
    if (now < server.behaviour.pausedUntil) {
        m_scheduler.schedule(server.behaviour.pausedUntil,
                             [this, &server, work] { finish(server, work); });
        return;
    }
    std::erase(server.running, work);
    if (server.behaviour.isUnresponsive || server.behaviour.isDown)
        return;
    ServerReply answer;
    answer.status = now > work->deadline                              ? 504
                    : randomFraction() < server.behaviour.failureRate ? 500
                                                                      : 200;
    answer.receipt = "receipt-" + std::to_string(++m_receiptCount);
    answer.body = makeBody(*work->request, server.address);
    answer.isLeaving = server.behaviour.isLeaving;
    answer.rateLimit = server.behaviour.rateLimit;
    answer.load = ReportedLoad{static_cast<int>(server.running.size()),
                               static_cast<int>(server.waiting.size()), server.behaviour.slots};
    if (randomFraction() < server.behaviour.lostReplyRate) {
        m_scheduler.schedule(now + oneWayDelay, [work] {
            work->link->work.reset();
            if (work->link->listener)
                std::exchange(work->link->listener, nullptr)->onClosed(LinkEnd::ClosedByServer);
        });
    } else {
        reply(work, std::move(answer));
    }
    startQueuedWork(server);
}

void SimulatedServers::reply(const std::shared_ptr<Work> &work, ServerReply reply)
{
    m_scheduler.schedule(m_scheduler.now() + oneWayDelay, [work, reply = std::move(reply)] {
        work->link->work.reset();
        if (work->link->listener)
            work->link->listener->onReply(reply, true);
    });
}

} // namespace oleander::gateway::testing
