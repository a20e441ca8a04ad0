#pragma once

#include <oleander/ports/TimerService.h>

#include <memory>

namespace boost::asio {
class io_context;
}

namespace oleander {

/// The timer service of one thread, over the steady clock.
///
/// All subscriptions share one Asio timer and one ordered queue, so that setting and ending a
/// timer costs a tree operation and no system call unless it becomes the next one due. Timers with
/// the same due time fire in the order in which they were set.
///
/// Not safe for use from several threads: everything is to be called on the thread that runs the
/// context, or before it runs. Subscriptions may outlive the service; they then do nothing.
class AsioTimerService final : public TimerService
{
public:
    /// The context must outlive the service.
    explicit AsioTimerService(boost::asio::io_context &context);
    AsioTimerService(const AsioTimerService &) = delete;
    AsioTimerService &operator=(const AsioTimerService &) = delete;
    ~AsioTimerService() override;

    [[nodiscard]] TimePoint now() const override;
    [[nodiscard]] WallTime wallNow() const override;

    /// A negative delay counts as none.
    Subscription callAfter(Duration delay, TimerCallback callback) override;
    /// The period must be positive.
    Subscription callEvery(Duration period, TimerCallback callback) override;
    void post(std::function<void()> task) override;

private:
    class Queue;
    std::shared_ptr<Queue> m_queue;
};

} // namespace oleander
