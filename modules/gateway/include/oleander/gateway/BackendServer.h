#pragma once

#include <oleander/gateway/Attempt.h>
#include <oleander/gateway/GatewayPolicy.h>
#include <oleander/gateway/ServerDirectory.h>
#include <oleander/gateway/ServerLink.h>
#include <oleander/gateway/ServerScore.h>
#include <oleander/ports/EventLog.h>
#include <oleander/ports/TimerService.h>

#include <deque>
#include <memory>
#include <vector>

namespace oleander::gateway {

/// What all servers of a gateway use.
struct ServerContext
{
    ServerLinkFactory &links;
    TimerService &timer;
    EventLog &log;
    const GatewayPolicy &policy;
};

/// The connections to one server, the attempts that wait for one of them, and what was seen of the
/// server.
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
    /// When the oldest request without a reply was sent.
    [[nodiscard]] std::optional<TimePoint> oldestSent() const;
    [[nodiscard]] std::size_t connections() const { return m_connections.size(); }
    /// May be sent new work: registered, not leaving, and not another server's address.
    [[nodiscard]] bool isUsable() const;
    /// Its connections failed to open a moment ago and none is open: nothing is sent there yet.
    [[nodiscard]] bool isAvoided() const;
    /// Would begin with a request at once, by all that is known of its load.
    [[nodiscard]] bool hasRoom() const;

    // News
    void update(ServerRegistration registration);
    /// How many connections may be open at a time, and for how long one may be idle.
    void setConnectionLimits(int count, Duration idle)
    {
        m_connectionLimit = count;
        m_idleLimit = idle;
    }
    /// Registered no more: what is under way ends, nothing new begins.
    void retire();
    /// Retired, and nothing is under way.
    [[nodiscard]] bool isFinished() const;

    // Work
    /// Sends the attempt, or keeps it until a connection is free.
    void submit(const AttemptPtr &attempt);
    /// Nobody wants the result: what was not sent is dropped; what is running is stopped at once by
    /// closing its connection.
    void stop(const AttemptPtr &attempt);
    /// Opens a connection if there is none.
    void warmUp();
    /// Closes connections that are silent or have been idle for long. Called now and then.
    void tidy();

private:
    class Connection;
    friend class Connection;

    void openConnection();
    void sendWaiting();
    Connection *idleConnection(const Attempt &attempt);
    void openForWaiting();
    void endOverdue();
    void onOpened();
    void onReply(Connection &connection, ServerReply reply, bool isReusable);
    void onClosed(Connection &connection, bool wasOpened);
    void failWaiting();
    void end(const AttemptPtr &attempt, AttemptResult result);
    void score(const Attempt &attempt, const AttemptResult &result);
    /// Takes the connection out of the list; null when it is not in it any more.
    std::unique_ptr<Connection> detach(Connection &connection);

    ServerContext &m_context;
    ServerRegistration m_registration;
    ServerScore m_score;
    int m_connectionLimit = 1;
    Duration m_idleLimit;
    bool m_isRetired = false;
    /// Another server answered at this address; cleared by a new registration.
    bool m_isMisplaced = false;
    std::vector<std::unique_ptr<Connection>> m_connections;
    std::deque<AttemptPtr> m_waiting;
};

} // namespace oleander::gateway
