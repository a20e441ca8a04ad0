#include "Worker.h"

namespace oleander {

Worker::Worker(const Shared &shared, const QueryNode::Identity &identity)
    : m_timers(m_loop.context())
    , m_servers(m_loop.context(), ServerNetworkLimits{})
    , m_random(SeededRandom::unpredictable())
    , m_remotePeers(m_loop, shared.control, shared.network)
    , m_peers(m_loop, m_remotePeers, identity.instance, shared.routeLocally)
    , m_node({m_timers, m_servers, m_peers, m_random, shared.views, shared.log, shared.observer},
             identity)
    , m_callers(m_loop.context(), m_node, shared.log, HttpLimits{})
{
    m_remotePeers.setHandler(this);
}

Worker::~Worker()
{
    join();
}

bool Worker::start(const std::string &callerAddress, Reason &reason)
{
    if (!m_callers.listen(callerAddress, reason))
        return false;
    m_thread = std::thread([this] { m_loop.run(); });
    return true;
}

void Worker::beginStop(std::function<void()> whenIdle)
{
    m_loop.post([this, whenIdle = std::move(whenIdle)]() mutable {
        m_callers.beginStop([this, whenIdle = std::move(whenIdle)]() mutable {
            m_node.beginStop(std::move(whenIdle));
        });
    });
}

void Worker::join()
{
    if (!m_thread.joinable())
        return;
    m_loop.stop();
    m_thread.join();
}

void Worker::takeLocalRequest(PeerRequest request, std::shared_ptr<PeerResponder> responder)
{
    m_loop.post([this, request = std::move(request), responder = std::move(responder)]() mutable {
        onPeerRequest(std::move(request), std::move(responder));
    });
}

void Worker::onPeerRequest(PeerRequest request, std::shared_ptr<PeerResponder> responder)
{
    if (auto *query = std::get_if<PeerQuery>(&request))
        m_node.onPeerQuery(std::move(*query), responder);
    else
        responder->refuse();
}

void Worker::takeCrashNotice(const CrashNotice &notice)
{
    m_loop.post([this, notice] { m_node.onCrashNotices({notice}); });
}

void Worker::readStatus(std::function<void(QueryNodeStatus)> callback)
{
    m_loop.post([this, callback = std::move(callback)] { callback(m_node.status()); });
}

bool Worker::ownsService(const ServiceId &service) const
{
    return m_node.ownsService(service);
}

Worker &workerOf(const std::vector<std::unique_ptr<Worker>> &workers, const ServiceId &service)
{
    for (const auto &worker : workers) {
        if (worker->ownsService(service))
            return *worker;
    }
    return *workers.front();
}

} // namespace oleander
