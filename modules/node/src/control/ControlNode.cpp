#include "ControlCore.h"

#include <oleander/node/ControlNode.h>

namespace oleander {

ControlNode::ControlNode(const Ports &ports, ControlSettings settings, SectionParsers parsers,
                         Hooks hooks)
    : m_core(std::make_unique<ControlCore>(ports, std::move(settings), std::move(parsers),
                                           std::move(hooks)))
{
}

ControlNode::~ControlNode() = default;

void ControlNode::start()
{
    m_core->start();
}

void ControlNode::beginStop()
{
    m_core->beginStop();
}

void ControlNode::recordPeerEvidence(const InstanceId &peer, Evidence evidence)
{
    m_core->recordPeerEvidence(peer, evidence);
}

void ControlNode::broadcastCrash(const CrashNotice &notice)
{
    m_core->broadcastCrash(notice);
}

bool ControlNode::isReady() const
{
    return m_core->isReady();
}

ControlStatus ControlNode::status() const
{
    return m_core->status();
}

void ControlNode::onPeerRequest(PeerRequest request, std::shared_ptr<PeerResponder> responder)
{
    if (const auto *exchange = std::get_if<ViewExchange>(&request))
        responder->reply(m_core->answer(*exchange));
    else
        responder->refuse();
}

} // namespace oleander
