#include "TestFleet.h"

#include "TestDocuments.h"

#include <oleander/ports/EventLog.h>
#include <oleander/ports/QueryObserver.h>

#include <algorithm>

namespace oleander::fakes {

namespace {

const ServiceId service{"index"};
const BackendId backend{"backend"};
/// Time from a failed answer, or from the loss of the entry instance, to the caller's next attempt.
constexpr Duration resendDelay = milliseconds(20);
/// Time after the deadline at which a caller stops waiting for an answer.
constexpr Duration callerTimeoutMargin = milliseconds(30);
/// Owner of events that belong to no process.
constexpr int sessionOwner = 0;

class NullLog final : public EventLog
{
public:
    using EventLog::record;
    void record(EventId /*event*/, const RequestId & /*request*/,
                std::string_view /*text*/) override
    {
    }
};

class NullObserver final : public QueryObserver
{
public:
    void onQueryFinished(const Query & /*query*/, const Answer & /*answer*/,
                         Duration /*latency*/) override
    {
    }
    void onSubRequestFinished(const SubRequestRecord & /*record*/) override {}
};

std::string numbered(const std::string &prefix, int number)
{
    return prefix + std::to_string(number);
}

DataCentreId dataCentreOf(int index, const FleetOptions &options)
{
    return DataCentreId(numbered("dc", index % options.dataCentres));
}

InstanceList instancesOf(const FleetOptions &options)
{
    InstanceList list;
    for (int index = 0; index < options.daemons; ++index) {
        list.instances.push_back({InstanceId(numbered("daemon", index)),
                                  dataCentreOf(index, options), numbered("peer", index),
                                  numbered("operator", index), false});
    }
    return list;
}

PartitionMap initialMap(const FleetOptions &options)
{
    PartitionMap map;
    map.backend = backend;
    map.service = service;
    map.snapshot = SnapshotId(1);
    for (int index = 0; index < options.servers; ++index) {
        const ServerId id(numbered("server", index));
        map.servers[id] = {id,
                           dataCentreOf(index, options),
                           numbered("address", index),
                           options.slots,
                           options.connectionCap,
                           false};
    }
    for (int index = 0; index < options.shards; ++index) {
        Shard shard;
        shard.id = ShardId(numbered("shard", index));
        shard.firstKey = index == 0 ? "" : keyOf(index * documentCount / options.shards);
        const bool isLast = index + 1 == options.shards;
        shard.endKey = isLast ? "" : keyOf((index + 1) * documentCount / options.shards);
        for (int replica = 0; replica < options.replicas; ++replica)
            shard.replicas.emplace_back(numbered("server", (index + replica) % options.servers));
        map.shards.push_back(shard);
    }
    return map;
}

std::string describe(const Answer &answer)
{
    std::string text = std::string(nameOf(answer.outcome)) + " " + std::string(nameOf(answer.ran));
    if (answer.error != ErrorKind::None)
        text += " " + std::string(answerFor(answer.error).name);
    text += " " + std::to_string(answer.coverage.answered) + "/"
            + std::to_string(answer.coverage.asked) + "@" + std::to_string(answer.snapshot.value());
    return text + " " + std::to_string(answer.documents.size()) + " documents";
}

bool isSuccess(const Answer &answer)
{
    return answer.outcome == Outcome::Answered || answer.outcome == Outcome::Partial;
}

} // namespace

FleetOptions ammsOptions()
{
    FleetOptions options;
    options.policy.coordinators = 2;
    options.policy.canary = true;
    options.policy.defaultDeadline = milliseconds(250);
    options.behaviour.connectionSetupTime = milliseconds(6);
    return options;
}

FleetOptions fotolectorOptions()
{
    FleetOptions options;
    options.servers = 8;
    options.shards = 8;
    options.connectionCap = 70;
    options.peerLatency = microseconds(500);
    options.policy.coordinators = 2;
    options.policy.canary = true;
    options.policy.patience = Patience::Coverage;
    options.policy.defaultDeadline = milliseconds(1000);
    return options;
}

/// Passes messages from peers to the query node or to the control node, as the daemon does.
class TestFleet::Handler final : public PeerHandler
{
public:
    Handler(QueryNode &node, ControlNode &control)
        : m_node(node)
        , m_control(control)
    {
    }
    void onPeerRequest(PeerRequest request, std::shared_ptr<PeerResponder> responder) override
    {
        if (auto *query = std::get_if<PeerQuery>(&request))
            m_node.onPeerQuery(std::move(*query), responder);
        else
            m_control.onPeerRequest(std::move(request), std::move(responder));
    }

private:
    QueryNode &m_node;
    ControlNode &m_control;
};

struct TestFleet::Daemon
{
    std::unique_ptr<VirtualProcess> process;
    SettableViewSource views;
    SeededRandom random{0};
    /// Separate from `random`, so that random numbers drawn by the control plane do not change
    /// those drawn for queries.
    SeededRandom controlRandom{0};
    NullLog log;
    NullObserver observer;
    std::unique_ptr<ServerNetwork> servers;
    std::unique_ptr<FakePeerEndpoint> peers;
    std::unique_ptr<PlatformReader> platform;
    std::unique_ptr<QueryNode> node;
    std::unique_ptr<ControlNode> control;
    std::unique_ptr<Handler> handler;
    int number = 0;
    /// Number of views that the control plane has published, and the number of the one in use.
    int publishedViews = 0;
    int appliedView = 0;
    std::shared_ptr<const FleetView> deferredView;
    bool isViewHeld = false;
    bool isRunning = true;
};

TestFleet::TestFleet(const FleetOptions &options, std::uint64_t seed)
    : m_options(options)
    , m_clock(seed)
    , m_random(seed)
    , m_history(m_clock)
    , m_servers(m_clock, m_history, seed + 1)
    , m_peers(m_clock, m_history, seed + 2)
    , m_platform(m_clock)
{
    m_peers.setLatency(options.peerLatency);
    const PartitionMap map = initialMap(options);
    for (const auto &[id, server] : map.servers)
        m_servers.addServer(server, options.behaviour);
    m_history.shardsAsked = static_cast<std::size_t>(options.shards);
    m_platform.publish("services", "index");
    publishMap(map, Duration{});
    m_instanceLists.push_back(instancesOf(options));
    m_platform.publish("instances", "0");
    publishPolicy(options.policy.tailLimit);
    m_daemons.resize(static_cast<std::size_t>(options.daemons));
    for (int daemon = 0; daemon < options.daemons; ++daemon)
        launch(daemon);
}

TestFleet::~TestFleet()
{
    for (auto &daemon : m_daemons) {
        daemon->process->kill();
        daemon->handler.reset();
        daemon->control.reset();
        daemon->node.reset();
    }
    // Pending events may hold calls between peers that end through the fake networks, so they are
    // removed while the networks still exist.
    m_clock.clear();
}

// Time

void TestFleet::runFor(Duration duration)
{
    m_clock.runUntil(m_clock.now() + duration);
}

void TestFleet::schedule(Duration delay, std::function<void()> task)
{
    m_clock.after(delay, sessionOwner, std::move(task));
}

// Callers

Query TestFleet::query(const std::string &caller, const std::string &request) const
{
    Query query;
    query.caller = CallerId(caller);
    query.request = RequestId(request);
    query.backend = backend;
    query.service = service;
    query.payload = "find " + request;
    query.deadline = m_options.policy.defaultDeadline;
    return query;
}

Query TestFleet::nonIdempotentQuery(const std::string &caller, const std::string &request) const
{
    Query query = this->query(caller, request);
    query.isIdempotent = false;
    query.shards = {ShardId("shard1")};
    query.issuedAt = m_daemons.front()->process->wallNow();
    return query;
}

Submission &TestFleet::submit(int daemon, const Query &query, int resends)
{
    auto newSubmission = std::make_unique<Submission>();
    Submission &submission = *newSubmission;
    submission.number = static_cast<int>(m_history.submissions.size()) + 1;
    submission.at = m_clock.now();
    submission.daemon = daemon;
    submission.query = query;
    m_history.submissions.push_back(std::move(newSubmission));
    m_resendsLeft[&submission] = resends;
    m_history.addTraceLine("caller sends " + query.caller.text() + "/" + query.request.text()
                           + " through " + instance(daemon).text());
    m_history.recordStage(QueryStage::Accepted, query.caller, query.request);
    const Duration callerTimeout = query.deadline.value_or(m_options.policy.defaultDeadline);
    schedule(callerTimeout + callerTimeoutMargin, [this, &submission, resends] {
        if (!submission.answer && !submission.isAbandoned)
            resend(submission, resends);
    });
    if (!isRunning(daemon)) {
        submission.isEntryLost = true;
        return submission;
    }
    Daemon &entry = *m_daemons[static_cast<std::size_t>(daemon)];
    submission.entry = entry.process.get();
    entry.process->run(Duration{}, [this, &entry, &submission, resends, query] {
        submission.ticket =
            entry.node->submit(query, [this, &submission, resends](const Answer &answer) {
                onAnswer(submission, resends, answer);
            });
        m_history.recordStage(QueryStage::Planned, query.caller, query.request);
    });
    return submission;
}

void TestFleet::abandon(Submission &submission)
{
    if (submission.answer)
        return;
    submission.isAbandoned = true;
    Daemon &entry = *m_daemons[static_cast<std::size_t>(submission.daemon)];
    if (entry.process.get() != submission.entry)
        return;
    entry.process->run(Duration{},
                       [&entry, &submission] { entry.node->abandon(submission.ticket); });
}

void TestFleet::onAnswer(Submission &submission, int resends, const Answer &answer)
{
    const Query &query = submission.query;
    if (submission.answer)
        m_history.addTraceLine("SECOND ANSWER");
    submission.isAnsweredTwice = submission.answer.has_value();
    submission.answer = answer;
    submission.answeredAt = m_clock.now();
    m_history.addTraceLine("answer to " + query.caller.text() + "/" + query.request.text() + ": "
                           + describe(answer));
    m_history.recordStage(QueryStage::Returned, query.caller, query.request);
    if (!isSuccess(answer))
        schedule(resendDelay, [this, &submission, resends] { resend(submission, resends); });
}

void TestFleet::resend(const Submission &submission, int resends)
{
    if (resends == 0 || m_resendsLeft[&submission] == 0)
        return;
    m_resendsLeft[&submission] = 0;
    for (int offset = 1; offset <= daemons(); ++offset) {
        const int next = (submission.daemon + offset) % daemons();
        if (!isRunning(next))
            continue;
        submit(next, submission.query, resends - 1);
        return;
    }
}

void TestFleet::markEntryLost(int daemon)
{
    for (const auto &submission : m_history.submissions) {
        const bool isLost =
            submission->daemon == daemon && !submission->answer && !submission->isEntryLost;
        if (!isLost)
            continue;
        submission->isEntryLost = true;
        const Submission &lost = *submission;
        schedule(resendDelay, [this, &lost] { resend(lost, m_resendsLeft[&lost]); });
    }
}

// Daemons

void TestFleet::launch(int daemon)
{
    auto started = std::make_unique<Daemon>();
    const int processNumber = ++m_lastProcess;
    // The skew of the wall clocks is within what the daemons tolerate.
    const Duration skew = milliseconds(processNumber % 3 * 400 - 400);
    started->process = std::make_unique<VirtualProcess>(m_clock, processNumber, skew);
    started->random = SeededRandom(m_random.next());
    started->controlRandom = SeededRandom(static_cast<std::uint64_t>(processNumber));
    started->number = daemon;
    started->servers = m_servers.connect(*started->process);
    started->peers = m_peers.addDaemon(instance(daemon), *started->process);
    QueryNode::Ports ports{*started->process, *started->servers, *started->peers,  started->random,
                           started->views,    started->log,      started->observer};
    QueryNode::Identity identity;
    identity.instance = instance(daemon);
    identity.dataCentre = dataCentreOf(daemon, m_options);
    started->node = std::make_unique<QueryNode>(ports, identity);
    connectControl(*started, identity);
    m_daemons[static_cast<std::size_t>(daemon)] = std::move(started);
}

VirtualProcess &TestFleet::process(int daemon)
{
    return *m_daemons[static_cast<std::size_t>(daemon)]->process;
}

void TestFleet::connectControl(Daemon &daemon, const QueryNode::Identity &identity)
{
    daemon.platform = m_platform.connect(*daemon.process);
    ControlSettings settings;
    settings.self.id = identity.instance;
    settings.self.dataCentre = identity.dataCentre;
    settings.seeds = m_instanceLists.front().instances;
    ControlNode::Hooks hooks;
    hooks.viewPublished = [this, &daemon](const std::shared_ptr<const FleetView> &view) {
        const int viewNumber = ++daemon.publishedViews;
        daemon.process->run(daemon.number * m_publishLag, [this, &daemon, view, viewNumber] {
            // A later view may already be in use if it was published with a shorter lag.
            if (viewNumber
                > std::exchange(daemon.appliedView, std::max(viewNumber, daemon.appliedView)))
                applyView(daemon, view);
        });
    };
    hooks.crashReported = [&daemon](const CrashNotice &notice) {
        daemon.node->onCrashNotices({notice});
    };
    const ControlNode::Ports ports{*daemon.process, *daemon.peers, *daemon.platform,
                                   daemon.controlRandom, daemon.log};
    daemon.control = std::make_unique<ControlNode>(ports, settings, parsers(), hooks);
    daemon.handler = std::make_unique<Handler>(*daemon.node, *daemon.control);
    daemon.peers->setHandler(daemon.handler.get());
    daemon.control->start();
}

void TestFleet::holdView(int daemon, bool isHeld)
{
    Daemon &target = *m_daemons[static_cast<std::size_t>(daemon)];
    target.isViewHeld = isHeld;
    if (!isHeld && target.deferredView)
        applyView(target, std::exchange(target.deferredView, nullptr));
}

void TestFleet::applyView(Daemon &daemon, const std::shared_ptr<const FleetView> &view)
{
    if (daemon.isViewHeld) {
        daemon.deferredView = view;
        return;
    }
    daemon.views.set(view);
    m_history.versions.push_back(
        {m_clock.now(), daemon.number, view->policies->version, view->instances->version});
    for (const auto &[name, map] : view->partitions) {
        for (const auto &[id, server] : map->servers) {
            if (server.isLeaving)
                m_history.drains.push_back({m_clock.now(), daemon.process->index(), id});
        }
    }
}

int TestFleet::daemonOfProcess(int process) const
{
    const auto found = std::ranges::find_if(
        m_daemons, [&](const auto &each) { return each->process->index() == process; });
    return found == m_daemons.end() ? -1 : static_cast<int>(found - m_daemons.begin());
}

void TestFleet::killDaemon(int daemon)
{
    if (!isRunning(daemon))
        return;
    Daemon &killed = *m_daemons[static_cast<std::size_t>(daemon)];
    m_history.addTraceLine(instance(daemon).text() + " is gone");
    killed.isRunning = false;
    killed.process->kill();
    m_peers.removeDaemon(instance(daemon));
    m_servers.closeConnectionsOf(*killed.process);
    killed.handler.reset();
    killed.control.reset();
    killed.node.reset();
    markEntryLost(daemon);
}

void TestFleet::startDaemon(int daemon)
{
    if (isRunning(daemon))
        return;
    m_history.addTraceLine(instance(daemon).text() + " starts");
    m_endedDaemons.push_back(std::move(m_daemons[static_cast<std::size_t>(daemon)]));
    launch(daemon);
}

void TestFleet::drainDaemon(int daemon)
{
    if (!isRunning(daemon))
        return;
    Daemon &drained = *m_daemons[static_cast<std::size_t>(daemon)];
    m_history.addTraceLine(instance(daemon).text() + " begins its stop");
    drained.process->run(Duration{}, [this, &drained, daemon] {
        drained.control->beginStop();
        drained.peers->beginStop();
        drained.node->beginStop(
            [this, daemon] { schedule(Duration{}, [this, daemon] { killDaemon(daemon); }); });
    });
}

bool TestFleet::isRunning(int daemon) const
{
    return m_daemons[static_cast<std::size_t>(daemon)]->isRunning;
}

void TestFleet::setDataCentreSplit(bool isSplit)
{
    for (int first = 0; first < daemons(); ++first) {
        for (int second = 0; second < first; ++second) {
            if (dataCentreOf(first, m_options) != dataCentreOf(second, m_options))
                m_peers.setConnected(instance(first), instance(second), !isSplit);
        }
        for (int index = 0; index < m_options.servers; ++index) {
            if (dataCentreOf(first, m_options) != dataCentreOf(index, m_options))
                m_servers.setReachable(process(first), server(index), !isSplit);
        }
    }
}

InstanceId TestFleet::instance(int daemon) const
{
    return InstanceId(numbered("daemon", daemon));
}

ServerId TestFleet::server(int index) const
{
    return ServerId(numbered("server", index));
}

// Configuration

std::shared_ptr<const FleetView> TestFleet::view(int daemon) const
{
    return m_daemons[static_cast<std::size_t>(daemon)]->views.view();
}

SectionParsers TestFleet::parsers() const
{
    // A published text is the index of the value in its list.
    const auto lookUp = [](const auto &values, std::string_view text, SectionVersion version) {
        auto value = values[std::stoul(std::string(text))];
        value.version = version;
        return value;
    };
    SectionParsers parsers;
    parsers.policySet = [this, lookUp](std::string_view text, SectionVersion version, Reason &) {
        return std::optional(lookUp(m_policies, text, version));
    };
    parsers.instanceList = [this, lookUp](std::string_view text, SectionVersion version, Reason &) {
        return std::optional(lookUp(m_instanceLists, text, version));
    };
    parsers.partitionMap = [this, lookUp](std::string_view text, SectionVersion version, Reason &) {
        return std::optional(lookUp(m_maps, text, version));
    };
    parsers.serviceNames = [](std::string_view, SectionVersion, Reason &) {
        return std::optional(std::vector{service});
    };
    return parsers;
}

void TestFleet::publishMap(const PartitionMap &map, Duration lag)
{
    m_publishLag = lag;
    m_servers.publish(map);
    m_maps.push_back(map);
    m_history.maps.push_back(std::make_shared<PartitionMap>(map));
    m_platform.publish("partitions/" + service.text(), std::to_string(m_maps.size() - 1));
}

void TestFleet::publishInstances(const std::function<void(InstanceList &)> &change, Duration lag)
{
    m_publishLag = lag;
    m_instanceLists.push_back(m_instanceLists.back());
    change(m_instanceLists.back());
    m_platform.publish("instances", std::to_string(m_instanceLists.size() - 1));
}

void TestFleet::publishPolicy(Duration tailLimit)
{
    PolicySet policies;
    policies.defaults = m_options.policy;
    policies.defaults.tailLimit = tailLimit;
    m_policies.push_back(policies);
    m_platform.publish("config", std::to_string(m_policies.size() - 1));
}

PartitionMap TestFleet::nextMap(bool isNewSnapshot) const
{
    PartitionMap next = m_maps.back();
    if (isNewSnapshot)
        next.snapshot = SnapshotId(next.snapshot.value() + 1);
    return next;
}

PartitionMap TestFleet::splitShards(PartitionMap map)
{
    std::vector<Shard> halves;
    for (const Shard &shard : map.shards) {
        const auto documents = documentsIn(shard.firstKey, shard.endKey, map.snapshot, {}, {});
        std::vector<std::string> keys;
        keys.reserve(documents.size());
        for (const Document &document : documents)
            keys.push_back(document.id.text());
        std::ranges::sort(keys);
        if (keys.size() < 2) {
            halves.push_back(shard);
            continue;
        }
        const std::string &middle = keys[keys.size() / 2];
        halves.push_back({ShardId(shard.id.text() + "a"), shard.firstKey, middle, shard.replicas});
        halves.push_back({ShardId(shard.id.text() + "b"), middle, shard.endKey, shard.replicas});
    }
    map.shards = std::move(halves);
    return map;
}

std::vector<std::string> TestFleet::checkHistory(const CheckOptions &checkOptions)
{
    for (const auto &daemon : m_daemons) {
        if (daemon->isRunning && daemon->control->isReady())
            m_history.finalVersions.push_back(daemon->views.view()->policies->version);
    }
    m_history.newestConfiguration = m_platform.versionOf("config");
    return findViolations(m_history, checkOptions);
}

} // namespace oleander::fakes
