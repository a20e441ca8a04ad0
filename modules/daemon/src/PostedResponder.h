#pragma once

#include <oleander/adapters/concurrency/EventLoop.h>
#include <oleander/ports/PeerNetwork.h>

#include <functional>
#include <memory>

namespace oleander {

/// Stands on a worker for the responder of a request that arrived at the control thread. The real
/// one is touched and destroyed on the control thread only.
class PostedResponder final : public PeerResponder
{
public:
    PostedResponder(EventLoop &worker, EventLoop &control, std::shared_ptr<PeerResponder> real);
    ~PostedResponder() override;

    void reply(PeerReply reply) override;
    void refuse() override;
    void onCancel(std::function<void()> callback) override;

private:
    EventLoop &m_worker;
    EventLoop &m_control;
    std::shared_ptr<PeerResponder> m_real;
};

} // namespace oleander
