#include <oleander/gateway/BackendServer.h>
#include <oleander/gateway/HttpStatus.h>

#include <algorithm>
#include <utility>

namespace oleander::gateway {

/// One connection and the attempt it carries.
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
        std::erase_if(m_carried, [](const auto &carried) { return carried.expired(); });
        m_carried.push_back(attempt->request);
        m_isUnused = false;
        attempt->isSent = true;
        attempt->sentAt = now;
        m_owner.noteSent(now);
        m_link->send({attempt->request, m_owner.m_registration.id, attempt->deadline - now});
    }

    AttemptPtr takeCurrent()
    {
        m_idleSince = m_owner.m_context.timer.now();
        return std::exchange(m_current, nullptr);
    }

    [[nodiscard]] const AttemptPtr &current() const { return m_current; }
    /// False when the reply could not be told from a late second copy of an earlier one: that to
    /// any request, if this one has no id, or the rejection of the same one. An idempotent request
    /// takes no harm from a false rejection.
    [[nodiscard]] bool canCarry(const Attempt &attempt) const
    {
        const RequestId &id = attempt.request->id;
        if (id.isEmpty())
            return m_isUnused;
        if (attempt.idempotency == Idempotency::Idempotent)
            return true;
        return std::ranges::none_of(m_carried, [&id](const auto &carried) {
            const auto earlier = carried.lock();
            return earlier && earlier->id == id;
        });
    }
    [[nodiscard]] bool isIdle() const { return m_isOpen && !m_current; }
    [[nodiscard]] bool isOpen() const { return m_isOpen; }
    [[nodiscard]] TimePoint idleSince() const { return m_idleSince; }
    [[nodiscard]] TimePoint openedAt() const { return m_openedAt; }
    [[nodiscard]] Duration idleLimit() const
    {
        // The server's idle timeout starts at its last byte; allows for network delay and clock
        // differences.
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
        m_owner.onOpened(*this);
    }
    void onReply(ServerReply reply, bool isReusable) override
    {
        m_owner.onReply(*this, std::move(reply), isReusable);
    }
    void onClosed(LinkEnd end) override { m_owner.onClosed(*this, end); }

    BackendServer &m_owner;
    TimePoint m_openedAt;
    TimePoint m_idleSince;
    bool m_isOpen = false;
    bool m_isUnused = true;
    AttemptPtr m_current;
    /// The requests sent so far that have not ended.
    std::vector<std::weak_ptr<const CallerRequest>> m_carried;
    std::unique_ptr<ServerLink> m_link;
};

namespace {

/// Connection attempts that take longer are considered failed.
constexpr Duration connectTimeout = milliseconds(700);
/// Age of what a registration says when it arrives here: a heartbeat, a watch of an instance that
/// reads for others, and its way from there.
constexpr Duration registrationAge = seconds(3);
/// For how long a server that closed a connection under a request is probed. Longer than the usual
/// pauses of servers.
constexpr Duration endCheckTime = seconds(1);
/// Time between two probes of one check.
constexpr Duration endProbePause = milliseconds(100);

} // namespace

BackendServer::BackendServer(ServerContext &context, ServerRegistration registration)
    : m_context(context)
    , m_registration(std::move(registration))
    , m_idleLimit(context.policy.idleLimit)
    , m_rateSharers(context.policy.instances.value_or(assumedSharers))
{
    const TimePoint now = m_context.timer.now();
    m_score.warmUpUntil = now + m_registration.warmUpLeft;
    m_cold.onStated(m_registration.warmUpLeft, now, now);
}

BackendServer::~BackendServer() = default;

int BackendServer::inFlight() const
{
    const auto busy = std::ranges::count_if(
        m_connections, [](const auto &connection) { return connection->current() != nullptr; });
    return static_cast<int>(busy) + static_cast<int>(m_waiting.size());
}

std::optional<TimePoint> BackendServer::oldestSendTime() const
{
    std::optional<TimePoint> oldest;
    for (const auto &connection : m_connections) {
        if (connection->current() && (!oldest || connection->current()->sentAt < *oldest))
            oldest = connection->current()->sentAt;
    }
    return oldest;
}

ServerRoom BackendServer::room() const
{
    ServerRoom room;
    room.slots = m_registration.slots;
    room.ownInFlight = inFlight();
    if (!m_score.load) {
        room.ownSentSince = room.ownInFlight;
        return room;
    }
    room.reported = m_score.load->running + m_score.load->waiting;
    room.reportAge = m_context.timer.now() - m_score.loadReceivedAt;
    room.pace = statedPace(m_score, m_context.timer.now()).value_or(1);
    const auto sentSince = std::ranges::count_if(m_connections, [this](const auto &connection) {
        return connection->current() && connection->current()->sentAt > m_score.loadReceivedAt;
    });
    room.ownSentSince = static_cast<int>(sentSince) + static_cast<int>(m_waiting.size());
    return room;
}

bool BackendServer::isUsable() const
{
    return !m_isRetired && !m_isLeaving && !m_isAddressReused && !m_isEvacuated
           && !m_registration.isDraining;
}

bool BackendServer::isEjected() const
{
    return m_context.timer.now() < m_score.ejectedUntil
           && std::ranges::none_of(m_connections,
                                   [](const auto &connection) { return connection->isOpen(); });
}

bool BackendServer::hasSpareCapacity() const
{
    // Load reports are slightly outdated, so a short reported queue is probably empty by now.
    constexpr double shortQueue = 0.5;
    return !m_rateLimit && !isCold() && untilAccepting() == Duration{} && inFlight() == 0
           && reportedQueue(m_score, m_context.timer.now()) <= shortQueue;
}

bool BackendServer::hasFreeSlotForHedge() const
{
    return !m_rateLimit && untilAccepting() == Duration{} && hasFreeSlot(room());
}

Duration BackendServer::untilAccepting() const
{
    const TimePoint now = m_context.timer.now();
    const Duration untilRate = m_rateLimit ? untilToken(*m_rateLimit, now) : Duration{};
    const Duration untilCold =
        m_cold.isCold(now)
            ? m_cold.untilAccepting(inFlight(), static_cast<int>(m_waiting.size()), now)
            : Duration{};
    return std::max({Duration{}, untilRate, untilCold, m_turnedAwayUntil - now});
}

void BackendServer::setRateSharing(int instances, double initialTokens)
{
    m_rateSharers = instances;
    m_initialTokens = initialTokens;
    if (m_rateLimit)
        changeRate(*m_rateLimit, *m_statedRate, instances, m_context.timer.now());
}

void BackendServer::update(ServerRegistration registration)
{
    const bool hasNewProcess = registration.startedAt != m_registration.startedAt;
    const bool isRestarted = hasNewProcess || registration.address != m_registration.address;
    // A check of the process before would not end any more.
    if (isRestarted)
        onChecked(hasNewProcess, "registration");
    m_registration = std::move(registration);
    if (isRestarted) {
        m_isAddressReused = false;
        m_isLeaving = false;
        m_turnedAwayUntil = {};
        m_statedRate.reset();
        m_rateLimit.reset();
        m_score = {};
        m_score.warmUpUntil = m_context.timer.now() + m_registration.warmUpLeft;
        // They lead to the process before.
        std::erase_if(m_connections, [](const auto &connection) { return !connection->current(); });
    }
    const TimePoint now = m_context.timer.now();
    if (!isRestarted)
        noteWarmUp(m_registration.warmUpLeft, now - registrationAge);
    else if (m_registration.warmUpLeft > Duration{})
        noteWarmUp(m_registration.warmUpLeft, now);
    else
        assumeCold("new start");
    if (isRestarted || !isUsable())
        failWaiting();
}

void BackendServer::setEvacuated(bool isEvacuated)
{
    const bool hasEnded = m_isEvacuated && !isEvacuated;
    m_isEvacuated = isEvacuated;
    if (isEvacuated)
        failWaiting();
    if (hasEnded)
        assumeCold("evacuation ended");
}

void BackendServer::setColdStart(const ColdStartRules &rules, const ColdStartShare &share,
                                 double initialTokens)
{
    const bool wasCold = isCold();
    const TimePoint now = m_context.timer.now();
    m_cold.configure(rules, share, initialTokens, now);
    // The time was long while the number of instances was not known.
    m_nextProbe = std::min(m_nextProbe, now + share.probePeriod);
    onColdStateChanged(wasCold, "configuration");
}

void BackendServer::assumeCold(const char *cause)
{
    const bool wasCold = isCold();
    const TimePoint now = m_context.timer.now();
    m_cold.assume(now);
    // What is under way was asked before.
    m_probe.reset();
    onColdStateChanged(wasCold, cause);
}

void BackendServer::noteWarmUp(Duration left, TimePoint statedAt)
{
    const bool wasCold = isCold();
    m_cold.onStated(left, statedAt, m_context.timer.now());
    onColdStateChanged(wasCold, "the server has stated it");
}

void BackendServer::onColdStateChanged(bool wasCold, const char *cause)
{
    const TimePoint now = m_context.timer.now();
    if (!isCold() || wasCold)
        return;
    // Instances that learn of it together do not ask together.
    m_nextProbe = now
                  + Duration(static_cast<std::int64_t>(
                      m_initialTokens * static_cast<double>(m_cold.share().probePeriod.count())));
    m_isColdLogged = true;
    m_context.log.record(EventId::ServerCold, {},
                         {{"server", m_registration.id.text()},
                          {"service", m_registration.service.text()},
                          {"cause", cause},
                          {"isAssumed", m_cold.isAssumed(now)},
                          {"forMs", inMilliseconds(m_cold.timeLeft(now))},
                          {"senders", m_cold.share().senders}});
    failWaiting();
}

void BackendServer::noteSent(TimePoint now)
{
    if (!m_cold.isCold(now))
        return;
    m_cold.onSent(now);
    ++m_context.coldRequests;
}

bool BackendServer::isHealthProbeDue() const
{
    const TimePoint now = m_context.timer.now();
    return m_cold.isAssumed(now) && now >= m_nextProbe && !m_probe && isUsable() && !isEjected();
}

void BackendServer::probeHealth()
{
    const TimePoint askedAt = m_context.timer.now();
    m_nextProbe = askedAt + m_cold.share().probePeriod;
    m_probe = std::make_unique<HealthProbe>(
        m_context.links, m_context.timer, m_registration, m_healthPath,
        [this, askedAt](const HealthProbeOutcome &outcome) {
            const auto ended = std::move(m_probe);
            const auto &reply = outcome.reply;
            if (reply && reply->warmUpLeft && !reply->isMisdirected)
                noteWarmUp(*reply->warmUpLeft, askedAt);
        });
}

void BackendServer::retire()
{
    m_isRetired = true;
    m_probe.reset();
    failWaiting();
    onChecked(false, "not registered");
    std::erase_if(m_connections, [](const auto &connection) { return !connection->current(); });
}

bool BackendServer::isFinished() const
{
    return m_isRetired && m_connections.empty() && m_waiting.empty();
}

void BackendServer::submit(const AttemptPtr &attempt)
{
    attempt->server = this;
    attempt->hasFoundSlot = hasFreeSlot(room());
    CrashGuard::onSubmitted(*attempt->trial);
    if (m_rateLimit)
        takeToken(*m_rateLimit, m_context.timer.now());
    if (Connection *idle = idleConnection(*attempt)) {
        idle->send(attempt);
        return;
    }
    const auto isMoreUrgent = [&attempt](const AttemptPtr &waiting) {
        return waiting->priority <= attempt->priority;
    };
    const auto position = std::find_if_not(m_waiting.begin(), m_waiting.end(), isMoreUrgent);
    m_waiting.insert(position, attempt);
    openConnectionIfNeeded();
}

void BackendServer::cancel(const AttemptPtr &attempt)
{
    drop(attempt);
    std::erase(m_waiting, attempt);
    const auto carrier =
        std::ranges::find(m_connections, attempt, [](const auto &connection) -> const AttemptPtr & {
            return connection->current();
        });
    if (carrier != m_connections.end()) {
        const TimePoint now = m_context.timer.now();
        if (now - attempt->sentAt > attempt->usualLatency)
            noteCancelled(m_score, now - attempt->sentAt, attempt->usualLatency, now);
        m_connections.erase(carrier);
    }
    sendWaiting();
}

void BackendServer::warmUp()
{
    if (m_connections.empty() && isUsable())
        openConnection();
}

void BackendServer::maintainConnections()
{
    const TimePoint now = m_context.timer.now();
    if (m_isColdLogged && !m_cold.isCold(now)) {
        m_isColdLogged = false;
        m_context.log.record(
            EventId::ServerWarm, {},
            {{"server", m_registration.id.text()}, {"service", m_registration.service.text()}});
    }
    std::vector<Connection *> unresponsive;
    std::vector<Connection *> unopened;
    std::erase_if(m_connections, [&](const auto &connection) {
        if (connection->isIdle())
            return now - connection->idleSince() > connection->idleLimit();
        if (!connection->isOpen() && now - connection->openedAt() > connectTimeout)
            unopened.push_back(connection.get());
        const AttemptPtr &attempt = connection->current();
        if (attempt && now > attempt->deadline + m_context.policy.silenceLimit)
            unresponsive.push_back(connection.get());
        return false;
    });
    for (Connection *connection : unopened)
        onClosed(*connection, LinkEnd::NotOpened);
    for (Connection *connection : unresponsive) {
        m_context.log.record(EventId::ServerSilent, {}, {{"server", m_registration.id.text()}});
        onClosed(*connection, LinkEnd::Unusable);
    }
    expireWaiting();
    sendWaiting();
}

void BackendServer::expireWaiting()
{
    const TimePoint now = m_context.timer.now();
    std::vector<AttemptPtr> overdue;
    std::erase_if(m_waiting, [&](const AttemptPtr &attempt) {
        if (!attempt->isWanted())
            drop(attempt);
        else if (now > attempt->deadline)
            overdue.push_back(attempt);
        return !attempt->isWanted() || now > attempt->deadline;
    });
    for (const AttemptPtr &attempt : overdue)
        finish(attempt, {AttemptOutcome::NotSent, {}});
}

void BackendServer::openConnection()
{
    m_connections.push_back(std::make_unique<Connection>(*this));
}

void BackendServer::openConnectionIfNeeded()
{
    const auto opening = std::ranges::count_if(
        m_connections, [](const auto &connection) { return !connection->isOpen(); });
    // After a failed connection attempt, only the existing connections are used for a while.
    const bool isTooEarly = m_context.timer.now() < m_score.ejectedUntil;
    if (m_isRetired || isTooEarly || static_cast<std::size_t>(opening) >= m_waiting.size())
        return;
    if (static_cast<int>(m_connections.size()) >= m_connectionLimit) {
        // Connections that are idle while requests wait have been idle too long to be used.
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
        if (!connection->isIdle() || !connection->canCarry(attempt))
            continue;
        const Duration idle = now - connection->idleSince();
        // A server may close an idle connection at any time, and a request sent at that moment is
        // lost.
        if (attempt.idempotency == Idempotency::NonIdempotent
            && idle > m_context.policy.nonIdempotentIdleLimit)
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
            drop(next);
            continue;
        }
        if (now > next->deadline) {
            m_waiting.pop_front();
            finish(next, {AttemptOutcome::NotSent, {}});
            continue;
        }
        Connection *idle = idleConnection(*next);
        if (!idle)
            break;
        // The share may have become smaller since the request was submitted.
        if (m_cold.isCold(now)
            && m_cold.untilAccepting(inFlight() - static_cast<int>(m_waiting.size()), 0, now)
                   > Duration{}) {
            failWaiting();
            return;
        }
        m_waiting.pop_front();
        idle->send(next);
    }
    openConnectionIfNeeded();
}

void BackendServer::onOpened(const Connection &connection)
{
    noteConnected(m_score);
    if (std::exchange(m_isConnectionLost, false))
        assumeCold("new connection after a loss");
    // Weak evidence, since the address of a process that has ended may accept connections, but
    // without a health path there is no other.
    if (m_healthPath.empty() && connection.openedAt() >= m_lastClosedAt)
        onChecked(false, "connection opened");
    sendWaiting();
}

void BackendServer::onReply(Connection &connection, ServerReply reply, bool isReusable)
{
    const AttemptPtr attempt = connection.takeCurrent();
    if (connection.openedAt() >= m_lastClosedAt)
        onChecked(reply.isMisdirected, "reply on a new connection");
    if (!isReusable || m_isRetired)
        detach(connection);
    if (attempt) {
        const AttemptOutcome outcome = reply.isNotExecuted || reply.isMisdirected
                                           ? AttemptOutcome::NotExecuted
                                           : AttemptOutcome::Replied;
        finish(attempt, {outcome, std::move(reply)});
    }
    sendWaiting();
}

void BackendServer::onClosed(Connection &connection, LinkEnd end)
{
    const auto closed = detach(connection);
    if (!closed)
        return;
    const AttemptPtr attempt = closed->takeCurrent();
    const bool isAnyOpen =
        std::ranges::any_of(m_connections, [](const auto &other) { return other->isOpen(); });
    // A process that has ended closes all its connections. A server may close a single idle one.
    if (attempt || !isAnyOpen)
        m_isConnectionLost = true;
    if (attempt)
        assumeCold("connection lost");
    if (attempt) {
        m_context.log.record(EventId::ServerConnectionLost, attempt->request->id,
                             {{"server", m_registration.id.text()},
                              {"fingerprint", attempt->trial->fingerprint.value()},
                              {"resource", attempt->trial->resourceFingerprint().value()},
                              {"isClosedByServer", end == LinkEnd::ClosedByServer}});
        if (end == LinkEnd::ClosedByServer)
            checkEnded(attempt);
        finish(attempt, {AttemptOutcome::Lost, {}});
    }
    if (end == LinkEnd::NotOpened) {
        if (!hasOlderConnection())
            onChecked(true, "connection not opened");
        const Duration ejectionTime = noteConnectFailure(m_score, m_context.timer.now());
        m_context.log.record(EventId::ServerEjected, {},
                             {{"server", m_registration.id.text()},
                              {"service", m_registration.service.text()},
                              {"cause", "connection not opened"},
                              {"forMs", inMilliseconds(ejectionTime)}});
        if (isEjected()) {
            failWaiting();
            return;
        }
    }
    sendWaiting();
}

void BackendServer::checkEnded(const AttemptPtr &attempt)
{
    const auto trial = std::exchange(attempt->trial, nullptr);
    m_context.crashes.onConnectionClosed(*trial);
    m_unverified.push_back(trial);
    const TimePoint now = m_context.timer.now();
    m_lastClosedAt = now;
    if (m_isRetired) {
        onChecked(false, "not registered");
        return;
    }
    if (!m_healthPath.empty()) {
        if (std::exchange(m_isCheckingEnd, true))
            return;
        m_endProbesUntil = now + endCheckTime;
        probeEnded();
        return;
    }
    const bool isChecking = std::ranges::any_of(m_connections, [now](const auto &connection) {
        return !connection->isOpen() && connection->openedAt() == now;
    });
    if (!isChecking)
        openConnection();
}

void BackendServer::probeEnded()
{
    m_endProbe =
        std::make_unique<HealthProbe>(m_context.links, m_context.timer, m_registration,
                                      m_healthPath, [this](const HealthProbeOutcome &outcome) {
                                          const auto ended = std::move(m_endProbe);
                                          onEndProbed(outcome);
                                      });
}

void BackendServer::onEndProbed(const HealthProbeOutcome &outcome)
{
    if (outcome.reply) {
        onChecked(outcome.reply->isMisdirected, "health reply");
        return;
    }
    if (hasOlderConnection()) {
        // The connections of a process that has ended need not all be closed yet.
        probeEndedLater("older connection open");
        return;
    }
    switch (outcome.end) {
    case HealthProbeEnd::NotOpened:
        onChecked(true, "connection not opened");
        return;
    case HealthProbeEnd::Closed:
        // Servers with too many connections reset new ones, and so does a system that gives up the
        // address of a process that has ended.
        probeEndedLater("connections closed");
        return;
    case HealthProbeEnd::TimedOut:
        onChecked(true, "no reply");
        return;
    case HealthProbeEnd::Replied:
        return;
    }
}

void BackendServer::probeEndedLater(const char *evidence)
{
    if (m_context.timer.now() >= m_endProbesUntil) {
        onChecked(false, evidence);
        return;
    }
    m_nextEndProbe =
        m_context.timer.callAfter(endProbePause, [this](const TimerTick &) { probeEnded(); });
}

bool BackendServer::hasOlderConnection() const
{
    return std::ranges::any_of(m_connections, [this](const auto &connection) {
        return connection->isOpen() && connection->openedAt() < m_lastClosedAt;
    });
}

void BackendServer::onChecked(bool hasEnded, const char *evidence)
{
    if (m_unverified.empty())
        return;
    m_isCheckingEnd = false;
    m_endProbe.reset();
    m_nextEndProbe.reset();
    m_context.log.record(EventId::ServerEndChecked, {},
                         {{"server", m_registration.id.text()},
                          {"hasEnded", hasEnded},
                          {"evidence", evidence},
                          {"requests", m_unverified.size()}});
    m_context.crashes.onServerChecked(std::exchange(m_unverified, {}), m_registration.id, hasEnded);
}

void BackendServer::drop(const AttemptPtr &attempt)
{
    attempt->onFinished = nullptr;
    attempt->server = nullptr;
    m_onRoomChanged();
    if (const auto trial = std::exchange(attempt->trial, nullptr))
        m_context.crashes.onEnded(*trial);
}

void BackendServer::failWaiting()
{
    for (const AttemptPtr &attempt : std::exchange(m_waiting, {}))
        finish(attempt, {AttemptOutcome::NotSent, {}});
}

void BackendServer::finish(const AttemptPtr &attempt, AttemptResult result)
{
    recordResult(*attempt, result);
    attempt->server = nullptr;
    m_onRoomChanged();
    if (const auto trial = std::exchange(attempt->trial, nullptr)) {
        if (result.outcome == AttemptOutcome::Replied)
            m_context.crashes.onReplied(*trial, m_registration.id, result.reply.status);
        else
            m_context.crashes.onEnded(*trial);
    }
    const auto onFinished = std::exchange(attempt->onFinished, nullptr);
    if (onFinished)
        onFinished(std::move(result));
}

void BackendServer::recordResult(const Attempt &attempt, const AttemptResult &result)
{
    const TimePoint now = m_context.timer.now();
    if (result.reply.load)
        noteLoad(m_score, *result.reply.load, now);
    noteRateLimit(result);
    if (result.reply.warmUpLeft && !result.reply.isMisdirected)
        noteWarmUp(*result.reply.warmUpLeft, attempt.sentAt);
    if (result.reply.isLeaving && !result.reply.isMisdirected)
        noteLeaving();
    if (result.reply.retryAfter && !result.reply.isMisdirected)
        noteTurnedAway(*result.reply.retryAfter);
    if (result.reply.isMisdirected) {
        m_isAddressReused = true;
        m_context.log.record(EventId::ServerEjected, attempt.request->id,
                             {{"server", m_registration.id.text()},
                              {"service", m_registration.service.text()},
                              {"cause", "another server has its address"}});
        failWaiting();
        return;
    }
    switch (result.outcome) {
    case AttemptOutcome::NotSent:
        return;
    case AttemptOutcome::NotExecuted:
    case AttemptOutcome::Lost:
        noteFailure(m_score);
        return;
    case AttemptOutcome::Replied:
        if (result.reply.status >= firstServerErrorStatus) {
            noteFailure(m_score);
            return;
        }
        if (attempt.latencies)
            attempt.latencies->add(now - attempt.sentAt);
        if (attempt.executions && attempt.hasFoundSlot)
            attempt.executions->add(now - attempt.sentAt);
        noteReply(m_score, now - attempt.sentAt, attempt.usualLatency, now);
        return;
    }
}

void BackendServer::noteLeaving()
{
    if (std::exchange(m_isLeaving, true))
        return;
    if (!m_registration.isDraining) {
        m_context.log.record(EventId::ServerDraining, {},
                             {{"server", m_registration.id.text()},
                              {"service", m_registration.service.text()},
                              {"source", "answer of the server"}});
    }
    failWaiting();
}

void BackendServer::noteTurnedAway(Duration retryAfter)
{
    const TimePoint now = m_context.timer.now();
    // Attempts that were in flight may be answered with a shorter time.
    if (now + retryAfter <= m_turnedAwayUntil)
        return;
    m_turnedAwayUntil = now + retryAfter;
    m_context.log.record(EventId::ServerEjected, {},
                         {{"server", m_registration.id.text()},
                          {"service", m_registration.service.text()},
                          {"cause", "the server asked for a pause"},
                          {"forMs", inMilliseconds(retryAfter)}});
    failWaiting();
}

void BackendServer::noteRateLimit(const AttemptResult &result)
{
    const std::optional<double> stated = result.reply.rateLimit;
    const bool isFromServer =
        result.outcome == AttemptOutcome::Replied || result.outcome == AttemptOutcome::NotExecuted;
    // A rejection need not repeat the limit.
    const bool isLifted = !stated && result.outcome == AttemptOutcome::Replied;
    if (!isFromServer || result.reply.isMisdirected || stated == m_statedRate
        || (!stated && !isLifted))
        return;
    const TimePoint now = m_context.timer.now();
    m_context.log.record(EventId::ServerRateLimit, {},
                         {{"server", m_registration.id.text()},
                          {"service", m_registration.service.text()},
                          {"perSecond", stated.value_or(0)},
                          {"isLifted", isLifted},
                          {"instances", m_rateSharers}});
    const bool isNew = !m_statedRate;
    m_statedRate = stated;
    if (isLifted)
        m_rateLimit.reset();
    else if (!isNew)
        changeRate(*m_rateLimit, *stated, m_rateSharers, now);
    else
        m_rateLimit = startRateLimit(*stated, m_rateSharers, m_initialTokens, now);
    // What waits here was not counted; other servers may accept it at once.
    if (isNew)
        failWaiting();
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
