#include "concurrency/AsioHeaders.h"

#include <oleander/adapters/time/AsioTimerService.h>
#include <oleander/adapters/time/SteadyTime.h>

#include <algorithm>
#include <cassert>
#include <map>

namespace oleander {

namespace {

/// Longer delays are reduced to this value, so that adding a delay to a time can not overflow.
constexpr Duration longestDelay = std::chrono::hours(24 * 365);

} // namespace

/// Ordered queue of pending timers, with the Asio timer that waits for the earliest one.
class AsioTimerService::Queue : public std::enable_shared_from_this<Queue>
{
public:
    struct Entry
    {
        TimePoint due;
        std::uint64_t sequence = 0;
        /// Zero for one-shot timers.
        Duration period{};
        TimerCallback callback;
        bool isActive = true;
        bool isFiring = false;
    };

    explicit Queue(boost::asio::io_context &context)
        : m_context(context)
        , m_timer(context)
    {
    }

    Subscription add(Duration delay, Duration period, TimerCallback callback)
    {
        auto entry = std::make_shared<Entry>();
        entry->due = steadyNow() + std::clamp(delay, Duration::zero(), longestDelay);
        entry->period = period;
        entry->callback = std::move(callback);
        insert(entry);
        return Subscription([queue = weak_from_this(), entry] {
            if (const auto self = queue.lock())
                self->remove(*entry);
        });
    }

    void post(std::function<void()> task) { boost::asio::post(m_context, std::move(task)); }

    /// Called when the service is destroyed; no timer fires after this.
    void close()
    {
        m_isClosed = true;
        m_timer.cancel();
        m_pending.clear();
    }

private:
    using Key = std::pair<TimePoint, std::uint64_t>;

    static Key keyOf(const Entry &entry) { return {entry.due, entry.sequence}; }

    void insert(const std::shared_ptr<Entry> &entry)
    {
        entry->sequence = ++m_lastSequence;
        m_pending.emplace(keyOf(*entry), entry);
        if (!m_isFiring)
            arm();
    }

    void remove(Entry &entry)
    {
        entry.isActive = false;
        m_pending.erase(keyOf(entry));
        if (!entry.isFiring)
            entry.callback = nullptr;
    }

    /// Starts the Asio timer for the earliest due time, unless it already waits for that time or an
    /// earlier one.
    void arm()
    {
        if (m_isClosed || m_pending.empty())
            return;
        const TimePoint first = m_pending.begin()->first.first;
        if (m_isArmed && m_armedFor <= first)
            return;
        m_isArmed = true;
        m_armedFor = first;
        m_timer.expires_at(std::chrono::steady_clock::time_point(first.time_since_epoch()));
        m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
            const auto self = weak.lock();
            if (self && !error)
                self->onExpired();
        });
    }

    void onExpired()
    {
        m_isArmed = false;
        m_isFiring = true;
        // Timers added by these callbacks fire in the next round, so that sockets are handled in
        // between.
        const TimePoint last = steadyNow();
        while (!m_isClosed && !m_pending.empty() && m_pending.begin()->first.first <= last)
            fireFirst();
        m_isFiring = false;
        arm();
    }

    void fireFirst()
    {
        const std::shared_ptr<Entry> entry = m_pending.begin()->second;
        m_pending.erase(m_pending.begin());
        entry->isFiring = true;
        const TimerTick tick{entry->due, steadyNow()};
        entry->callback(tick);
        entry->isFiring = false;
        const bool isRepeated = entry->isActive && entry->period > Duration::zero() && !m_isClosed;
        if (!isRepeated) {
            entry->callback = nullptr;
            return;
        }
        entry->due = std::max(entry->due, tick.fired - entry->period) + entry->period;
        insert(entry);
    }

    boost::asio::io_context &m_context;
    boost::asio::steady_timer m_timer;
    std::map<Key, std::shared_ptr<Entry>> m_pending;
    std::uint64_t m_lastSequence = 0;
    TimePoint m_armedFor;
    bool m_isArmed = false;
    bool m_isFiring = false;
    bool m_isClosed = false;
};

AsioTimerService::AsioTimerService(boost::asio::io_context &context)
    : m_queue(std::make_shared<Queue>(context))
{
}

AsioTimerService::~AsioTimerService()
{
    m_queue->close();
}

TimePoint AsioTimerService::now() const
{
    return steadyNow();
}

WallTime AsioTimerService::wallNow() const
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return WallTime(std::chrono::floor<Duration>(sinceEpoch));
}

Subscription AsioTimerService::callAfter(Duration delay, TimerCallback callback)
{
    return m_queue->add(delay, Duration::zero(), std::move(callback));
}

Subscription AsioTimerService::callEvery(Duration period, TimerCallback callback)
{
    assert(period > Duration::zero()); // A period of zero would block all other events.
    return m_queue->add(period, period, std::move(callback));
}

void AsioTimerService::post(std::function<void()> task)
{
    m_queue->post(std::move(task));
}

} // namespace oleander
