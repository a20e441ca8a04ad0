#include "PostedResponder.h"

namespace oleander {

PostedResponder::PostedResponder(EventLoop &worker, EventLoop &control,
                                 std::shared_ptr<PeerResponder> real)
    : m_worker(worker)
    , m_control(control)
    , m_real(std::move(real))
{
}

PostedResponder::~PostedResponder()
{
    m_control.post([real = std::move(m_real)] {});
}

void PostedResponder::reply(PeerReply reply)
{
    m_control.post(
        [real = m_real, reply = std::move(reply)]() mutable { real->reply(std::move(reply)); });
}

void PostedResponder::refuse()
{
    m_control.post([real = m_real] { real->refuse(); });
}

void PostedResponder::onCancel(std::function<void()> callback)
{
    m_control.post([real = m_real, worker = &m_worker, callback = std::move(callback)] {
        real->onCancel([worker, callback] { worker->post(callback); });
    });
}

} // namespace oleander
