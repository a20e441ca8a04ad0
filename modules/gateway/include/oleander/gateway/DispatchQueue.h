#pragma once

#include <oleander/decisions/request/DispatchOrder.h>
#include <oleander/ports/TimerService.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace oleander::gateway {

class DispatchQueue;

/// The place of a request in a queue, which it leaves when the ticket is destroyed.
class DispatchTicket
{
public:
    DispatchTicket() = default;
    DispatchTicket(std::weak_ptr<DispatchQueue> queue, std::uint64_t id)
        : m_queue(std::move(queue))
        , m_id(id)
    {
    }
    DispatchTicket(DispatchTicket &&other) noexcept { swap(other); }
    DispatchTicket &operator=(DispatchTicket &&other) noexcept
    {
        DispatchTicket taken(std::move(other));
        swap(taken);
        return *this;
    }
    DispatchTicket(const DispatchTicket &) = delete;
    DispatchTicket &operator=(const DispatchTicket &) = delete;
    ~DispatchTicket();

    [[nodiscard]] bool isWaiting() const { return m_id != 0; }

private:
    void swap(DispatchTicket &other) noexcept
    {
        std::swap(m_queue, other.m_queue);
        std::swap(m_id, other.m_id);
    }

    std::weak_ptr<DispatchQueue> m_queue;
    std::uint64_t m_id = 0;
};

/// The requests to one service that wait at this instance for room at its servers.
///
/// Servers execute requests in the order of arrival, so a request of a high priority waits behind
/// everything that was sent before it. Requests of a lower priority than the highest in use are
/// therefore sent only while few are at the server, and wait here otherwise.
class DispatchQueue : public std::enable_shared_from_this<DispatchQueue>
{
public:
    /// Sends the request if a server has room, or regardless of room. Returns false if none has;
    /// the request then keeps its place.
    using Send = std::function<bool(bool isRegardlessOfRoom)>;

    /// Holds nothing back unless `isEnabled`.
    DispatchQueue(TimerService &timer, bool isEnabled)
        : m_timer(timer)
        , m_isEnabled(isEnabled)
    {
    }
    DispatchQueue(const DispatchQueue &) = delete;
    DispatchQueue &operator=(const DispatchQueue &) = delete;

    /// Called for each request, before it is sent. `objective` is the time that its route permits.
    void noteRequest(const WaitingWork &work, Duration objective);
    /// The wait that the higher priorities in use tolerate, or nothing if none is in use, so that
    /// requests of this priority are sent at once.
    [[nodiscard]] std::optional<Duration> toleratedByHigher(int priority) const;
    /// Whether a lower priority is in use, whose requests may occupy the servers.
    [[nodiscard]] bool isLowerInUse(int priority) const;
    /// Whether a request waits that is to be sent before `work`.
    [[nodiscard]] bool isAnyBefore(const WaitingWork &work) const;
    /// `isSelective` tells that the request must avoid some servers, so that others behind it may
    /// have room when it has none.
    [[nodiscard]] DispatchTicket add(const WaitingWork &work, bool isSelective, Send send);
    /// Called when a request of this priority is sent.
    void noteSent(int priority);
    /// Called when a server may have more room than before.
    void onRoomChanged();

    /// Expected time until `work` would be sent, from the rate at which waiting requests were sent
    /// lately; zero if nothing waits.
    [[nodiscard]] Duration expectedWait(const WaitingWork &work) const;
    [[nodiscard]] std::size_t size() const { return m_entries.size(); }
    /// Number of requests that have waited so far.
    [[nodiscard]] std::uint64_t waited() const { return m_lastId; }

private:
    friend class DispatchTicket;

    struct Entry
    {
        std::uint64_t id = 0;
        WaitingWork work;
        bool isSelective = false;
        Send send;
    };
    /// What is known of the requests of one priority.
    struct PriorityUse
    {
        TimePoint lastRequest{};
        Duration tolerated = Duration::max();
        int waiting = 0;
        /// Requests of higher priorities that were sent while requests of this one waited, since
        /// one of these was sent.
        int passedBy = 0;
    };

    void remove(std::uint64_t id);
    void scheduleSending();
    void sendWaiting();
    /// Adds the time since the last call to the measured rate.
    void measureRate();
    /// The first entry that is not in `skipped` and has the priority, if one is given.
    [[nodiscard]] const Entry *first(const std::vector<std::uint64_t> &skipped,
                                     std::optional<int> priority = {}) const;
    void sendOverdue();
    /// Returns false if the request was not sent.
    bool trySend(std::uint64_t id, bool isRegardlessOfRoom);

    TimerService &m_timer;
    bool m_isEnabled;
    std::vector<Entry> m_entries;
    std::map<int, PriorityUse> m_priorities;
    std::uint64_t m_lastId = 0;
    /// Requests that were sent from the queue, and the time in which requests waited, in seconds;
    /// both lose weight exponentially.
    double m_recentlySent = 0;
    double m_recentlyWaiting = 0;
    TimePoint m_measuredAt{};
    bool m_isSendingScheduled = false;
    /// Replies of other senders' requests are not seen here, and reports lose their meaning with
    /// time, so the room is also checked periodically.
    Subscription m_checkTimer;
};

} // namespace oleander::gateway
