#pragma once

#include <oleander/gateway/ServerLink.h>

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <support/VirtualTimer.h>
#include <unordered_map>
#include <vector>

namespace oleander::gateway::testing {

using oleander::testing::VirtualScheduler;

/// How a simulated server treats requests and connections. May be changed at any time.
struct ServerBehaviour
{
    /// Requests that the server executes at a time.
    int slots = 2;
    /// Requests that may wait for a slot; further ones are refused.
    int queueLimit = 12;
    /// Factor by which execution takes longer than normal.
    double slowdown = 1.0;
    /// Fraction of requests that the server refuses regardless of its load.
    double refusalRate = 0;
    /// Fraction of requests that the server answers with status 500, after their execution and
    /// instead of it.
    double failureRate = 0;
    double immediateFailureRate = 0;
    /// Fraction of requests that the server executes and then closes the connection without a
    /// reply.
    double lostReplyRate = 0;
    /// Stated in refusals.
    std::optional<Duration> retryAfter;
    /// The server states in its replies that it is leaving.
    bool isLeaving = false;
    /// The rate of requests that the server states in its replies.
    std::optional<double> rateLimit;
    /// Until this time the server states that it is cold, at its health path.
    TimePoint coldUntil{};
    /// Maximum number of open connections; further ones are refused.
    int connectionCap = 1'000'000;
    /// Accepts connections, and closes each as soon as something comes.
    bool isResetting = false;
    /// Refuses connections and drops all requests.
    bool isDown = false;
    /// Neither accepts connections nor sends replies.
    bool isUnresponsive = false;
    /// Another server now has this address, and answers requests with status 421.
    bool isReplaced = false;
    /// The server makes no progress before this time.
    TimePoint pausedUntil{};
};

/// Counters of a simulated server.
struct ServerCounters
{
    int arrived = 0;
    int executed = 0;
    int refused = 0;
    /// Requests dropped because their connection closed before the reply.
    int cancelled = 0;
    /// Connections that are open or being opened.
    int connections = 0;
    /// Connections refused because of the connection cap.
    int connectionsRefused = 0;
    /// Requests to the health path; not counted elsewhere.
    int healthRequests = 0;
    std::vector<std::string> executedIds;
    std::vector<TimePoint> arrivalTimes;
    /// Requests that came again on the connection that had carried them before.
    int repeatedOnConnection = 0;
};

constexpr const char *healthPath = "/health";

/// Backend servers in virtual time, reached over links with a fixed network delay.
class SimulatedServers final : public ServerLinkFactory
{
public:
    /// Draws the execution time of a request on a server that is not slowed down.
    using ExecutionTime = std::function<Duration(const CallerRequest &, std::mt19937_64 &)>;

    SimulatedServers(VirtualScheduler &scheduler, std::uint64_t seed);
    ~SimulatedServers() override;

    /// Delay of a message in one direction.
    Duration oneWayDelay = microseconds(700);
    /// Time to open a connection, in addition to one round trip.
    Duration handshakeTime = milliseconds(1);
    ExecutionTime executionTime = [](const CallerRequest &, std::mt19937_64 &) {
        return milliseconds(10);
    };
    /// Makes the body of a reply.
    std::function<std::string(const CallerRequest &, const Address &)> makeBody =
        [](const CallerRequest &, const Address &) { return std::string("body"); };

    /// Whether a request crashes each server that begins to execute it, after how much of its
    /// execution, and how long the server is down then.
    std::function<bool(const CallerRequest &)> isCrashing;
    Duration crashAfter{};
    Duration crashDownTime = seconds(3);
    /// For how long the address of a crashed server accepts connections that nothing answers.
    Duration crashListenTime{};
    /// Called when a server has crashed because of isCrashing.
    std::function<void(const Address &)> onCrashed;

    /// The behaviour of the server at `address`. Every address has a server.
    ServerBehaviour &behaviour(const Address &address);
    [[nodiscard]] const ServerCounters &counters(const Address &address);
    /// Closes the server's connections, drops its requests and refuses new connections.
    void crash(const Address &address);
    /// Number of requests that wait for a slot.
    [[nodiscard]] std::size_t queueLength(const Address &address);
    /// Number of attempts to open a connection, including failed ones.
    [[nodiscard]] int connectionAttempts() const { return m_connectionAttempts; }
    [[nodiscard]] int openConnections() const { return m_openConnections; }
    /// Number of servers that crashed because of isCrashing.
    [[nodiscard]] int crashes() const { return m_crashes; }

    std::unique_ptr<ServerLink> open(const Address &address, ServerLinkListener &listener) override;

private:
    class Link;
    struct LinkState;
    struct Server;
    struct Work;

    Server &serverAt(const Address &address);
    static void closeByServer(const std::weak_ptr<LinkState> &weakState);
    void replyHealth(Server &server, const std::shared_ptr<Work> &work);
    void receive(Server &server, const std::shared_ptr<Work> &work);
    void startQueuedWork(Server &server);
    void crashUnder(Server &server, const std::shared_ptr<Work> &work);
    void crashAndRestart(Server &server);
    void finish(Server &server, const std::shared_ptr<Work> &work);
    void reply(const std::shared_ptr<Work> &work, ServerReply reply);
    [[nodiscard]] double randomFraction() { return m_uniform(m_random); }

    VirtualScheduler &m_scheduler;
    std::mt19937_64 m_random;
    std::uniform_real_distribution<double> m_uniform{0, 1};
    std::unordered_map<std::string, std::unique_ptr<Server>> m_servers;
    int m_openConnections = 0;
    int m_connectionAttempts = 0;
    int m_crashes = 0;
    std::uint64_t m_receiptCount = 0;
};

} // namespace oleander::gateway::testing
