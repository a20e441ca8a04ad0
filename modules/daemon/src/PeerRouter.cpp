#include "PeerRouter.h"

#include "PostedResponder.h"

namespace oleander {

PeerRouter::PeerRouter(EventLoop &control, ControlNode &node,
                       std::vector<std::unique_ptr<Worker>> &workers)
    : m_control(control)
    , m_node(node)
    , m_workers(workers)
{
}

void PeerRouter::onPeerRequest(PeerRequest request, std::shared_ptr<PeerResponder> responder)
{
    auto *query = std::get_if<PeerQuery>(&request);
    if (!query) {
        m_node.onPeerRequest(std::move(request), std::move(responder));
        return;
    }
    Worker &worker = workerOf(m_workers, query->query.service);
    worker.takePeerQuery(std::move(*query), std::make_shared<PostedResponder>(
                                                worker.loop(), m_control, std::move(responder)));
}

} // namespace oleander
