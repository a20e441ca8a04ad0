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

/// How a simulated server treats requests. May be changed at any moment.
struct ServerConduct
{
    int slots = 2;
    /// Requests that wait for a slot; more are refused.
    int queue = 12;
    /// Work takes this many times as long.
    double slowness = 1.0;
    /// Refuses this share of its requests whatever its load.
    double refusedShare = 0;
    /// Answers this share of its requests with a failure.
    double failedShare = 0;
    /// Executes this share of its requests and closes the connection in place of an answer.
    double lostShare = 0;
    /// Connections beyond this number are refused.
    int connectionCap = 1'000'000;
    /// Refuses connections and drops all it has.
    bool isDown = false;
    /// Accepts nothing and answers nothing.
    bool isDark = false;
    /// Another server has its address.
    bool isMisplaced = false;
    /// Starts nothing before this time.
    TimePoint pausedUntil{};
};

/// What a server has done.
struct ServerTally
{
    int arrived = 0;
    int executed = 0;
    int refused = 0;
    /// Work that was done for a caller that was no longer there.
    int dropped = 0;
    /// Connections that are there, and that were refused for their number.
    int links = 0;
    int linksRefused = 0;
    std::vector<std::string> executedIds;
};

/// Backend servers in virtual time, reached over links with a delay.
class SimulatedServers final : public ServerLinkFactory
{
public:
    /// How long a request takes at a server of usual speed.
    using WorkTime = std::function<Duration(const CallerRequest &, std::mt19937_64 &)>;

    SimulatedServers(VirtualScheduler &scheduler, std::uint64_t seed);
    ~SimulatedServers() override;

    Duration oneWay = microseconds(700);
    Duration handshake = milliseconds(1);
    WorkTime workTime = [](const CallerRequest &, std::mt19937_64 &) { return milliseconds(10); };
    /// The body of an answer.
    std::function<std::string(const CallerRequest &, const Address &)> body =
        [](const CallerRequest &, const Address &) { return std::string("body"); };

    /// The conduct of the server at an address; there is one at each.
    ServerConduct &conduct(const Address &address);
    [[nodiscard]] const ServerTally &tally(const Address &address);
    /// Ends the server's connections, and with them what it was working on.
    void crash(const Address &address);
    /// Requests that wait for a slot.
    [[nodiscard]] std::size_t waiting(const Address &address);
    /// Connections that were begun, whether they opened or not.
    [[nodiscard]] int openings() const { return m_openings; }
    [[nodiscard]] int openLinks() const { return m_openLinks; }

    std::unique_ptr<ServerLink> open(const Address &address, ServerLinkListener &listener) override;

private:
    class Link;
    struct Server;
    struct Work;

    Server &serverAt(const Address &address);
    void arrive(Server &server, const std::shared_ptr<Work> &work);
    void startNext(Server &server);
    void finish(Server &server, const std::shared_ptr<Work> &work);
    void reply(const std::shared_ptr<Work> &work, ServerReply reply);
    [[nodiscard]] double draw() { return m_uniform(m_random); }

    VirtualScheduler &m_scheduler;
    std::mt19937_64 m_random;
    std::uniform_real_distribution<double> m_uniform{0, 1};
    std::unordered_map<std::string, std::unique_ptr<Server>> m_servers;
    int m_openLinks = 0;
    int m_openings = 0;
    std::uint64_t m_receipts = 0;
};

} // namespace oleander::gateway::testing
