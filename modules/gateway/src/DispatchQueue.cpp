#include <oleander/gateway/DispatchQueue.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace oleander::gateway {

namespace {

/// A priority is in use for this long after its last request. A coordinator gets several requests a
/// second of each kind that is in regular use.
constexpr Duration priorityUseTime = seconds(10);
/// Period of the check for room. Below the time in which a server executes typical work, so that
/// slots are not idle for long.
constexpr Duration checkPeriod = milliseconds(8);
/// Requests that are tried in one pass although servers had no room for one that avoids some of
/// them.
constexpr std::size_t maximumSkipped = 4;
/// Time constant of the rate at which requests are sent from the queue. Below the time that work
/// waits in an overload, and above that between two replies of a server.
constexpr double rateTimeConstant = 0.25;

double inSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

DispatchTicket::~DispatchTicket()
{
    if (const auto queue = m_queue.lock(); queue && m_id != 0)
        queue->remove(m_id);
}

void DispatchQueue::noteRequest(const WaitingWork &work, Duration objective)
{
    const TimePoint now = m_timer.now();
    PriorityUse &use = m_priorities[work.priority];
    const Duration tolerated = toleratedWait(objective, work.usualExecution);
    const bool isStale = now - use.lastRequest > priorityUseTime;
    // The most demanding of several routes counts; the bound grows again slowly when its requests
    // end or take less time.
    constexpr int growthDivisor = 16;
    if (isStale || tolerated < use.tolerated)
        use.tolerated = tolerated;
    else
        use.tolerated += (tolerated - use.tolerated) / growthDivisor;
    use.lastRequest = now;
}

std::optional<Duration> DispatchQueue::toleratedByHigher(int priority) const
{
    if (!m_isEnabled)
        return std::nullopt;
    const TimePoint now = m_timer.now();
    std::optional<Duration> tolerated;
    for (const auto &[higher, use] : m_priorities) {
        if (higher >= priority)
            break;
        if (use.tolerated != Duration::max() && now - use.lastRequest <= priorityUseTime)
            tolerated = std::min(tolerated.value_or(use.tolerated), use.tolerated);
    }
    return tolerated;
}

bool DispatchQueue::isLowerInUse(int priority) const
{
    const TimePoint now = m_timer.now();
    return m_isEnabled && std::ranges::any_of(m_priorities, [&](const auto &entry) {
               return entry.first > priority && now - entry.second.lastRequest <= priorityUseTime;
           });
}

bool DispatchQueue::isAnyBefore(const WaitingWork &work) const
{
    const TimePoint now = m_timer.now();
    return std::ranges::any_of(
        m_entries, [&](const Entry &entry) { return isSentBefore(entry.work, work, now); });
}

DispatchTicket DispatchQueue::add(const WaitingWork &work, bool isSelective, Send send)
{
    measureRate();
    m_entries.push_back({++m_lastId, work, isSelective, std::move(send)});
    ++m_priorities[work.priority].waiting;
    if (m_entries.size() == 1)
        m_checkTimer =
            m_timer.callEvery(checkPeriod, [this](const TimerTick &) { scheduleSending(); });
    return {weak_from_this(), m_lastId};
}

Duration DispatchQueue::expectedWait(const WaitingWork &work) const
{
    if (m_entries.empty())
        return {};
    const TimePoint now = m_timer.now();
    const auto ahead = std::ranges::count_if(
        m_entries, [&](const Entry &entry) { return !isSentBefore(work, entry.work, now); });
    // As if one more request were sent now. Just after requests have begun to wait little is known
    // of the rate, and the expected wait is short.
    const double waiting = m_recentlyWaiting + inSeconds(now - m_measuredAt);
    const double wait = static_cast<double>(ahead + 1) * waiting / (m_recentlySent + 1);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait));
}

void DispatchQueue::measureRate()
{
    const TimePoint now = m_timer.now();
    // Only the time in which requests waited counts.
    if (!m_entries.empty()) {
        const double elapsed = inSeconds(now - m_measuredAt);
        const double kept = std::exp(-elapsed / rateTimeConstant);
        m_recentlySent *= kept;
        m_recentlyWaiting = m_recentlyWaiting * kept + elapsed;
    }
    m_measuredAt = now;
}

void DispatchQueue::noteSent(int priority)
{
    bool isAnyOverdue = false;
    for (auto &[lower, use] : m_priorities) {
        if (lower == priority)
            use.passedBy = 0;
        if (lower > priority && use.waiting > 0)
            isAnyOverdue = ++use.passedBy >= sendsPerLowerPriority || isAnyOverdue;
    }
    if (isAnyOverdue)
        scheduleSending();
}

void DispatchQueue::onRoomChanged()
{
    scheduleSending();
}

void DispatchQueue::remove(std::uint64_t id)
{
    const auto found = std::ranges::find(m_entries, id, &Entry::id);
    if (found == m_entries.end())
        return;
    PriorityUse &use = m_priorities[found->work.priority];
    if (--use.waiting == 0)
        use.passedBy = 0;
    measureRate();
    m_entries.erase(found);
    if (m_entries.empty())
        m_checkTimer.reset();
}

void DispatchQueue::scheduleSending()
{
    if (m_entries.empty() || std::exchange(m_isSendingScheduled, true))
        return;
    // Sending begins after the current event, since it may end calls that are being handled.
    m_timer.post([weak = weak_from_this()] {
        const auto queue = weak.lock();
        if (!queue)
            return;
        queue->m_isSendingScheduled = false;
        queue->sendWaiting();
    });
}

const DispatchQueue::Entry *DispatchQueue::first(const std::vector<std::uint64_t> &skipped,
                                                 std::optional<int> priority) const
{
    const TimePoint now = m_timer.now();
    const Entry *best = nullptr;
    for (const Entry &entry : m_entries) {
        if ((priority && entry.work.priority != *priority)
            || std::ranges::find(skipped, entry.id) != skipped.end())
            continue;
        if (!best || isSentBefore(entry.work, best->work, now))
            best = &entry;
    }
    return best;
}

void DispatchQueue::sendWaiting()
{
    sendOverdue();
    std::vector<std::uint64_t> skipped;
    while (const Entry *next = first(skipped)) {
        const std::uint64_t id = next->id;
        const bool isSelective = next->isSelective;
        if (trySend(id, false))
            continue;
        skipped.push_back(id);
        if (!isSelective || skipped.size() > maximumSkipped)
            return;
    }
}

void DispatchQueue::sendOverdue()
{
    std::vector<int> overdue;
    for (const auto &[priority, use] : m_priorities) {
        if (use.waiting > 0 && use.passedBy >= sendsPerLowerPriority)
            overdue.push_back(priority);
    }
    for (const int priority : overdue) {
        m_priorities[priority].passedBy = 0;
        if (const Entry *next = first({}, priority))
            trySend(next->id, true);
    }
}

bool DispatchQueue::trySend(std::uint64_t id, bool isRegardlessOfRoom)
{
    const auto found = std::ranges::find(m_entries, id, &Entry::id);
    // The entry may be removed during the call.
    const Send send = found->send;
    measureRate();
    if (!send(isRegardlessOfRoom))
        return false;
    remove(id);
    m_recentlySent += 1;
    return true;
}

} // namespace oleander::gateway
