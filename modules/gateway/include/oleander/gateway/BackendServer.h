#pragma once

#include <oleander/decisions/request/RateLimit.h>
#include <oleander/decisions/request/ServerRoom.h>
#include <oleander/gateway/Attempt.h>
#include <oleander/gateway/ColdState.h>
#include <oleander/gateway/GatewayPolicy.h>
#include <oleander/gateway/HealthProbe.h>
#include <oleander/gateway/ServerDirectory.h>
#include <oleander/gateway/ServerLink.h>
#include <oleander/gateway/ServerScore.h>
#include <oleander/ports/EventLog.h>
#include <oleander/ports/TimerService.h>

#include <deque>
#include <functional>
#include <memory>
#include <vector>

namespace oleander::gateway {

/// Dependencies shared by all servers of a gateway.
struct ServerContext
{
    ServerLinkFactory &links;
    TimerService &timer;
    EventLog &log;
    const GatewayPolicy &policy;
    CrashGuard &crashes;
    /// Requests sent to cold servers with a limit.
    std::uint64_t &coldRequests;
};

/// The connections to one server, the attempts that wait for a connection, and the health
/// statistics of the server.
class BackendServer
{
public:
    BackendServer(ServerContext &context, ServerRegistration registration);
    BackendServer(const BackendServer &) = delete;
    BackendServer &operator=(const BackendServer &) = delete;
    ~BackendServer();

    // State
    [[nodiscard]] const ServerRegistration &registration() const { return m_registration; }
    [[nodiscard]] const ServerScore &score() const { return m_score; }
    [[nodiscard]] int inFlight() const;
    /// Send time of the oldest request that has no reply yet.
    [[nodiscard]] std::optional<TimePoint> oldestSendTime() const;
    [[nodiscard]] std::size_t connections() const { return m_connections.size(); }
    /// What this instance knows of the room that the server has.
    [[nodiscard]] ServerRoom room() const;
    /// True when new work may be sent: the server is registered, neither the registry nor an answer
    /// of its own says that it is leaving, its data centre is not evacuated, and its address is not
    /// used by another server.
    [[nodiscard]] bool isUsable() const;
    /// True while the server is ejected after a failed connection attempt and has no open
    /// connection. No requests are sent to it then.
    [[nodiscard]] bool isEjected() const;
    /// True when this instance has no request in flight to the server and the last load report
    /// shows a short queue.
    [[nodiscard]] bool hasSpareCapacity() const;
    /// True when a further request is expected to be executed at once, and the server does not
    /// limit the rate.
    [[nodiscard]] bool hasFreeSlotForHedge() const;
    /// Time until the server accepts a request of this instance; zero unless it limits the rate or
    /// has turned one away.
    [[nodiscard]] Duration untilAccepting() const;
    [[nodiscard]] bool isRateLimited() const { return m_rateLimit.has_value(); }
    /// True while the server is cold and its service limits what cold servers get.
    [[nodiscard]] bool isCold() const { return m_cold.isCold(m_context.timer.now()); }
    /// Part of its usual requests that the server gets: 0 while it is cold, then rising to 1.
    [[nodiscard]] double usualShare() const { return m_cold.usualShare(m_context.timer.now()); }
    /// Whether this instance should ask the server whether it is cold.
    [[nodiscard]] bool isHealthProbeDue() const;

    // Updates
    void update(ServerRegistration registration);
    /// Sets the maximum number of open connections and how long a connection may be idle.
    void setConnectionLimits(int count, Duration idle)
    {
        m_connectionLimit = count;
        m_idleLimit = idle;
    }
    /// Sets the number of instances that share a rate limit of the server, and the share of a
    /// request, from 0 to 1, that this one may send at the start of a limit.
    void setRateSharing(int instances, double initialTokens);
    /// Sets what the service declares of its cold servers, and this instance's part in the
    /// allowance of this one.
    void setColdStart(const ColdStartRules &rules, const ColdStartShare &share,
                      double initialTokens);
    /// Called when something happened after which servers of services with a limit are cold.
    /// Requests that were not sent move to other servers.
    void assumeCold(const char *cause);
    /// Sets the path at which the server states its health.
    void setHealthPath(const std::string &path) { m_healthPath = path; }
    /// Asks the server at its health path for the rest of its cold time.
    void probeHealth();
    /// Called when the evacuation of the server's data centre begins or ends. Requests that were
    /// not sent move to other servers.
    void setEvacuated(bool isEvacuated);
    /// `onRoomChanged` is called when a request at the server has ended. It must not call back.
    void setRoomListener(std::function<void()> onRoomChanged)
    {
        m_onRoomChanged = std::move(onRoomChanged);
    }
    /// Called when the server is no longer registered. Running requests finish, and no new ones
    /// start.
    void retire();
    /// True when the server is retired and has no requests in flight.
    [[nodiscard]] bool isFinished() const;

    // Requests
    /// Sends the attempt, or queues it until a connection is free.
    void submit(const AttemptPtr &attempt);
    /// Cancels an attempt whose result is not needed. Removes it from the queue, or closes its
    /// connection if it has been sent.
    void cancel(const AttemptPtr &attempt);
    /// Opens a connection if there is none.
    void warmUp();
    /// Closes connections that are unresponsive or have been idle too long. Called periodically.
    void maintainConnections();

private:
    class Connection;
    friend class Connection;

    void openConnection();
    void sendWaiting();
    /// Called when a connection sends a request.
    void noteSent(TimePoint now);
    Connection *idleConnection(const Attempt &attempt);
    void openConnectionIfNeeded();
    void expireWaiting();
    void onOpened(const Connection &connection);
    void onReply(Connection &connection, ServerReply reply, bool isReusable);
    void onClosed(Connection &connection, LinkEnd end);
    /// Checks whether the server, which closed a connection under a request, has ended.
    void checkEnded(const AttemptPtr &attempt);
    void probeEnded();
    /// Probes again, or takes the server for alive because of this evidence.
    void probeEndedLater(const char *evidence);
    void onEndProbed(const HealthProbeOutcome &outcome);
    /// A connection is open that was opened before the server closed the last one under a request.
    [[nodiscard]] bool hasOlderConnection() const;
    void onChecked(bool hasEnded, const char *evidence);
    /// Returns requests that have not been sent to their calls, which choose another server. Called
    /// whenever the server stops being usable.
    void failWaiting();
    /// Ends an attempt whose result nobody needs.
    void drop(const AttemptPtr &attempt);
    void finish(const AttemptPtr &attempt, AttemptResult result);
    void recordResult(const Attempt &attempt, const AttemptResult &result);
    void noteRateLimit(const AttemptResult &result);
    void noteLeaving();
    void noteTurnedAway(Duration retryAfter);
    /// Takes a statement of the server about its cold time.
    void noteWarmUp(Duration left, TimePoint statedAt);
    /// Logs and acts on a change of the cold state.
    void onColdStateChanged(bool wasCold, const char *cause);
    /// Removes the connection from the list and returns it, or null if it is no longer listed.
    std::unique_ptr<Connection> detach(Connection &connection);

    ServerContext &m_context;
    ServerRegistration m_registration;
    ServerScore m_score;
    int m_connectionLimit = 1;
    Duration m_idleLimit;
    int m_rateSharers;
    double m_initialTokens = 0;
    /// The rate that the server has stated, and this instance's share of it.
    std::optional<double> m_statedRate;
    std::optional<RateLimit> m_rateLimit;
    /// Until this time the server wants no requests of this instance.
    TimePoint m_turnedAwayUntil{};
    ColdState m_cold;
    std::string m_healthPath;
    /// A connection was lost; the server may be another process when the next one opens.
    bool m_isConnectionLost = false;
    bool m_isColdLogged = false;
    std::unique_ptr<HealthProbe> m_probe;
    TimePoint m_nextProbe{};
    bool m_isRetired = false;
    bool m_isEvacuated = false;
    /// An answer has said that the server is leaving. Like the next, reset by a registration with a
    /// new start time or address.
    bool m_isLeaving = false;
    /// Another server answered at this address.
    bool m_isAddressReused = false;
    std::function<void()> m_onRoomChanged = [] {};
    std::vector<std::unique_ptr<Connection>> m_connections;
    std::deque<AttemptPtr> m_waiting;
    /// Trials of the requests under which the server closed its connections, until it is known
    /// whether it has ended, and the time of the last of these closings.
    std::vector<std::shared_ptr<CrashTrial>> m_unverified;
    TimePoint m_lastClosedAt{};
    /// The check of whether the server has ended: the present probe, the timer of the next one, and
    /// the time after which no further one is sent.
    bool m_isCheckingEnd = false;
    std::unique_ptr<HealthProbe> m_endProbe;
    Subscription m_nextEndProbe;
    TimePoint m_endProbesUntil{};
};

} // namespace oleander::gateway
