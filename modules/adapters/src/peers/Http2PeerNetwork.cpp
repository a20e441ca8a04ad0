#include "concurrency/Listening.h"
#include "peers/PeerClientSession.h"
#include "peers/PeerServerSession.h"

#include <oleander/adapters/peers/Http2PeerNetwork.h>
#include <oleander/adapters/time/SteadyTime.h>

#include <unordered_map>

namespace oleander {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t maximumIncomingSessions = 4096;
/// Maximum number of incoming sessions that are not authenticated yet.
constexpr std::size_t maximumUnauthenticatedSessions = 256;
constexpr Duration tickPeriod = milliseconds(50);
/// If a tick is later than this, the process itself was paused, so missing data from peers does not
/// mean that they have failed.
constexpr Duration pauseThreshold = milliseconds(100);
/// After a failed attempt to open a session, calls to that peer fail immediately for this time.
constexpr Duration reconnectDelay = milliseconds(50);
/// A probe that ends later than this says nothing.
constexpr Duration probeLateness = milliseconds(10);
constexpr Duration acceptRetryDelay = milliseconds(100);
/// At most one log line about refused peers is written in this time, however many connections are
/// refused.
constexpr Duration refusalLogPeriod = seconds(1);

} // namespace

class Http2PeerNetwork::Impl : private PeerClientOwner, private PeerServerOwner
{
public:
    Impl(asio::io_context &context, TimerService &timers, EventLog &log, PeerIdentity identity)
        : m_context(context)
        , m_timers(timers)
        , m_log(log)
        , m_identity(std::move(identity))
        , m_tick(timers.callEvery(tickPeriod, [this](const TimerTick &tick) { onTick(tick); }))
    {
    }

    ~Impl() override
    {
        m_calls.clear();
        for (const auto &[key, session] : std::exchange(m_clients, {}))
            session->close();
        for (const auto &[key, session] : std::exchange(m_draining, {}))
            session->close();
        for (const auto &[key, session] : std::exchange(m_servers, {}))
            session->close();
    }

    // Listening
    std::optional<std::uint16_t> listen(const std::string &address, Reason &reason)
    {
        m_acceptor = listenOn(m_context, address, reason);
        if (!m_acceptor)
            return std::nullopt;
        accept();
        return m_acceptor->local_endpoint().port();
    }

    void beginStop()
    {
        m_isStopping = true;
        m_acceptor.reset();
        const auto servers = m_servers;
        for (const auto &[key, session] : servers)
            session->beginStop();
        reportStopped();
    }

    void whenStopped(std::function<void()> callback)
    {
        m_whenStopped = std::move(callback);
        reportStopped();
    }

    // Calls
    PeerCallId call(const Instance &peer, PeerRequest request, Duration timeLeft,
                    PeerCallback callback)
    {
        const PeerCallId id(++m_lastCall);
        Call &call = m_calls[id];
        call.callback = std::move(callback);
        call.deadline = m_timers.callAfter(timeLeft, [this, id](auto &) { onDeadline(id); });
        const TimePoint now = steadyNow();
        const auto session = timeLeft > Duration::zero() ? sessionTo(peer, now) : nullptr;
        if (!session) {
            m_timers.post([this, id, life = std::weak_ptr<char>(m_life)] {
                if (!life.expired())
                    endCall(id, {PeerCallStatus::NotProcessed, std::nullopt});
            });
            return id;
        }
        call.session = session;
        session->startCall(id, std::move(request), now + timeLeft);
        return id;
    }

    void cancel(PeerCallId id)
    {
        const auto node = m_calls.extract(id);
        if (node.empty())
            return;
        if (const auto session = node.mapped().session.lock())
            session->abandonCall(id);
    }

    void probe(const Instance &peer, Duration timeout, std::function<void(bool)> callback)
    {
        const TimePoint sentAt = steadyNow();
        const auto session = sessionTo(peer, sentAt);
        if (session)
            session->ping();
        const std::uint64_t id = ++m_lastProbe;
        m_probes[id] =
            m_timers.callAfter(timeout, [this, id, sentAt, session = std::weak_ptr(session),
                                         callback = std::move(callback)](const TimerTick &tick) {
                const auto keptAlive = m_probes.extract(id);
                const auto held = session.lock();
                // A process that was paused itself, or had much to do, knows nothing of the peer.
                const bool wasPaused = tick.lateness() > probeLateness;
                callback(wasPaused || (held && held->hasReceivedSince(sentAt)));
            });
    }

    PeerNetworkStatistics statistics() const
    {
        PeerNetworkStatistics result;
        result.outgoingSessions = m_clients.size() + m_draining.size();
        result.incomingSessions = m_servers.size();
        for (const auto &[key, session] : m_servers)
            result.incomingRequests += session->requests();
        result.refusedSessions = m_refusedSessions;
        return result;
    }

    void setHandler(PeerHandler *newHandler) { m_handler = newHandler; }
    void setMemory(std::shared_ptr<ProcessMemory> memory) { m_memory = std::move(memory); }

private:
    struct Call
    {
        PeerCallback callback;
        Subscription deadline;
        std::weak_ptr<PeerClientSession> session;
    };

    // Outgoing sessions

    /// Returns the session for a new call and opens one if necessary. Returns null during the
    /// reconnect delay.
    std::shared_ptr<PeerClientSession> sessionTo(const Instance &peer, TimePoint now)
    {
        const auto found = m_clients.find(peer.id);
        if (found != m_clients.end()) {
            auto session = found->second;
            if (session->acceptsCalls() && session->peer().peerAddress == peer.peerAddress)
                return session;
            m_clients.erase(found);
            m_draining.emplace(session.get(), session);
            session->drain();
        }
        const auto pause = m_reconnectNotBefore.find(peerLabel(peer));
        if (pause != m_reconnectNotBefore.end() && now < pause->second)
            return nullptr;
        PeerClientOwner &owner = *this;
        auto session = std::make_shared<PeerClientSession>(m_context, peer, owner);
        m_clients.emplace(peer.id, session);
        session->open();
        return session;
    }

    void onDeadline(PeerCallId id)
    {
        const auto found = m_calls.find(id);
        if (found == m_calls.end())
            return;
        const auto session = found->second.session.lock();
        const PeerCallStatus proof =
            session ? session->abandonCall(id) : PeerCallStatus::NotProcessed;
        endCall(id, {proof, std::nullopt});
    }

    void endCall(PeerCallId id, PeerOutcome outcome)
    {
        const auto node = m_calls.extract(id);
        if (!node.empty())
            node.mapped().callback(std::move(outcome));
    }

    // PeerClientOwner and PeerServerOwner
    const PeerIdentity &identity() const override { return m_identity; }

    void onCallEnded(PeerCallId id, PeerOutcome outcome) override
    {
        endCall(id, std::move(outcome));
    }

    void onClientOpened(PeerClientSession &session) override
    {
        m_log.record(EventId::PeerOpened, "to " + nameOf(session));
    }

    void onClientEnded(PeerClientSession &session, const std::string &why, bool isRefusal) override
    {
        m_draining.erase(&session);
        const auto found = m_clients.find(session.peer().id);
        if (found != m_clients.end() && found->second.get() == &session)
            m_clients.erase(found);
        if (!session.wasOpen())
            m_reconnectNotBefore[peerLabel(session.peer())] = steadyNow() + reconnectDelay;
        if (isRefusal)
            recordRefusal("to " + nameOf(session) + ": " + why);
        else if (session.wasOpen() && !why.empty())
            m_log.record(EventId::PeerLost, "to " + nameOf(session) + ": " + why);
    }

    static std::string peerLabel(const Instance &peer)
    {
        return peer.id.text() + " at " + peer.peerAddress;
    }

    static std::string nameOf(const PeerClientSession &session)
    {
        return peerLabel(session.peer());
    }

    // Incoming sessions

    const std::shared_ptr<ProcessMemory> &memory() const override { return m_memory; }
    PeerHandler *handler() override { return m_isStopping ? nullptr : m_handler; }

    void accept()
    {
        m_acceptor->async_accept([this, life = std::weak_ptr<char>(m_life)](const error_code &error,
                                                                            tcp::socket socket) {
            if (life.expired() || !m_acceptor)
                return;
            if (error) {
                m_acceptAgain = m_timers.callAfter(acceptRetryDelay, [this](auto &) {
                    if (m_acceptor)
                        accept();
                });
                return;
            }
            acceptSession(std::move(socket));
            accept();
        });
    }

    void acceptSession(tcp::socket socket)
    {
        if (m_servers.size() >= maximumIncomingSessions
            || unauthenticatedSessions() >= maximumUnauthenticatedSessions) {
            ++m_refusedSessions;
            return;
        }
        PeerServerOwner &owner = *this;
        const auto session = std::make_shared<PeerServerSession>(std::move(socket), owner);
        m_servers.emplace(session.get(), session);
        session->start();
    }

    [[nodiscard]] std::size_t unauthenticatedSessions() const
    {
        return m_servers.size() - m_authenticatedServers;
    }

    void onServerAuthenticated(PeerServerSession &session) override
    {
        ++m_authenticatedServers;
        m_log.record(EventId::PeerOpened, "from " + session.peerName());
    }

    void onServerRefused(PeerServerSession &session, const std::string &why) override
    {
        ++m_refusedSessions;
        recordRefusal("from " + session.peerName() + ": " + why);
    }

    void onServerEnded(PeerServerSession &session, const std::string &why) override
    {
        if (session.isAuthenticated()) {
            --m_authenticatedServers;
            m_log.record(EventId::PeerLost, "from " + session.peerName() + ": " + why);
        }
        m_servers.erase(&session);
        reportStopped();
    }

    void recordRefusal(const std::string &text)
    {
        const TimePoint now = steadyNow();
        if (now < m_nextRefusalLog)
            return;
        m_nextRefusalLog = now + refusalLogPeriod;
        m_log.record(EventId::PeerRefused, text);
    }

    void reportStopped()
    {
        if (!m_isStopping || !m_servers.empty() || !m_whenStopped)
            return;
        m_timers.post(std::exchange(m_whenStopped, nullptr));
    }

    // Periodic checks

    void onTick(const TimerTick &tick)
    {
        const bool wasPaused = tick.lateness() > pauseThreshold;
        const auto check = [&](const auto &sessions) {
            // Iterates over a copy, since a tick may end a session and remove it from the map.
            auto present = sessions;
            while (!present.empty()) {
                const auto session = present.extract(present.begin()).mapped();
                if (wasPaused)
                    session->resetSilence(tick.fired);
                else
                    session->tick(tick.fired);
            }
        };
        std::erase_if(m_reconnectNotBefore,
                      [&](const auto &entry) { return entry.second <= tick.fired; });
        check(m_clients);
        check(m_draining);
        check(m_servers);
    }

    PeerHandler *m_handler = nullptr;
    std::shared_ptr<ProcessMemory> m_memory;
    asio::io_context &m_context;
    TimerService &m_timers;
    EventLog &m_log;
    PeerIdentity m_identity;
    std::optional<tcp::acceptor> m_acceptor;
    std::unordered_map<PeerCallId, Call> m_calls;
    std::unordered_map<InstanceId, std::shared_ptr<PeerClientSession>> m_clients;
    std::unordered_map<PeerClientSession *, std::shared_ptr<PeerClientSession>> m_draining;
    std::unordered_map<PeerServerSession *, std::shared_ptr<PeerServerSession>> m_servers;
    /// Earliest time of the next connection attempt after a failed one, by instance and address.
    std::unordered_map<std::string, TimePoint> m_reconnectNotBefore;
    std::size_t m_authenticatedServers = 0;
    std::unordered_map<std::uint64_t, Subscription> m_probes;
    std::uint64_t m_lastProbe = 0;
    std::uint64_t m_lastCall = 0;
    std::uint64_t m_refusedSessions = 0;
    TimePoint m_nextRefusalLog;
    bool m_isStopping = false;
    std::function<void()> m_whenStopped;
    Subscription m_acceptAgain;
    Subscription m_tick;
    /// Expires with the network, so that pending handlers can detect its destruction.
    std::shared_ptr<char> m_life = std::make_shared<char>();
};

Http2PeerNetwork::Http2PeerNetwork(asio::io_context &context, TimerService &timers, EventLog &log,
                                   PeerIdentity identity)
    : m_impl(std::make_unique<Impl>(context, timers, log, std::move(identity)))
{
}

Http2PeerNetwork::~Http2PeerNetwork() = default;

std::optional<std::uint16_t> Http2PeerNetwork::listen(const std::string &address, Reason &reason)
{
    return m_impl->listen(address, reason);
}

void Http2PeerNetwork::whenStopped(std::function<void()> callback)
{
    m_impl->whenStopped(std::move(callback));
}

PeerCallId Http2PeerNetwork::call(const Instance &peer, PeerRequest request, Duration timeLeft,
                                  PeerCallback callback)
{
    return m_impl->call(peer, std::move(request), timeLeft, std::move(callback));
}

void Http2PeerNetwork::cancel(PeerCallId call)
{
    m_impl->cancel(call);
}

void Http2PeerNetwork::probe(const Instance &peer, Duration timeout,
                             std::function<void(bool isResponsive)> callback)
{
    m_impl->probe(peer, timeout, std::move(callback));
}

void Http2PeerNetwork::setHandler(PeerHandler *handler)
{
    m_impl->setHandler(handler);
}

void Http2PeerNetwork::setMemory(std::shared_ptr<ProcessMemory> memory)
{
    m_impl->setMemory(std::move(memory));
}

void Http2PeerNetwork::beginStop()
{
    m_impl->beginStop();
}

PeerNetworkStatistics Http2PeerNetwork::statistics() const
{
    return m_impl->statistics();
}

} // namespace oleander
