#pragma once

#include "Worker.h"

#include <oleander/node/ControlNode.h>
#include <oleander/ports/PeerNetwork.h>

#include <memory>
#include <vector>

namespace oleander {

/// Hands requests of peers to the part of this process that serves them: queries to the worker of
/// their service, everything else to the control node. Lives on the control thread.
class PeerRouter final : public PeerHandler
{
public:
    PeerRouter(EventLoop &control, ControlNode &node,
               std::vector<std::unique_ptr<Worker>> &workers);

    void onPeerRequest(PeerRequest request, std::shared_ptr<PeerResponder> responder) override;

private:
    EventLoop &m_control;
    ControlNode &m_node;
    std::vector<std::unique_ptr<Worker>> &m_workers;
};

} // namespace oleander
