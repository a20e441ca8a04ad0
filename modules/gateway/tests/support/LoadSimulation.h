#pragma once

#include "SimulatedPeers.h"

#include <functional>
#include <memory>
#include <vector>

namespace oleander::gateway::testing {

/// Requests to one path that callers send at random times at a constant mean rate.
struct RequestStream
{
    std::string path;
    double requestsPerSecond = 0;
    /// Time after which the caller gives up, retries included.
    Duration callerTimeout{};
    Duration latencyObjective{};
    /// Attempts of the caller after the first one has failed.
    int retries = 1;
    /// Mean time that a server needs for a request or a part of it, and its variation coefficient.
    Duration execution = milliseconds(28);
    double executionVariation = 0.35;
    /// Priority of the route; zero is the highest.
    int priority = 1;
    /// Fraction of the callers that disconnect within the latency objective.
    double leavingShare = 0;
};

/// The size of a deployment and the load on it.
struct LoadProfile
{
    int instances = 20;
    /// Number of the instances, the first ones, that coordinate gathered requests for the others.
    int coordinators = 0;
    int shards = 20;
    int replicas = 2;
    /// Data centres, to which the instances are assigned in turn, and the servers of each service,
    /// beginning at a data centre that differs from that of the service before.
    int dataCentres = 1;
    /// Maximum number of connections that a server accepts from all instances together.
    int connectionCap = 58;
    /// Fractions of the shards that must answer a request at "/search/" and one at "/urgent/".
    double searchMinimumShare = 0.89;
    double urgentMinimumShare = 0.75;
    /// Slots of the servers behind "/notes/".
    int notesSlots = 4;
    /// Requests to "/search/", "/urgent/" and "/notes/", in this order.
    std::vector<RequestStream> streams;
    /// Each server pauses for `pause` at random times, every `pausePeriod` on average.
    Duration pause = milliseconds(250);
    Duration pausePeriod = seconds(6);
};

/// Outcomes of the requests of one stream that callers sent in a time range.
struct LoadResults
{
    int sent = 0;
    int inTime = 0;
    int late = 0;
    int refused = 0;
    int failed = 0;
    /// Sum of the squared fractions of shards in the answers that came in time.
    double credit = 0;

    [[nodiscard]] double meanCredit() const { return sent == 0 ? 0 : credit / sent; }
    [[nodiscard]] double servedShare() const
    {
        return sent == 0 ? 0 : static_cast<double>(inTime + late) / sent;
    }
};

/// Simulates callers, gateway instances and backend servers in virtual time.
///
/// There are three routes. "/search/" and "/urgent/" gather parts; the latter requires fewer of
/// them.
/// "/notes/" is answered by a single server. All random numbers derive from one seed.
class LoadSimulation
{
public:
    LoadSimulation(LoadProfile profile, GatewayPolicy policy, std::uint64_t seed);

    /// Schedules `change` at `time` after callers begin to send requests.
    void scheduleChange(Duration time, std::function<void()> change);
    void run(Duration length);
    /// Multiplies the rate of the requests to `path` by `factor` from the next request on, and sets
    /// the fraction of their callers that disconnect early.
    void setLoad(const std::string &path, double factor, double leavingShare = 0);
    /// Results of the requests to `path` that callers first sent from `from` until `until`, except
    /// those whose callers disconnected.
    [[nodiscard]] LoadResults results(const std::string &path, Duration from, Duration until) const;

    /// Number of requests to `path`, retries by callers included, sent from `from` until `until`.
    [[nodiscard]] int attempts(const std::string &path, Duration from, Duration until) const;

    [[nodiscard]] SimulatedServers &servers() { return m_servers; }
    [[nodiscard]] VirtualScheduler &scheduler() { return m_scheduler; }
    [[nodiscard]] const LoadProfile &profile() const { return m_profile; }
    TestInstance &instance(int number)
    {
        return m_instances[static_cast<std::size_t>(number)]->local;
    }
    /// Ends the process of an instance; no caller uses it any more.
    void kill(int number);

private:
    struct Request;

    void scheduleNextRequest(std::size_t stream);
    void send(const std::shared_ptr<Request> &request);
    /// Checks every millisecond whether the answer has reached the caller.
    void pollForAnswer(const std::shared_ptr<Request> &request);
    void schedulePause(const Address &address);
    [[nodiscard]] double exponentialDelay(double perSecond);

    LoadProfile m_profile;
    /// Present factor of the rate of each stream.
    std::vector<double> m_loadFactors;
    VirtualScheduler m_scheduler;
    SimulatedServers m_servers;
    std::mt19937_64 m_random;
    PeerMesh m_mesh{m_scheduler};
    std::vector<std::unique_ptr<CoordinatedInstance>> m_instances;
    std::vector<TestInstance *> m_inUse;
    std::vector<std::shared_ptr<Request>> m_requests;
    std::vector<std::pair<std::string, TimePoint>> m_attempts;
    std::uint64_t m_nextId = 0;
};

/// A deployment of 20 shards with two servers each under high load: about 115 gathered requests a
/// second, which occupy 2.2 of the 4 slots of each shard on average.
[[nodiscard]] LoadProfile smallDeployment();

/// A deployment of 90 shards with three servers each and 98 instances. Each instance sends a server
/// only one request in a few seconds.
[[nodiscard]] LoadProfile largeDeployment();

/// The deployment of customer C: 35 instances, 90 shards with three servers each in three data
/// centres, and urgent requests of the highest priority beside searches of the next one.
[[nodiscard]] LoadProfile prioritizedDeployment();

/// A deployment of 180 shards with three servers each, in three of five data centres, and 295
/// instances, 15 of which coordinate.
[[nodiscard]] LoadProfile coordinatedDeployment();

} // namespace oleander::gateway::testing
