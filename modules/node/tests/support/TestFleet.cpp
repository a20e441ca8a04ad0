#include "TestFleet.h"

#include "Corpus.h"

#include <oleander/ports/EventLog.h>
#include <oleander/ports/QueryObserver.h>

#include <algorithm>

namespace oleander::fakes {

namespace {

const ServiceId service{"index"};
const BackendId backend{"backend"};
/// Time from the loss of an entry, or from a failed answer, to the caller's next attempt.
constexpr Duration resendDelay = milliseconds(20);
/// A caller gives an entry up this long after the deadline.
constexpr Duration callerSlack = milliseconds(30);
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

DataCentreId dataCentreOf(int index, const FleetShape &shape)
{
    return DataCentreId(numbered("dc", index % shape.dataCentres));
}

InstanceList instancesOf(const FleetShape &shape)
{
    InstanceList list;
    for (int index = 0; index < shape.daemons; ++index) {
        list.instances.push_back({InstanceId(numbered("daemon", index)), dataCentreOf(index, shape),
                                  numbered("peer", index), numbered("operator", index), false});
    }
    return list;
}

PartitionMap firstMap(const FleetShape &shape)
{
    PartitionMap map;
    map.backend = backend;
    map.service = service;
    map.snapshot = SnapshotId(1);
    for (int index = 0; index < shape.servers; ++index) {
        const ServerId id(numbered("server", index));
        map.servers[id] = {id,          dataCentreOf(index, shape), numbered("address", index),
                           shape.slots, shape.connectionCap,        false};
    }
    for (int index = 0; index < shape.shards; ++index) {
        Shard shard;
        shard.id = ShardId(numbered("shard", index));
        shard.firstKey = index == 0 ? "" : keyOf(index * documentCount / shape.shards);
        const bool isLast = index + 1 == shape.shards;
        shard.endKey = isLast ? "" : keyOf((index + 1) * documentCount / shape.shards);
        for (int replica = 0; replica < shape.replicas; ++replica)
            shard.replicas.emplace_back(numbered("server", (index + replica) % shape.servers));
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

FleetShape ammsShape()
{
    FleetShape shape;
    shape.policy.coordinators = 2;
    shape.policy.canary = true;
    shape.policy.defaultDeadline = milliseconds(250);
    shape.behaviour.connectionCost = milliseconds(6);
    return shape;
}

FleetShape fotolectorShape()
{
    FleetShape shape;
    shape.servers = 8;
    shape.shards = 8;
    shape.connectionCap = 70;
    shape.peerLatency = microseconds(500);
    shape.policy.coordinators = 2;
    shape.policy.canary = true;
    shape.policy.patience = Patience::Coverage;
    shape.policy.defaultDeadline = milliseconds(1000);
    return shape;
}

/// Hands messages of peers to the node, as the daemon does.
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
    std::unique_ptr<VirtualHost> host;
    FixedView views;
    SeededRandom random{0};
    /// Of its own, so that the control plane's draws do not change what queries draw.
    SeededRandom controlRandom{0};
    NullLog log;
    NullObserver observer;
    std::unique_ptr<ServerNetwork> servers;
    std::unique_ptr<FakePeerPort> peers;
    std::unique_ptr<PlatformReader> platform;
    std::unique_ptr<QueryNode> node;
    std::unique_ptr<ControlNode> control;
    std::unique_ptr<Handler> handler;
    int number = 0;
    /// Views that the control plane published, and the one in force.
    int published = 0;
    int inForce = 0;
    std::shared_ptr<const FleetView> heldBack;
    bool isViewHeld = false;
    bool isRunning = true;
};

TestFleet::TestFleet(const FleetShape &shape, std::uint64_t seed)
    : m_shape(shape)
    , m_clock(seed)
    , m_random(seed)
    , m_history(m_clock)
    , m_servers(m_clock, m_history, seed + 1)
    , m_peers(m_clock, m_history, seed + 2)
    , m_platform(m_clock)
{
    m_peers.setLatency(shape.peerLatency);
    const PartitionMap map = firstMap(shape);
    for (const auto &[id, server] : map.servers)
        m_servers.addServer(server, shape.behaviour);
    m_history.shardsAsked = static_cast<std::size_t>(shape.shards);
    m_platform.publish("services", "index");
    publishMap(map, Duration{});
    m_lists.push_back(instancesOf(shape));
    m_platform.publish("instances", "0");
    publishPolicy(shape.policy.tailLimit);
    m_daemons.resize(static_cast<std::size_t>(shape.daemons));
    for (int daemon = 0; daemon < shape.daemons; ++daemon)
        launch(daemon);
}

TestFleet::~TestFleet()
{
    for (auto &daemon : m_daemons) {
        daemon->host->kill();
        daemon->handler.reset();
        daemon->control.reset();
        daemon->node.reset();
    }
    // What still waits may hold calls of peers, which end through the networks.
    m_clock.clear();
}

// Time

void TestFleet::runFor(Duration duration)
{
    m_clock.runUntil(m_clock.now() + duration);
}

void TestFleet::later(Duration delay, std::function<void()> task)
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
    query.deadline = m_shape.policy.defaultDeadline;
    return query;
}

Query TestFleet::claim(const std::string &caller, const std::string &request) const
{
    Query query = this->query(caller, request);
    query.isIdempotent = false;
    query.shards = {ShardId("shard1")};
    query.issuedAt = m_daemons.front()->host->wallNow();
    return query;
}

Submission &TestFleet::submit(int daemon, const Query &query, int resends)
{
    auto added = std::make_unique<Submission>();
    Submission &submission = *added;
    submission.number = static_cast<int>(m_history.submissions.size()) + 1;
    submission.at = m_clock.now();
    submission.daemon = daemon;
    submission.query = query;
    m_history.submissions.push_back(std::move(added));
    m_resendsLeft[&submission] = resends;
    m_history.note("caller sends " + query.caller.text() + "/" + query.request.text() + " through "
                   + instance(daemon).text());
    m_history.reach(Step::Accepted, query.caller, query.request);
    const Duration patience = query.deadline.value_or(m_shape.policy.defaultDeadline);
    later(patience + callerSlack, [this, &submission, resends] {
        if (!submission.answer && !submission.isAbandoned)
            resend(submission, resends);
    });
    if (!isRunning(daemon)) {
        submission.isEntryLost = true;
        return submission;
    }
    Daemon &entry = *m_daemons[static_cast<std::size_t>(daemon)];
    submission.entry = entry.host.get();
    entry.host->run(Duration{}, [this, &entry, &submission, resends, query] {
        submission.ticket =
            entry.node->submit(query, [this, &submission, resends](const Answer &answer) {
                onAnswer(submission, resends, answer);
            });
        m_history.reach(Step::Planned, query.caller, query.request);
    });
    return submission;
}

void TestFleet::abandon(Submission &submission)
{
    if (submission.answer)
        return;
    submission.isAbandoned = true;
    Daemon &entry = *m_daemons[static_cast<std::size_t>(submission.daemon)];
    if (entry.host.get() != submission.entry)
        return;
    entry.host->run(Duration{}, [&entry, &submission] { entry.node->abandon(submission.ticket); });
}

void TestFleet::onAnswer(Submission &submission, int resends, const Answer &answer)
{
    const Query &query = submission.query;
    if (submission.answer)
        m_history.note("SECOND ANSWER");
    submission.isDoublyAnswered = submission.answer.has_value();
    submission.answer = answer;
    submission.answeredAt = m_clock.now();
    m_history.note("answer to " + query.caller.text() + "/" + query.request.text() + ": "
                   + describe(answer));
    m_history.reach(Step::Returned, query.caller, query.request);
    if (!isSuccess(answer))
        later(resendDelay, [this, &submission, resends] { resend(submission, resends); });
}

void TestFleet::resend(const Submission &submission, int resends)
{
    if (resends == 0 || m_resendsLeft[&submission] == 0)
        return;
    m_resendsLeft[&submission] = 0;
    for (int step = 1; step <= daemons(); ++step) {
        const int next = (submission.daemon + step) % daemons();
        if (!isRunning(next))
            continue;
        submit(next, submission.query, resends - 1);
        return;
    }
}

void TestFleet::loseEntry(int daemon)
{
    for (const auto &submission : m_history.submissions) {
        const bool isLost =
            submission->daemon == daemon && !submission->answer && !submission->isEntryLost;
        if (!isLost)
            continue;
        submission->isEntryLost = true;
        const Submission &lost = *submission;
        later(resendDelay, [this, &lost] { resend(lost, m_resendsLeft[&lost]); });
    }
}

// Daemons

void TestFleet::launch(int daemon)
{
    auto started = std::make_unique<Daemon>();
    const int process = ++m_lastProcess;
    // Clocks disagree, within what the daemons allow for.
    const Duration skew = milliseconds(process % 3 * 400 - 400);
    started->host = std::make_unique<VirtualHost>(m_clock, process, skew);
    started->random = SeededRandom(m_random.next());
    started->controlRandom = SeededRandom(static_cast<std::uint64_t>(process));
    started->number = daemon;
    started->servers = m_servers.connect(*started->host);
    started->peers = m_peers.join(instance(daemon), *started->host);
    QueryNode::Ports ports{*started->host, *started->servers, *started->peers,  started->random,
                           started->views, started->log,      started->observer};
    QueryNode::Identity identity;
    identity.instance = instance(daemon);
    identity.dataCentre = dataCentreOf(daemon, m_shape);
    started->node = std::make_unique<QueryNode>(ports, identity);
    connectControl(*started, identity);
    m_daemons[static_cast<std::size_t>(daemon)] = std::move(started);
}

VirtualHost &TestFleet::host(int daemon)
{
    return *m_daemons[static_cast<std::size_t>(daemon)]->host;
}

void TestFleet::connectControl(Daemon &daemon, const QueryNode::Identity &identity)
{
    daemon.platform = m_platform.connect(*daemon.host);
    ControlSettings settings;
    settings.self.id = identity.instance;
    settings.self.dataCentre = identity.dataCentre;
    settings.seeds = m_lists.front().instances;
    ControlNode::Hooks hooks;
    hooks.viewPublished = [this, &daemon](const std::shared_ptr<const FleetView> &view) {
        const int turn = ++daemon.published;
        daemon.host->run(daemon.number * m_publishLag, [this, &daemon, view, turn] {
            // The lag of a later view may have been shorter.
            if (turn > std::exchange(daemon.inForce, std::max(turn, daemon.inForce)))
                putInForce(daemon, view);
        });
    };
    hooks.crashReported = [&daemon](const CrashNotice &notice) {
        daemon.node->onCrashNotices({notice});
    };
    const ControlNode::Ports ports{*daemon.host, *daemon.peers, *daemon.platform,
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
    if (!isHeld && target.heldBack)
        putInForce(target, std::exchange(target.heldBack, nullptr));
}

void TestFleet::putInForce(Daemon &daemon, const std::shared_ptr<const FleetView> &view)
{
    if (daemon.isViewHeld) {
        daemon.heldBack = view;
        return;
    }
    daemon.views.set(view);
    m_history.versions.push_back(
        {m_clock.now(), daemon.number, view->policies->version, view->instances->version});
    for (const auto &[name, map] : view->partitions) {
        for (const auto &[id, server] : map->servers) {
            if (server.isLeaving)
                m_history.drains.push_back({m_clock.now(), daemon.host->index(), id});
        }
    }
}

int TestFleet::daemonOfProcess(int process) const
{
    const auto found = std::ranges::find_if(
        m_daemons, [&](const auto &each) { return each->host->index() == process; });
    return found == m_daemons.end() ? -1 : static_cast<int>(found - m_daemons.begin());
}

void TestFleet::killDaemon(int daemon)
{
    if (!isRunning(daemon))
        return;
    Daemon &killed = *m_daemons[static_cast<std::size_t>(daemon)];
    m_history.note(instance(daemon).text() + " is gone");
    killed.isRunning = false;
    killed.host->kill();
    m_peers.lose(instance(daemon));
    m_servers.closeAllOf(*killed.host);
    killed.handler.reset();
    killed.control.reset();
    killed.node.reset();
    loseEntry(daemon);
}

void TestFleet::startDaemon(int daemon)
{
    if (isRunning(daemon))
        return;
    m_history.note(instance(daemon).text() + " starts");
    m_ended.push_back(std::move(m_daemons[static_cast<std::size_t>(daemon)]));
    launch(daemon);
}

void TestFleet::drainDaemon(int daemon)
{
    if (!isRunning(daemon))
        return;
    Daemon &drained = *m_daemons[static_cast<std::size_t>(daemon)];
    m_history.note(instance(daemon).text() + " begins its stop");
    drained.host->run(Duration{}, [this, &drained, daemon] {
        drained.control->beginStop();
        drained.peers->beginStop();
        drained.node->beginStop(
            [this, daemon] { later(Duration{}, [this, daemon] { killDaemon(daemon); }); });
    });
}

bool TestFleet::isRunning(int daemon) const
{
    return m_daemons[static_cast<std::size_t>(daemon)]->isRunning;
}

void TestFleet::setSplit(bool isSplit)
{
    for (int first = 0; first < daemons(); ++first) {
        for (int second = 0; second < first; ++second) {
            if (dataCentreOf(first, m_shape) != dataCentreOf(second, m_shape))
                m_peers.setConnected(instance(first), instance(second), !isSplit);
        }
        for (int index = 0; index < m_shape.servers; ++index) {
            if (dataCentreOf(first, m_shape) != dataCentreOf(index, m_shape))
                m_servers.setReachable(host(first), server(index), !isSplit);
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

// What is published

std::shared_ptr<const FleetView> TestFleet::view(int daemon) const
{
    return m_daemons[static_cast<std::size_t>(daemon)]->views.view();
}

SectionParsers TestFleet::parsers() const
{
    // A published text is the index of the value that it stands for.
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
        return std::optional(lookUp(m_lists, text, version));
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
    m_lists.push_back(m_lists.back());
    change(m_lists.back());
    m_platform.publish("instances", std::to_string(m_lists.size() - 1));
}

void TestFleet::publishPolicy(Duration tailLimit)
{
    PolicySet policies;
    policies.defaults = m_shape.policy;
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

PartitionMap TestFleet::split(PartitionMap map)
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

std::vector<std::string> TestFleet::verdict(const JudgeRules &rules)
{
    for (const auto &daemon : m_daemons) {
        if (daemon->isRunning && daemon->control->isReady())
            m_history.finalVersions.push_back(daemon->views.view()->policies->version);
    }
    m_history.newestConfiguration = m_platform.versionOf("config");
    return brokenPromises(m_history, rules);
}

} // namespace oleander::fakes
