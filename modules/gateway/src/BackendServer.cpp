#include <oleander/gateway/BackendServer.h>
#include <oleander/gateway/HttpStatus.h>

#include <algorithm>
#include <utility>

namespace oleander::gateway {

/// One connection, with the attempt that it carries.
class BackendServer::Connection final : private ServerLinkListener
{
public:
    explicit Connection(BackendServer &owner)
        : m_owner(owner)
        , m_openedAt(owner.m_context.timer.now())
        , m_idleSince(m_openedAt)
        , m_link(owner.m_context.links.open(owner.m_registration.address, *this))
    {
    }

    void send(const AttemptPtr &attempt)
    {
        const TimePoint now = m_owner.m_context.timer.now();
        m_current = attempt;
        attempt->isSent = true;
        attempt->sentAt = now;
        m_link->send({attempt->request, m_owner.m_registration.id, attempt->deadline - now});
    }

    AttemptPtr takeCurrent()
    {
        m_idleSince = m_owner.m_context.timer.now();
        return std::exchange(m_current, nullptr);
    }

    [[nodiscard]] const AttemptPtr &current() const { return m_current; }
    [[nodiscard]] bool isIdle() const { return m_isOpen && !m_current; }
    [[nodiscard]] bool isOpen() const { return m_isOpen; }
    [[nodiscard]] TimePoint idleSince() const { return m_idleSince; }
    [[nodiscard]] TimePoint openedAt() const { return m_openedAt; }
    [[nodiscard]] Duration idleLimit() const
    {
        // The server counts from its last byte; the way there and its clock need some time.
        constexpr Duration closingMargin = milliseconds(700);
        const Duration limit = m_owner.m_idleLimit;
        const auto stated = m_link->keepAlive();
        return stated ? std::min(limit, *stated - closingMargin) : limit;
    }

private:
    void onOpened() override
    {
        m_isOpen = true;
        m_idleSince = m_owner.m_context.timer.now();
        m_owner.onOpened();
    }
    void onReply(ServerReply reply, bool isReusable) override
    {
        m_owner.onReply(*this, std::move(reply), isReusable);
    }
    void onClosed(bool wasOpened) override { m_owner.onClosed(*this, wasOpened); }

    BackendServer &m_owner;
    TimePoint m_openedAt;
    TimePoint m_idleSince;
    bool m_isOpen = false;
    AttemptPtr m_current;
    std::unique_ptr<ServerLink> m_link;
};

namespace {

/// An opening that takes longer gets no answer.
constexpr Duration openingLimit = milliseconds(700);

} // namespace

BackendServer::BackendServer(ServerContext &context, ServerRegistration registration)
    : m_context(context)
    , m_registration(std::move(registration))
    , m_idleLimit(context.policy.idleLimit)
{
    m_score.warmUntil = m_context.timer.now() + m_registration.warmUpLeft;
}

BackendServer::~BackendServer() = default;

int BackendServer::inFlight() const
{
    const auto busy = std::ranges::count_if(
        m_connections, [](const auto &connection) { return connection->current() != nullptr; });
    return static_cast<int>(busy) + static_cast<int>(m_waiting.size());
}

std::optional<TimePoint> BackendServer::oldestSent() const
{
    std::optional<TimePoint> oldest;
    for (const auto &connection : m_connections) {
        if (connection->current() && (!oldest || connection->current()->sentAt < *oldest))
            oldest = connection->current()->sentAt;
    }
    return oldest;
}

bool BackendServer::isUsable() const
{
    return !m_isRetired && !m_isMisplaced && !m_registration.isDraining;
}

bool BackendServer::isAvoided() const
{
    return m_context.timer.now() < m_score.avoidUntil
           && std::ranges::none_of(m_connections,
                                   [](const auto &connection) { return connection->isOpen(); });
}

bool BackendServer::hasRoom() const
{
    // Reports are a little old, so a short queue by the report is none by now.
    constexpr double shortQueue = 0.5;
    return inFlight() == 0 && reportedQueue(m_score, m_context.timer.now()) <= shortQueue;
}

void BackendServer::update(ServerRegistration registration)
{
    const bool isRestarted = registration.startedAt != m_registration.startedAt
                             || registration.address != m_registration.address;
    m_registration = std::move(registration);
    if (isRestarted) {
        m_isMisplaced = false;
        m_score = {};
        m_score.warmUntil = m_context.timer.now() + m_registration.warmUpLeft;
    }
}

void BackendServer::retire()
{
    m_isRetired = true;
    failWaiting();
    std::erase_if(m_connections, [](const auto &connection) { return !connection->current(); });
}

bool BackendServer::isFinished() const
{
    return m_isRetired && m_connections.empty() && m_waiting.empty();
}

void BackendServer::submit(const AttemptPtr &attempt)
{
    attempt->server = this;
    if (Connection *idle = idleConnection(*attempt)) {
        idle->send(attempt);
        return;
    }
    const auto isMoreUrgent = [&attempt](const AttemptPtr &waiting) {
        return waiting->priority <= attempt->priority;
    };
    const auto position = std::find_if_not(m_waiting.begin(), m_waiting.end(), isMoreUrgent);
    m_waiting.insert(position, attempt);
    openForWaiting();
}

void BackendServer::stop(const AttemptPtr &attempt)
{
    attempt->whenEnded = nullptr;
    std::erase(m_waiting, attempt);
    const auto carrying =
        std::ranges::find(m_connections, attempt, [](const auto &connection) -> const AttemptPtr & {
            return connection->current();
        });
    if (carrying != m_connections.end()) {
        const TimePoint now = m_context.timer.now();
        if (now - attempt->sentAt > attempt->usualLatency)
            noteStopped(m_score, now - attempt->sentAt, attempt->usualLatency, now);
        m_connections.erase(carrying);
    }
    sendWaiting();
}

void BackendServer::warmUp()
{
    if (m_connections.empty() && isUsable())
        openConnection();
}

void BackendServer::tidy()
{
    const TimePoint now = m_context.timer.now();
    std::vector<Connection *> silent;
    std::vector<Connection *> unopened;
    std::erase_if(m_connections, [&](const auto &connection) {
        if (connection->isIdle())
            return now - connection->idleSince() > connection->idleLimit();
        if (!connection->isOpen() && now - connection->openedAt() > openingLimit)
            unopened.push_back(connection.get());
        const AttemptPtr &attempt = connection->current();
        if (attempt && now > attempt->deadline + m_context.policy.silenceLimit)
            silent.push_back(connection.get());
        return false;
    });
    for (Connection *connection : unopened)
        onClosed(*connection, false);
    for (Connection *connection : silent) {
        m_context.log.record(EventId::ServerSilent, {}, {{"server", m_registration.id.text()}});
        onClosed(*connection, true);
    }
    endOverdue();
    sendWaiting();
}

void BackendServer::endOverdue()
{
    const TimePoint now = m_context.timer.now();
    std::vector<AttemptPtr> overdue;
    std::erase_if(m_waiting, [&](const AttemptPtr &attempt) {
        if (attempt->isWanted() && now > attempt->deadline)
            overdue.push_back(attempt);
        return !attempt->isWanted() || now > attempt->deadline;
    });
    for (const AttemptPtr &attempt : overdue)
        end(attempt, {AttemptEnd::NotSent, {}});
}

void BackendServer::openConnection()
{
    m_connections.push_back(std::make_unique<Connection>(*this));
}

void BackendServer::openForWaiting()
{
    const auto opening = std::ranges::count_if(
        m_connections, [](const auto &connection) { return !connection->isOpen(); });
    // Right after a failed opening the connections that there are must do.
    const bool isTooEarly = m_context.timer.now() < m_score.avoidUntil;
    if (m_isRetired || isTooEarly || static_cast<std::size_t>(opening) >= m_waiting.size())
        return;
    if (static_cast<int>(m_connections.size()) >= m_connectionLimit) {
        // Connections that are idle while work waits have been idle for too long to be used.
        const auto stale = std::ranges::find_if(
            m_connections, [](const auto &connection) { return connection->isIdle(); });
        if (stale == m_connections.end())
            return;
        m_connections.erase(stale);
    }
    openConnection();
}

BackendServer::Connection *BackendServer::idleConnection(const Attempt &attempt)
{
    const TimePoint now = m_context.timer.now();
    Connection *best = nullptr;
    for (const auto &connection : m_connections) {
        if (!connection->isIdle())
            continue;
        const Duration idle = now - connection->idleSince();
        // A server may close an idle connection at any moment, and what was sent then is lost.
        if (attempt.repeatability == Repeatability::AtMostOnce
            && idle > m_context.policy.freshIdleTime)
            continue;
        if (idle > connection->idleLimit())
            continue;
        if (!best || connection->idleSince() > best->idleSince())
            best = connection.get();
    }
    return best;
}

void BackendServer::sendWaiting()
{
    const TimePoint now = m_context.timer.now();
    while (!m_waiting.empty()) {
        const AttemptPtr next = m_waiting.front();
        if (!next->isWanted()) {
            m_waiting.pop_front();
            continue;
        }
        if (now > next->deadline) {
            m_waiting.pop_front();
            end(next, {AttemptEnd::NotSent, {}});
            continue;
        }
        Connection *idle = idleConnection(*next);
        if (!idle)
            break;
        m_waiting.pop_front();
        idle->send(next);
    }
    openForWaiting();
}

void BackendServer::onOpened()
{
    noteOpened(m_score);
    sendWaiting();
}

void BackendServer::onReply(Connection &connection, ServerReply reply, bool isReusable)
{
    const AttemptPtr attempt = connection.takeCurrent();
    if (!isReusable || m_isRetired)
        detach(connection);
    if (attempt) {
        const AttemptEnd how = reply.isNotExecuted || reply.isMisdirected ? AttemptEnd::NotExecuted
                                                                          : AttemptEnd::Replied;
        end(attempt, {how, std::move(reply)});
    }
    sendWaiting();
}

void BackendServer::onClosed(Connection &connection, bool wasOpened)
{
    const auto closed = detach(connection);
    if (!closed)
        return;
    const AttemptPtr attempt = closed->takeCurrent();
    if (attempt) {
        m_context.log.record(EventId::ServerConnectionLost, attempt->request->id,
                             {{"server", m_registration.id.text()}});
        end(attempt, {AttemptEnd::Lost, {}});
    }
    if (!wasOpened) {
        const Duration avoided = noteFailedOpening(m_score, m_context.timer.now());
        m_context.log.record(EventId::ServerEjected, {},
                             {{"server", m_registration.id.text()},
                              {"service", m_registration.service.text()},
                              {"cause", "connection not opened"},
                              {"forMs", inMilliseconds(avoided)}});
        if (m_connections.empty()) {
            failWaiting();
            return;
        }
    }
    sendWaiting();
}

void BackendServer::failWaiting()
{
    for (const AttemptPtr &attempt : std::exchange(m_waiting, {}))
        end(attempt, {AttemptEnd::NotSent, {}});
}

void BackendServer::end(const AttemptPtr &attempt, AttemptResult result)
{
    score(*attempt, result);
    attempt->server = nullptr;
    const auto whenEnded = std::exchange(attempt->whenEnded, nullptr);
    if (whenEnded)
        whenEnded(std::move(result));
}

void BackendServer::score(const Attempt &attempt, const AttemptResult &result)
{
    const TimePoint now = m_context.timer.now();
    if (result.reply.load)
        noteLoad(m_score, *result.reply.load, now);
    if (result.reply.isMisdirected) {
        m_isMisplaced = true;
        m_context.log.record(EventId::ServerEjected, attempt.request->id,
                             {{"server", m_registration.id.text()},
                              {"service", m_registration.service.text()},
                              {"cause", "another server has its address"}});
        return;
    }
    switch (result.end) {
    case AttemptEnd::NotSent:
        return;
    case AttemptEnd::NotExecuted:
    case AttemptEnd::Lost:
        noteFailure(m_score);
        return;
    case AttemptEnd::Replied:
        if (result.reply.status >= firstServerErrorStatus) {
            noteFailure(m_score);
            return;
        }
        if (attempt.latencies)
            attempt.latencies->add(now - attempt.sentAt);
        noteReply(m_score, now - attempt.sentAt, attempt.usualLatency, now);
        return;
    }
}

std::unique_ptr<BackendServer::Connection> BackendServer::detach(Connection &connection)
{
    const auto found =
        std::ranges::find(m_connections, &connection, [](const auto &held) { return held.get(); });
    if (found == m_connections.end())
        return nullptr;
    auto detached = std::move(*found);
    m_connections.erase(found);
    return detached;
}

} // namespace oleander::gateway
