#include "RegistryView.h"

#include <oleander/adapters/gateway/AsioServerLinks.h>
#include <oleander/adapters/gateway/CallerIngress.h>
#include <oleander/adapters/gateway/FleetBeacon.h>
#include <oleander/adapters/log/JsonEventLog.h>
#include <oleander/adapters/metrics/PrometheusText.h>
#include <oleander/adapters/operators/OperatorServer.h>
#include <oleander/adapters/peers/Http2PeerNetwork.h>
#include <oleander/adapters/resources/MemoryMetrics.h>
#include <oleander/adapters/resources/ProcessMemory.h>
#include <oleander/adapters/time/AsioTimerService.h>
#include <oleander/adapters/time/SeededRandom.h>
#include <oleander/daemon/GatewayDaemon.h>
#include <oleander/gateway/FleetMembers.h>
#include <oleander/gateway/FleetSize.h>
#include <oleander/gateway/GatherDelegation.h>
#include <oleander/gateway/GatherServer.h>
#include <oleander/gateway/HttpStatus.h>
#include <oleander/gateway/RegistryRelay.h>
#include <oleander/gateway/SharedRegistryReader.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <algorithm>
#include <cmath>
#include <csignal>
#include <fstream>
#include <sstream>
#include <unistd.h>
#include <utility>

namespace oleander {

namespace {

/// After a stop signal callers still come until the platform has asked twice whether the instance
/// is ready, which it does each second.
constexpr Duration leavingTime = milliseconds(2800);
/// Time kept back from the end that is forced.
constexpr Duration stopMargin = milliseconds(400);
/// Time in which the last answers reach their callers.
constexpr Duration lastAnswersTime = milliseconds(200);
constexpr Duration stopPollPeriod = milliseconds(50);
/// Time after the start until the number of instances is believed.
constexpr Duration settlingTime = seconds(4);
constexpr Duration expirePeriod = milliseconds(500);
/// Heartbeats that a server may miss before its registration lapses.
constexpr int lapsedHeartbeats = 3;
/// Descriptors that are not sockets of callers: files, servers, the registry.
constexpr int reservedDescriptors = 200;
constexpr int shareForCallers = 2;
/// Part of the earned extra load that is used, since instances count requests at other moments.
constexpr double extraShareUsed = 0.95;
/// Part of the allowance that is used, for instances that were not heard of.
constexpr double allowanceUsed = 0.9;
/// Part of a server's connections that is used, for those that are being closed.
constexpr double connectionsUsed = 0.9;
/// Least time between two watches of an instance that reads for others: what they know is older by
/// their own wait when it is lost.
constexpr Duration readerPeriod = milliseconds(1200);
constexpr const char *fleetName = "gateway";
/// Number of instances that is assumed until it is known: more than any fleet has.
constexpr std::size_t assumedInstances = 1000;
/// Deviations of the sum of all instances' rounded budgets that the unused part of the allowance
/// must cover; each instance's is half a sending at most.
constexpr double roundingDeviations = 4;

gateway::GatewayPolicy policyFrom(const GatewaySettings &settings)
{
    gateway::GatewayPolicy policy;
    policy.extraAttempts.share = settings.extraShare * extraShareUsed;
    policy.extraAttempts.allowance = settings.extraAllowance * allowanceUsed / assumedInstances;
    policy.extraAttempts.window = settings.extraWindow;
    policy.isLoadControlled = settings.isLoadControlled;
    policy.fleetExtraAllowance = settings.extraAllowance * allowanceUsed;
    return policy;
}

/// The seeds read the registry for the others: the settings of all instances name the same ones.
bool isReader(const GatewaySettings &settings)
{
    return std::ranges::any_of(settings.seeds, [&](const Address &seed) {
        return seed.number == settings.peerAddress.number;
    });
}

constexpr std::size_t megabyte = std::size_t{1024} * 1024;

/// Limits on the pages of operators, which are asked for by few clients and need no body.
HttpLimits pageLimits()
{
    HttpLimits limits;
    limits.maximumConnections = 64;
    limits.isLongestWaitingClosed = true;
    limits.receiveBufferBytes = receiveBufferBytes;
    limits.maximumBodyBytes = 4096;
    limits.maximumBodyBytesInAll = 65536;
    return limits;
}

gateway::FollowerTiming paceOf(const GatewaySettings &settings)
{
    gateway::FollowerTiming pace;
    if (isReader(settings))
        pace.minimumPeriod = readerPeriod;
    return pace;
}

} // namespace

class GatewayDaemon::Impl : private PeerHandler, private gateway::RegistryListener
{
public:
    Impl(GatewaySettings newSettings, std::string newPath, GatewayPlatform newPlatform)
        : m_settings(std::move(newSettings))
        , m_settingsPath(std::move(newPath))
        , m_platform(std::move(newPlatform))
        , m_policy(policyFrom(m_settings))
        , m_timer(m_context)
        , m_random(SeededRandom::unpredictable())
        , m_log(STDOUT_FILENO, m_settings.instance.text(), m_timer)
        , m_memory(std::make_shared<ProcessMemory>(
              static_cast<std::size_t>(m_settings.memoryMb) * megabyte, m_timer, m_log))
        , m_links(m_context, m_platform.headers)
        , m_fleet(m_links, m_timer, m_random, m_log, m_policy, m_settings.dataCentre)
        , m_gateway(m_fleet, m_timer, m_random, m_log, m_policy, m_platform.gatheredFields)
        , m_directory(
              [this](const ServerId &server, const gateway::ServerRegistration *registration) {
                  m_fleet.onRegistration(server, registration);
              })
        , m_view(
              m_platform, m_directory, m_timer, m_log, lapsedHeartbeats * m_settings.heartbeat,
              [this](gateway::GatewayConfiguration configuration) {
                  return configure(std::move(configuration));
              },
              [this](const std::set<DataCentreId> &evacuated) {
                  m_fleet.setEvacuated(evacuated);
                  m_delegation.evaluate();
              })
        , m_registry(m_platform.openRegistry(m_context, m_timer, m_settings.registryAddress))
        , m_peers(m_context, m_timer, m_log,
                  {m_settings.instance, FleetId(fleetName), m_settings.fleetKey})
        , m_sharedRegistry({m_settings.instance, m_settings.dataCentre, isReader(m_settings)},
                           *m_registry, m_peers, m_timer, m_log)
        , m_follower(m_platform.registryPrefix, paceOf(m_settings), m_sharedRegistry, *this,
                     m_timer, m_random, m_log)
        , m_share(
              m_view.copy(), [this] { return m_follower.age(); }, m_timer)
        , m_ingress(m_context, m_timer, m_platform.headers,
                    [this](std::shared_ptr<const gateway::CallerRequest> request,
                           gateway::AnswerCallback answer) {
                        return take(std::move(request), std::move(answer));
                    })
        , m_fleetSize(m_settings.instance)
        , m_delegation(m_settings.instance, m_settings.dataCentre, m_fleet, m_peers, m_peers,
                       m_timer, m_log, m_policy, [this] { return m_fleetSize.estimate(); })
        , m_gatherServer(m_gateway, m_timer, m_policy)
        , m_beacon(
              m_context, m_timer, [this](const InstanceId &caller) { return beaconNews(caller); },
              [this](const BeaconNews &news, const std::string &number) { onBeacon(news, number); })
        , m_pages(m_context, pageLimits(), m_memory)
        , m_metrics(m_context, pageLimits(), m_memory)
        , m_signals(m_context, SIGTERM, SIGINT, SIGHUP)
    {
        std::signal(SIGPIPE, SIG_IGN);
        returnFreedMemory();
        m_links.setMaximumHeldBytes(m_memory->limits().replies);
        m_ingress.setMemory(m_memory);
        m_peers.setMemory(m_memory);
        m_pages.addPage(m_platform.readinessPath,
                        [this](const std::string &) { return readinessPage(); });
        m_metrics.addPage("/metrics", [this](const std::string &) { return metricsPage(); });
    }

    std::optional<GatewayPorts> start(Reason &reason)
    {
        m_ingress.setMaximumConnections(static_cast<std::size_t>(
            std::max(1, (m_settings.descriptors - reservedDescriptors) / shareForCallers)));
        const auto callers = m_ingress.listen(m_settings.callerAddress, reason);
        if (!callers)
            return std::nullopt;
        const auto readiness = m_pages.listen(addressText(m_settings.readinessAddress), reason);
        if (!readiness)
            return std::nullopt;
        const auto metrics = m_metrics.listen(addressText(m_settings.metricsAddress), reason);
        if (!metrics)
            return std::nullopt;
        const auto peers = m_peers.listen(addressText(m_settings.peerAddress), reason);
        if (!peers)
            return std::nullopt;
        m_peerPort = *peers;
        const auto beacon = m_beacon.start(m_settings.peerAddress, m_settings.seeds, reason);
        if (!beacon)
            return std::nullopt;
        m_peers.setHandler(this);
        m_gateway.setDelegation(&m_delegation);
        m_fleet.crashGuard().setListener([this] { m_beacon.announceToAll(); });
        awaitSignal();
        m_follower.start();
        m_started = m_timer.now();
        m_settling = m_timer.callAfter(settlingTime + milliseconds(1),
                                       [this](const TimerTick &) { applyFleetSize(); });
        m_expiry = m_timer.callEvery(expirePeriod, [this](const TimerTick &tick) {
            m_directory.expire(tick.fired);
            electCoordinators();
            chooseColdSenders();
            noteReadiness();
        });
        m_log.record(EventId::DaemonStarted, {},
                     {{"dataCentre", m_settings.dataCentre.text()},
                      {"callers", addressText({m_settings.callerAddress.number, *callers})}});
        return GatewayPorts{*callers, *readiness, *metrics, *peers, *beacon};
    }

    void run() { m_context.run(); }

private:
    bool configure(gateway::GatewayConfiguration configuration)
    {
        const bool isInForce = m_gateway.configure(std::move(configuration));
        m_ingress.setLimits(m_gateway.routes()->configuration().limits);
        return isInForce;
    }

    // RegistryListener
    void onItems(const std::vector<gateway::RegistryItem> &items,
                 const gateway::ListedSpan &span) override
    {
        m_view.onItems(items, span);
        m_share.onChanged();
    }
    void onChanges(const std::vector<gateway::RegistryItem> &changes,
                   gateway::RegistryPosition position) override
    {
        m_view.onChanges(changes, position);
        m_share.onChanged();
    }
    void onReconnected(Duration outage) override { m_view.onReconnected(outage); }

    // PeerHandler
    void onPeerRequest(PeerRequest request, std::shared_ptr<PeerResponder> responder) override
    {
        if (m_isStopping) {
            responder->refuse();
            return;
        }
        if (auto *gather = std::get_if<PeerGather>(&request)) {
            m_gatherServer.serve(std::move(*gather), std::move(responder));
            return;
        }
        const auto *question = std::get_if<RegistryChangesRequest>(&request);
        if (!question) {
            responder->refuse();
            return;
        }
        m_share.ask(*question,
                    [responder](RegistryChanges news) { responder->reply(std::move(news)); });
    }

    [[nodiscard]] Instance describe(const InstanceId &instance, const DataCentreId &dataCentre,
                                    const Address &peerAddress) const
    {
        Instance described;
        described.id = instance;
        described.dataCentre = dataCentre;
        described.peerAddress = addressText(peerAddress);
        return described;
    }

    BeaconNews beaconNews(const InstanceId &caller)
    {
        BeaconNews news;
        news.instance = m_settings.instance;
        news.dataCentre = m_settings.dataCentre;
        news.heardOf = m_fleetSize.heardOf();
        news.peerPort = m_peerPort;
        news.isReader = !m_isStopping && isReader(m_settings);
        news.strength = strength();
        news.isLeaving = m_isStopping;
        news.crashes = m_fleet.crashGuard().reports();
        if (news.isReader) {
            news.coordinators = m_members.coordinators(m_timer.now());
            news.neighbours = m_members.neighboursOf(caller);
        }
        return news;
    }

    [[nodiscard]] double strength() const
    {
        return gateway::coordinatorStrength(m_settings.processorShare, m_settings.linkMbps);
    }

    /// Seeds hear of all instances, and elect the coordinators for them.
    void electCoordinators()
    {
        if (m_isStopping || !isReader(m_settings))
            return;
        const TimePoint now = m_timer.now();
        m_members.onBeacon(describe(m_settings.instance, m_settings.dataCentre,
                                    {m_settings.peerAddress.number, m_peerPort}),
                           strength(), now);
        m_delegation.onCoordinators(m_settings.instance, m_members.coordinators(now));
    }

    /// Cold servers get requests of coordinators only while the fleet is large, since all instances
    /// know these.
    void chooseColdSenders()
    {
        const bool isOnlySeed = std::ranges::all_of(m_settings.seeds, [this](const Address &seed) {
            return seed.number == m_settings.peerAddress.number && seed.port == m_peerPort;
        });
        std::vector<InstanceId> candidates;
        if (isOnlySeed && !m_fleetSize.estimate()) {
            candidates.push_back(m_settings.instance);
        } else if (m_policy.instances) {
            for (const Instance &coordinator : m_delegation.known())
                candidates.push_back(coordinator.id);
        }
        m_fleet.setColdSenders(m_settings.instance, std::move(candidates));
    }

    void onBeacon(const BeaconNews &news, const std::string &number)
    {
        Instance sender = describe(news.instance, news.dataCentre, {number, news.peerPort});
        sender.isLeaving = news.isLeaving;
        if (isReader(m_settings))
            m_members.onBeacon(sender, news.strength, m_timer.now());
        m_fleet.crashGuard().onReports(news.crashes);
        if (!news.coordinators.empty())
            m_delegation.onCoordinators(news.instance, news.coordinators);
        const auto before = m_fleetSize.estimate();
        m_fleetSize.onBeacon(news.instance);
        m_fleetSize.addReportedCount(news.heardOf);
        if (news.isReader)
            m_sharedRegistry.onReaderBeacon(sender);
        const auto now = m_fleetSize.estimate();
        if (now == before || !now)
            return;
        m_log.record(EventId::InstanceListChanged, {}, {{"instances", *now}});
        applyFleetSize();
    }

    /// What all instances share is divided by their number.
    void applyFleetSize()
    {
        // Right after a start few are heard of, though many may be there.
        const bool isSettled = m_timer.now() - m_started > settlingTime;
        const auto instances = m_fleetSize.estimate();
        if (!isSettled || !instances)
            return;
        const auto count = static_cast<double>(*instances);
        m_policy.extraAttempts.allowance = m_settings.extraAllowance * allowanceUsed / count;
        const double unused = m_settings.extraAllowance * (1 - allowanceUsed);
        m_policy.extraAttempts.randomAllowance =
            std::min(1.0, unused / (roundingDeviations * std::sqrt(count) / 2));
        m_policy.instances = static_cast<int>(count / connectionsUsed) + 1;
        m_fleet.onInstanceCountChanged();
    }

    [[nodiscard]] bool isReady() const
    {
        return !m_isStopping && m_gateway.routes() && m_view.isKnown();
    }

    void noteReadiness()
    {
        if (m_wasReady || !isReady())
            return;
        m_wasReady = true;
        m_log.record(EventId::DaemonReady, {},
                     {{"configuration", m_gateway.routes()->version().value()},
                      {"servers", m_directory.size()}});
    }

    [[nodiscard]] OperatorPage readinessPage() const
    {
        OperatorPage page;
        page.status = isReady() ? gateway::statusOk : gateway::statusUnavailable;
        page.body = isReady() ? "ready\n" : "not ready\n";
        return page;
    }

    std::shared_ptr<gateway::Call> take(std::shared_ptr<const gateway::CallerRequest> request,
                                        gateway::AnswerCallback answer)
    {
        const TimePoint arrived = request->arrived;
        return m_gateway.handle(std::move(request), [this, arrived, answer = std::move(answer)](
                                                        gateway::CallerAnswer given) {
            m_latencies.add(m_timer.now() - arrived);
            answer(std::move(given));
        });
    }

    [[nodiscard]] OperatorPage metricsPage() const
    {
        const auto number = [](auto value) { return static_cast<double>(value); };
        const gateway::GatewayCounts &counts = m_gateway.counts();
        const IngressCounts &ingress = m_ingress.counts();
        std::vector<UnlabelledMetric> counters = {
            {"answers_total", "Answers with a server's reply or gathered parts.",
             number(counts.answered)},
            {"answers_partial_total", "Gathered answers that lack shards.", number(counts.partial)},
            {"refusals_total", "Requests refused, not run.", number(counts.refused)},
            {"failures_total", "Requests that ended without a result.", number(counts.failed)},
            {"registry_oversized_watches_total",
             "Changes of the registry too large for one answer, after which it was read again.",
             number(m_follower.oversizedWatches())},
            {"callers_left_total", "Callers that left before their answer.",
             number(counts.disconnected)},
            {"requests_total", "Requests read whole.", number(ingress.requests)},
            {"requests_malformed_total", "Requests that were no proper HTTP.",
             number(ingress.malformed)},
            {"caller_connections_total", "Connections accepted.", number(ingress.accepted)},
            {"caller_connections_evicted_total", "Connections closed for want of room.",
             number(ingress.evicted)},
            {"caller_connections_unread_total",
             "Connections closed because their callers did not read an answer.",
             number(ingress.unread)},
            {"admissions_offered_total", "Requests for which admission was decided here.",
             number(counts.offered)},
            {"admissions_admitted_total", "Requests that were admitted here.",
             number(counts.offered - counts.refusedForLoad - counts.refusedForDeadline)},
            {"admissions_refused_load_total",
             "Requests refused because waiting work would have made them late.",
             number(counts.refusedForLoad)},
            {"admissions_refused_deadline_total",
             "Requests refused because they could not have been answered before their deadline.",
             number(counts.refusedForDeadline)},
            {"server_requests_waited_total",
             "Requests and parts that waited here for room at servers.",
             number(m_fleet.waitedRequests())},
            {"gathers_delegated_total", "Gathered requests handed to a coordinator.",
             number(counts.delegated)},
            {"gathers_rerun_total", "Gathered requests handed on since a coordinator failed.",
             number(counts.rerun)},
            {"gathers_undelegated_total", "Gathered requests that no coordinator could take.",
             number(counts.undelegated)},
            {"gathers_coordinated_total", "Gathered requests executed for other instances.",
             number(counts.coordinated)},
            {"cold_requests_total", "Requests sent to cold servers within their allowance.",
             number(m_fleet.coldRequests())},
            {"cold_requests_held_back_total",
             "Times that a request found only cold servers without an allowance.",
             number(m_fleet.heldBackRequests())},
            {"log_lines_left_out_total", "Log lines left out to bound their volume.",
             number(m_log.droppedLineCount())},
        };
        const Duration age = m_follower.age().value_or(Duration{});
        std::vector<UnlabelledMetric> gauges = {
            {"ready", "Whether callers are taken.", isReady() ? 1.0 : 0.0},
            {"configuration_version", "Version of the configuration in force.",
             m_gateway.routes() ? number(m_gateway.routes()->version().value()) : 0.0},
            {"registry_age_seconds", "Time since the registry last answered.",
             inMilliseconds(age) / 1000.0},
            {"servers", "Servers that are registered.", number(m_directory.size())},
            {"server_connections", "Connections to servers.", number(m_fleet.connections())},
            {"caller_connections", "Connections of callers.", number(ingress.connections)},
            {"suspected_requests", "Requests under which servers were lost.",
             number(m_fleet.crashGuard().suspectedRequests())},
            {"rate_limited_servers", "Servers that limit the rate of requests.",
             number(m_fleet.rateLimitedServers())},
            {"cold_servers", "Servers that are cold, of services that limit what those get.",
             number(m_fleet.coldServers())},
            {"server_requests_waiting", "Requests and parts that wait here for room at servers.",
             number(m_fleet.waitingRequests())},
            {"active_calls", "Requests under way.", number(m_gateway.activeCalls())},
            {"evacuated_data_centres", "Data centres whose servers get no requests.",
             number(m_fleet.evacuatedDataCentres())},
            {"coordinators", "Instances that coordinate gathered requests.",
             number(m_delegation.coordinators())},
            {"is_coordinator", "Whether this instance is one of them.",
             m_delegation.isCoordinator() ? 1.0 : 0.0},
            {"instances", "Instances of the fleet that were heard of.",
             number(m_fleetSize.estimate().value_or(1))},
        };
        appendMemoryMetrics(*m_memory, counters, gauges);
        OperatorPage page;
        page.body = prometheusText(counters, gauges, m_latencies);
        return page;
    }

    void awaitSignal()
    {
        m_signals.async_wait([this](const boost::system::error_code &error, int number) {
            if (error)
                return;
            if (number == SIGHUP)
                reload();
            else
                beginStop(number);
            awaitSignal();
        });
    }

    /// Addresses and names stay as they were at the start; a change of them needs a restart.
    void reload()
    {
        Reason reason;
        const auto settings = loadGatewaySettings(m_settingsPath, reason);
        if (!settings) {
            m_log.record(EventId::BadSettings, {}, {{"cause", reason.text}});
            return;
        }
        m_policy = policyFrom(*settings);
        applyFleetSize();
        m_log.record(
            EventId::SettingsReloaded, {},
            {{"isChanged", *settings != m_settings}, {"extraShare", settings->extraShare}});
    }

    void beginStop(int signal)
    {
        if (m_isStopping)
            return;
        m_isStopping = true;
        m_log.record(EventId::DaemonStopping, {},
                     {{"signal", signal},
                      {"connections", m_ingress.counts().connections},
                      {"activeCalls", m_gateway.activeCalls()}});
        m_ingress.beginStop();
        m_beacon.announce();
        m_peers.beginStop();
        const Duration forcedEnd = m_settings.stopTime - stopMargin;
        m_stopDeadline = m_timer.now() + forcedEnd;
        m_gateway.beginStop(m_stopDeadline - lastAnswersTime);
        m_stopStep = m_timer.callAfter(std::min(leavingTime, forcedEnd / 2),
                                       [this](const TimerTick &) { endWhenIdle(); });
    }

    void endWhenIdle()
    {
        m_ingress.closeIdle();
        const bool isLate = m_timer.now() >= m_stopDeadline;
        const bool isIdle = m_ingress.busyConnections() == 0 && m_gatherServer.active() == 0;
        if (isLate || isIdle) {
            m_log.record(EventId::DaemonStopped, {},
                         {{"isForced", isLate},
                          {"activeCalls", m_gateway.activeCalls()},
                          {"linesLeftOut", m_log.droppedLineCount()}});
            m_context.stop();
            return;
        }
        m_stopStep =
            m_timer.callAfter(stopPollPeriod, [this](const TimerTick &) { endWhenIdle(); });
    }

    GatewaySettings m_settings;
    std::string m_settingsPath;
    GatewayPlatform m_platform;
    gateway::GatewayPolicy m_policy;
    boost::asio::io_context m_context{1};
    AsioTimerService m_timer;
    SeededRandom m_random;
    JsonEventLog m_log;
    std::shared_ptr<ProcessMemory> m_memory;
    AsioServerLinks m_links;
    gateway::ServerFleet m_fleet;
    gateway::Gateway m_gateway;
    gateway::ServerDirectory m_directory;
    RegistryView m_view;
    std::unique_ptr<gateway::RegistryReader> m_registry;
    Http2PeerNetwork m_peers;
    gateway::SharedRegistryReader m_sharedRegistry;
    gateway::RegistryFollower m_follower;
    gateway::RegistryRelay m_share;
    CallerIngress m_ingress;
    gateway::FleetSize m_fleetSize;
    gateway::FleetMembers m_members;
    gateway::GatherDelegation m_delegation;
    gateway::GatherServer m_gatherServer;
    FleetBeacon m_beacon;
    LatencyHistogram m_latencies;
    OperatorServer m_pages;
    OperatorServer m_metrics;
    boost::asio::signal_set m_signals;
    std::uint16_t m_peerPort = 0;
    bool m_isStopping = false;
    bool m_wasReady = false;
    TimePoint m_started{};
    TimePoint m_stopDeadline{};
    Subscription m_expiry;
    Subscription m_settling;
    Subscription m_stopStep;
};

GatewayDaemon::GatewayDaemon(GatewaySettings settings, std::string settingsPath,
                             GatewayPlatform platform)
    : m_impl(
        std::make_unique<Impl>(std::move(settings), std::move(settingsPath), std::move(platform)))
{
}

GatewayDaemon::~GatewayDaemon() = default;

std::optional<GatewayPorts> GatewayDaemon::start(Reason &reason)
{
    return m_impl->start(reason);
}

void GatewayDaemon::run()
{
    m_impl->run();
}

std::optional<GatewaySettings> loadGatewaySettings(const std::string &path, Reason &reason)
{
    std::ifstream file(path);
    if (!file) {
        reason.set(ErrorKind::BadRequest, path + ": can not be read");
        return std::nullopt;
    }
    std::stringstream text;
    text << file.rdbuf();
    return parseGatewaySettings(text.str(), reason);
}

} // namespace oleander
