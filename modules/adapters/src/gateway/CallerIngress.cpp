#include "concurrency/Listening.h"
#include "gateway/IngressSession.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace oleander {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

/// How often connections are looked through for those that have waited too long.
constexpr Duration overduePeriod = milliseconds(500);
/// Connections that are accepted beside the first before others have their turn. With one at a time
/// callers wait for a thousand others to be read.
constexpr int furtherAccepts = 32;
/// Pause after a failed accept, for example for want of descriptors.
constexpr Duration acceptPause = milliseconds(50);

} // namespace

class CallerIngress::Impl : public std::enable_shared_from_this<CallerIngress::Impl>
{
public:
    Impl(asio::io_context &context, TimerService &timer, HeaderNames names, IngressHandler handler)
        : m_shared(std::make_shared<IngressShared>(
            IngressShared{timer, std::move(names), std::move(handler), {}, {}, nullptr, false, {}}))
        , m_context(context)
        , m_acceptor(context)
    {
        m_shared->whenClosed = [this](IngressSession &session) { m_sessions.erase(&session); };
    }

    void setMaximumConnections(std::size_t maximum) { m_maximum = maximum; }

    void setMemory(std::shared_ptr<ProcessMemory> memory)
    {
        m_shared->memory = std::move(memory);
        m_shared->memory->addSource([weak = weak_from_this()](EvictableConnections &connections) {
            if (const auto self = weak.lock()) {
                for (const auto &[key, session] : self->m_sessions)
                    connections.push_back(session);
            }
        });
    }

    std::optional<std::uint16_t> listen(const Address &address, Reason &reason)
    {
        // Two gateways must never share the callers of one port unnoticed.
        ListenOptions options{false, asio::socket_base::max_listen_connections, 0};
        if (m_shared->memory) {
            options.backlog = static_cast<int>(m_shared->memory->limits().backlog);
            options.receiveBufferBytes = receiveBufferBytes;
            m_maximum = std::min(m_maximum, m_shared->memory->limits().connections);
        }
        auto opened = listenOn(m_context, addressText(address), reason, options);
        if (!opened)
            return std::nullopt;
        m_acceptor = std::move(*opened);
        error_code ignored;
        m_acceptor.non_blocking(true, ignored);
        m_overdue = m_shared->timer.callEvery(overduePeriod, [this](const TimerTick &tick) {
            forEachSession(
                [&tick](IngressSession &session) { session.closeIfOverdue(tick.fired); });
        });
        accept();
        return m_acceptor.local_endpoint().port();
    }

    void closeIdle()
    {
        error_code ignored;
        m_acceptor.close(ignored);
        forEachSession([](IngressSession &session) {
            if (!session.isBusy() && !session.isReceiving())
                session.close();
        });
    }

    [[nodiscard]] std::size_t busyConnections() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(m_sessions, [](const auto &entry) {
            return entry.second->isBusy() || entry.second->isReceiving();
        }));
    }

    void abandon()
    {
        m_overdue.reset();
        error_code ignored;
        m_acceptor.close(ignored);
        forEachSession([](IngressSession &session) { session.close(); });
    }

    [[nodiscard]] IngressShared &shared() { return *m_shared; }
    [[nodiscard]] const IngressCounts &counts()
    {
        m_shared->counts.connections = m_sessions.size();
        return m_shared->counts;
    }

private:
    template <typename Action>
    void forEachSession(Action action)
    {
        std::vector<std::shared_ptr<IngressSession>> sessions;
        sessions.reserve(m_sessions.size());
        for (const auto &[key, session] : m_sessions)
            sessions.push_back(session);
        for (const auto &session : sessions)
            action(*session);
    }

    void accept()
    {
        m_acceptor.async_accept(
            [self = shared_from_this()](const error_code &error, tcp::socket socket) {
                self->onAccepted(error, std::move(socket));
            });
    }

    void onAccepted(const error_code &error, tcp::socket socket)
    {
        if (!m_acceptor.is_open())
            return;
        if (error) {
            makeRoom();
            m_acceptLater =
                m_shared->timer.callAfter(acceptPause, [this](const TimerTick &) { accept(); });
            return;
        }
        takeOn(std::move(socket));
        error_code failure;
        for (int further = 0; further < furtherAccepts && !failure; ++further) {
            tcp::socket next(m_context);
            m_acceptor.accept(next, failure);
            if (!failure)
                takeOn(std::move(next));
        }
        accept();
    }

    void takeOn(tcp::socket socket)
    {
        ++m_shared->counts.accepted;
        if (m_sessions.size() >= m_maximum && !makeRoom()) {
            ++m_shared->counts.evicted;
            return;
        }
        auto session = std::make_shared<IngressSession>(m_shared, std::move(socket));
        m_sessions.emplace(session.get(), session);
        session->start();
    }

    /// Closes the connection that has waited longest for the rest of a request that has stalled,
    /// or, when there is none, the one that has waited longest for a request or its rest, or else
    /// the one that holds most bytes beside its request. False if there is none of them.
    bool makeRoom()
    {
        std::shared_ptr<IngressSession> victim;
        const TimePoint now = m_shared->timer.now();
        const auto isBetter = [now](const IngressSession &left, const IngressSession &right) {
            if (left.isStalled(now) != right.isStalled(now))
                return left.isStalled(now);
            return left.waitingSince() < right.waitingSince();
        };
        for (const auto &[key, session] : m_sessions) {
            if (!session->isBusy() && (!victim || isBetter(*session, *victim)))
                victim = session;
        }
        if (!victim)
            victim = costliestBusySession();
        if (!victim)
            return false;
        ++m_shared->counts.evicted;
        victim->close();
        return true;
    }

    [[nodiscard]] std::shared_ptr<IngressSession> costliestBusySession() const
    {
        std::vector<std::shared_ptr<IngressSession>> sessions;
        std::vector<HeldConnection> held;
        const TimePoint now = m_shared->timer.now();
        for (const auto &[key, session] : m_sessions) {
            sessions.push_back(session);
            held.push_back(session->held(now));
        }
        const auto chosen = chooseEvicted(held, 1);
        return chosen.empty() ? nullptr : sessions[chosen.front()];
    }

    std::shared_ptr<IngressShared> m_shared;
    asio::io_context &m_context;
    tcp::acceptor m_acceptor;
    std::unordered_map<IngressSession *, std::shared_ptr<IngressSession>> m_sessions;
    std::size_t m_maximum = 1000;
    Subscription m_overdue;
    Subscription m_acceptLater;
};

CallerIngress::CallerIngress(asio::io_context &context, TimerService &timer, HeaderNames names,
                             IngressHandler handler)
    : m_impl(std::make_shared<Impl>(context, timer, std::move(names), std::move(handler)))
{
}

CallerIngress::~CallerIngress()
{
    m_impl->abandon();
}

void CallerIngress::setLimits(const gateway::CallerLimits &limits)
{
    m_impl->shared().limits = limits;
}

void CallerIngress::setMaximumConnections(std::size_t maximum)
{
    m_impl->setMaximumConnections(maximum);
}

void CallerIngress::setMemory(std::shared_ptr<ProcessMemory> memory)
{
    m_impl->setMemory(std::move(memory));
}

std::optional<std::uint16_t> CallerIngress::listen(const Address &address, Reason &reason)
{
    return m_impl->listen(address, reason);
}

void CallerIngress::beginStop()
{
    m_impl->shared().isStopping = true;
}

void CallerIngress::closeIdle()
{
    m_impl->closeIdle();
}

std::size_t CallerIngress::busyConnections() const
{
    return m_impl->busyConnections();
}

const IngressCounts &CallerIngress::counts() const
{
    return m_impl->counts();
}

} // namespace oleander
