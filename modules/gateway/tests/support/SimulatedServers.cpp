#include "SimulatedServers.h"

#include <algorithm>

namespace oleander::gateway::testing {

/// One connection. What is scheduled for it does nothing once it is closed.
class SimulatedServers::Link final : public ServerLink
{
public:
    struct State
    {
        ServerLinkListener *listener = nullptr;
        bool isOpen = false;
        std::shared_ptr<Work> work;
    };

    Link(SimulatedServers &owner, Server &server, ServerLinkListener &listener);
    Link(const Link &) = delete;
    Link &operator=(const Link &) = delete;
    ~Link() override;

    void send(const ServerRequest &request) override;
    [[nodiscard]] std::optional<Duration> keepAlive() const override { return std::nullopt; }
    [[nodiscard]] const std::shared_ptr<State> &state() const { return m_state; }

private:
    SimulatedServers &m_owner;
    Server &m_server;
    std::shared_ptr<State> m_state;
};

struct SimulatedServers::Work
{
    std::shared_ptr<Link::State> link;
    std::shared_ptr<const CallerRequest> request;
    TimePoint deadline{};
    bool isStarted = false;
};

struct SimulatedServers::Server
{
    Address address;
    ServerConduct conduct;
    ServerTally tally;
    std::vector<std::weak_ptr<Link::State>> links;
    std::vector<std::shared_ptr<Work>> running;
    std::deque<std::shared_ptr<Work>> waiting;
};

SimulatedServers::Link::Link(SimulatedServers &owner, Server &server, ServerLinkListener &listener)
    : m_owner(owner)
    , m_server(server)
    , m_state(std::make_shared<State>())
{
    m_state->listener = &listener;
    ++m_owner.m_openLinks;
    ++m_server.tally.links;
}

SimulatedServers::Link::~Link()
{
    --m_owner.m_openLinks;
    --m_server.tally.links;
    m_state->listener = nullptr;
    // Servers drop a request when its connection closes.
    if (m_state->work) {
        m_owner.m_scheduler.schedule(
            m_owner.m_scheduler.now() + m_owner.oneWay,
            [&owner = m_owner, &server = m_server, work = m_state->work] {
                if (std::erase(server.running, work) + std::erase(server.waiting, work) > 0)
                    ++server.tally.dropped;
                owner.startNext(server);
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
        m_owner.m_scheduler.now() + m_owner.oneWay,
        [&owner = m_owner, &server = m_server, work] { owner.arrive(server, work); });
}

SimulatedServers::SimulatedServers(VirtualScheduler &scheduler, std::uint64_t seed)
    : m_scheduler(scheduler)
    , m_random(seed)
{
}

SimulatedServers::~SimulatedServers() = default;

ServerConduct &SimulatedServers::conduct(const Address &address)
{
    return serverAt(address).conduct;
}

const ServerTally &SimulatedServers::tally(const Address &address)
{
    return serverAt(address).tally;
}

std::size_t SimulatedServers::waiting(const Address &address)
{
    return serverAt(address).waiting.size();
}

void SimulatedServers::crash(const Address &address)
{
    Server &server = serverAt(address);
    server.conduct.isDown = true;
    server.running.clear();
    server.waiting.clear();
    for (const auto &weak : std::exchange(server.links, {})) {
        m_scheduler.schedule(m_scheduler.now() + oneWay, [weak] {
            const auto state = weak.lock();
            if (!state || !state->listener)
                return;
            state->work.reset();
            std::exchange(state->listener, nullptr)->onClosed(state->isOpen);
        });
    }
}

std::unique_ptr<ServerLink> SimulatedServers::open(const Address &address,
                                                   ServerLinkListener &listener)
{
    Server &server = serverAt(address);
    auto link = std::make_unique<Link>(*this, server, listener);
    ++m_openings;
    server.links.push_back(link->state());
    if (server.conduct.isDark)
        return link;
    const std::weak_ptr<Link::State> weak = link->state();
    m_scheduler.schedule(m_scheduler.now() + 2 * oneWay + handshake, [&server, weak] {
        const auto state = weak.lock();
        if (!state || !state->listener)
            return;
        const bool isBeyondCap = server.tally.links > server.conduct.connectionCap;
        server.tally.linksRefused += isBeyondCap ? 1 : 0;
        if (server.conduct.isDown || isBeyondCap) {
            std::exchange(state->listener, nullptr)->onClosed(false);
            return;
        }
        state->isOpen = true;
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

void SimulatedServers::arrive(Server &server, const std::shared_ptr<Work> &work)
{
    const ServerConduct &conduct = server.conduct;
    if (conduct.isDark || conduct.isDown || !work->link->listener)
        return;
    ++server.tally.arrived;
    ServerReply refusal;
    refusal.status = 503;
    refusal.isNotExecuted = true;
    if (conduct.isMisplaced) {
        refusal.status = 421;
        refusal.isMisdirected = true;
    }
    const bool isFull = static_cast<int>(server.waiting.size()) >= conduct.queue;
    if (conduct.isMisplaced || isFull || draw() < conduct.refusedShare) {
        ++server.tally.refused;
        reply(work, std::move(refusal));
        return;
    }
    server.waiting.push_back(work);
    startNext(server);
}

void SimulatedServers::startNext(Server &server)
{
    if (server.conduct.isDown || server.conduct.isDark)
        return;
    const TimePoint now = m_scheduler.now();
    while (!server.waiting.empty()
           && static_cast<int>(server.running.size()) < server.conduct.slots) {
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
        ++server.tally.executed;
        server.tally.executedIds.push_back(work->request->id.text());
        const Duration usual = workTime(*work->request, m_random);
        const auto taken = std::chrono::duration_cast<Duration>(usual * server.conduct.slowness);
        const TimePoint start = std::max(now, server.conduct.pausedUntil);
        m_scheduler.schedule(start + taken, [this, &server, work] { finish(server, work); });
    }
}

void SimulatedServers::finish(Server &server, const std::shared_ptr<Work> &work)
{
    const TimePoint now = m_scheduler.now();
    if (std::ranges::find(server.running, work) == server.running.end())
        return;
    if (now < server.conduct.pausedUntil) {
        m_scheduler.schedule(server.conduct.pausedUntil,
                             [this, &server, work] { finish(server, work); });
        return;
    }
    std::erase(server.running, work);
    if (server.conduct.isDark || server.conduct.isDown)
        return;
    ServerReply answer;
    answer.status = now > work->deadline ? 504 : draw() < server.conduct.failedShare ? 500 : 200;
    answer.receipt = "receipt-" + std::to_string(++m_receipts);
    answer.body = body(*work->request, server.address);
    answer.load = ReportedLoad{static_cast<int>(server.running.size()),
                               static_cast<int>(server.waiting.size()), server.conduct.slots};
    if (draw() < server.conduct.lostShare) {
        m_scheduler.schedule(now + oneWay, [work] {
            work->link->work.reset();
            if (work->link->listener)
                std::exchange(work->link->listener, nullptr)->onClosed(true);
        });
    } else {
        reply(work, std::move(answer));
    }
    startNext(server);
}

void SimulatedServers::reply(const std::shared_ptr<Work> &work, ServerReply reply)
{
    m_scheduler.schedule(m_scheduler.now() + oneWay, [work, reply = std::move(reply)] {
        work->link->work.reset();
        if (work->link->listener)
            work->link->listener->onReply(reply, true);
    });
}

} // namespace oleander::gateway::testing
