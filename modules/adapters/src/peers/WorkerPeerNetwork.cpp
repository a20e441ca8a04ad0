#include <oleander/adapters/peers/WorkerPeerNetwork.h>

#include <unordered_map>
#include <utility>

namespace oleander {

/// State used only on the worker's thread.
struct WorkerPeerNetwork::WorkerSide
{
    std::unordered_map<PeerCallId, PeerCallback> calls;
    std::uint64_t lastCall = 0;
    PeerHandler *handler = nullptr;
};

/// State used only on the network's thread.
struct WorkerPeerNetwork::NetworkSide
{
    explicit NetworkSide(PeerNetwork &theNetwork)
        : network(theNetwork)
    {
    }

    PeerNetwork &network;
    /// Maps the worker's id of a call to the network's id.
    std::unordered_map<PeerCallId, PeerCallId> calls;
};

/// Responder that a worker uses. Its state belongs to the worker's thread; the network's responder
/// is only used and released on the network's thread.
class WorkerPeerNetwork::Responder : public PeerResponder
{
public:
    struct Cancellation
    {
        bool hasHappened = false;
        std::function<void()> callback;
    };

    Responder(EventLoop &networkLoop, std::shared_ptr<PeerResponder> networkResponder,
              std::shared_ptr<Cancellation> cancellation)
        : m_networkLoop(networkLoop)
        , m_networkResponder(std::move(networkResponder))
        , m_cancellation(std::move(cancellation))
    {
    }
    Responder(const Responder &) = delete;
    Responder &operator=(const Responder &) = delete;
    ~Responder() override
    {
        if (m_networkResponder)
            m_networkLoop.post([networkResponder = std::move(m_networkResponder)] {});
    }

    void reply(PeerReply reply) override
    {
        m_cancellation->callback = nullptr;
        if (!m_networkResponder)
            return;
        m_networkLoop.post(
            [networkResponder = std::move(m_networkResponder), reply = std::move(reply)]() mutable {
                networkResponder->reply(std::move(reply));
            });
    }

    void refuse() override
    {
        m_cancellation->callback = nullptr;
        if (!m_networkResponder)
            return;
        m_networkLoop.post(
            [networkResponder = std::move(m_networkResponder)] { networkResponder->refuse(); });
    }

    void onCancel(std::function<void()> callback) override
    {
        if (m_cancellation->hasHappened)
            callback();
        else if (m_networkResponder)
            m_cancellation->callback = std::move(callback);
    }

private:
    EventLoop &m_networkLoop;
    std::shared_ptr<PeerResponder> m_networkResponder;
    std::shared_ptr<Cancellation> m_cancellation;
};

WorkerPeerNetwork::WorkerPeerNetwork(EventLoop &worker, EventLoop &networkLoop,
                                     PeerNetwork &network)
    : m_worker(worker)
    , m_networkLoop(networkLoop)
    , m_workerSide(std::make_shared<WorkerSide>())
    , m_networkSide(std::make_shared<NetworkSide>(network))
{
}

WorkerPeerNetwork::~WorkerPeerNetwork() = default;

PeerCallId WorkerPeerNetwork::call(const Instance &peer, PeerRequest request, Duration timeLeft,
                                   PeerCallback callback)
{
    const PeerCallId id(++m_workerSide->lastCall);
    m_workerSide->calls.emplace(id, std::move(callback));
    auto onEnd = [&worker = m_worker, workerSide = std::weak_ptr<WorkerSide>(m_workerSide),
                  networkSide = std::weak_ptr<NetworkSide>(m_networkSide),
                  id](PeerOutcome outcome) {
        if (const auto side = networkSide.lock())
            side->calls.erase(id);
        worker.post([workerSide, id, outcome = std::move(outcome)]() mutable {
            const auto side = workerSide.lock();
            if (!side)
                return;
            const auto node = side->calls.extract(id);
            if (!node.empty())
                node.mapped()(std::move(outcome));
        });
    };
    m_networkLoop.post([side = m_networkSide, id, peer, request = std::move(request), timeLeft,
                        onEnd = std::move(onEnd)]() mutable {
        const PeerCallId networkCall =
            side->network.call(peer, std::move(request), timeLeft, std::move(onEnd));
        side->calls.emplace(id, networkCall);
    });
    return id;
}

void WorkerPeerNetwork::cancel(PeerCallId id)
{
    if (m_workerSide->calls.erase(id) == 0)
        return;
    m_networkLoop.post([side = m_networkSide, id] {
        const auto node = side->calls.extract(id);
        if (!node.empty())
            side->network.cancel(node.mapped());
    });
}

void WorkerPeerNetwork::setHandler(PeerHandler *handler)
{
    m_workerSide->handler = handler;
}

void WorkerPeerNetwork::beginStop()
{
    m_networkLoop.post([side = m_networkSide] { side->network.beginStop(); });
}

void WorkerPeerNetwork::deliver(PeerRequest request, std::shared_ptr<PeerResponder> responder)
{
    const auto cancellation = std::make_shared<Responder::Cancellation>();
    responder->onCancel([&worker = m_worker, cancellation] {
        worker.post([cancellation] {
            cancellation->hasHappened = true;
            const auto callback = std::exchange(cancellation->callback, nullptr);
            if (callback)
                callback();
        });
    });
    auto posted = std::make_shared<Responder>(m_networkLoop, std::move(responder), cancellation);
    m_worker.post([side = std::weak_ptr<WorkerSide>(m_workerSide), request = std::move(request),
                   posted = std::move(posted)]() mutable {
        const auto worker = side.lock();
        if (worker && worker->handler)
            worker->handler->onPeerRequest(std::move(request), std::move(posted));
        else
            posted->refuse();
    });
}

PeerDistributor::PeerDistributor(std::vector<WorkerPeerNetwork *> workers, Choice choice)
    : m_workers(std::move(workers))
    , m_choice(std::move(choice))
{
}

void PeerDistributor::onPeerRequest(PeerRequest request, std::shared_ptr<PeerResponder> responder)
{
    const std::size_t worker = m_choice(request);
    if (worker < m_workers.size())
        m_workers[worker]->deliver(std::move(request), std::move(responder));
    else
        responder->refuse();
}

} // namespace oleander
