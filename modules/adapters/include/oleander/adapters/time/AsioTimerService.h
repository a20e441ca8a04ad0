#pragma once

#include <oleander/ports/TimerService.h>

#include <memory>

namespace boost::asio {
class io_context;
}

namespace oleander {

/// Timer service of one thread, based on the steady clock.
///
/// All subscriptions share one Asio timer and one ordered queue, so that adding or cancelling a
/// timer costs a tree operation, and a system call only if the timer becomes the next one due.
/// Timers with the same due time fire in the order in which they were added.
///
/// Not thread-safe: all functions must be called on the thread that runs the context, or before it
/// runs. Subscriptions may outlive the service; they have no effect after that.
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

    /// A negative delay is treated as zero.
    Subscription callAfter(Duration delay, TimerCallback callback) override;
    /// The period must be positive.
    Subscription callEvery(Duration period, TimerCallback callback) override;
    void post(std::function<void()> task) override;

private:
    class Queue;
    std::shared_ptr<Queue> m_queue;
};

} // namespace oleander
