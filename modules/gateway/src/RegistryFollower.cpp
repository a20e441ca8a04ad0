#include <oleander/decisions/control/Backoff.h>
#include <oleander/gateway/RegistryFollower.h>

#include <algorithm>
#include <utility>

namespace oleander::gateway {

namespace {

std::string_view nameOf(RegistryError error)
{
    switch (error) {
    case RegistryError::None:
        return "none";
    case RegistryError::Unreachable:
        return "unreachable";
    case RegistryError::Refused:
        return "refused";
    case RegistryError::HistoryGone:
        return "historyGone";
    case RegistryError::Malformed:
        return "malformed";
    case RegistryError::TooLarge:
        return "tooLarge";
    }
    return "unknown";
}

} // namespace

RegistryFollower::RegistryFollower(std::string prefix, FollowerTiming timing,
                                   RegistryReader &reader, RegistryListener &listener,
                                   TimerService &timer, RandomSource &random, EventLog &log)
    : m_prefix(std::move(prefix))
    , m_timing(timing)
    , m_reader(reader)
    , m_listener(listener)
    , m_timer(timer)
    , m_random(random)
    , m_log(log)
{
}

void RegistryFollower::start()
{
    restart();
}

std::optional<Duration> RegistryFollower::age() const
{
    if (!m_completeAsOf)
        return std::nullopt;
    return m_timer.now() - *m_completeAsOf;
}

void RegistryFollower::restart()
{
    m_items.clear();
    m_firstPagePosition.reset();
    m_listStarted = m_timer.now();
    readPage({});
}

void RegistryFollower::readPage(const std::string &afterKey)
{
    m_callStarted = m_timer.now();
    m_reader.list(m_prefix, afterKey,
                  [this, lifetime = std::weak_ptr(m_lifetime)](RegistryAnswer answer) {
                      if (!lifetime.expired())
                          onPage(std::move(answer));
                  });
}

void RegistryFollower::onPage(RegistryAnswer answer)
{
    if (answer.error != RegistryError::None) {
        retryAfter(answer.error, true);
        return;
    }
    onSuccess(answer);
    if (!m_firstPagePosition)
        m_firstPagePosition = answer.position;
    if (!isSameHistory(answer.position, *m_firstPagePosition)) {
        restart();
        return;
    }
    std::ranges::move(answer.items, std::back_inserter(m_items));
    if (answer.isTruncated && !m_items.empty()) {
        readPage(m_items.back().key);
        return;
    }
    noteRestored(*m_firstPagePosition);
    m_position = *m_firstPagePosition;
    m_log.record(EventId::RegistryListed, {},
                 {{"prefix", m_prefix},
                  {"items", m_items.size()},
                  {"firstRevision", m_position.revision},
                  {"lastRevision", answer.position.revision}});
    m_completeAsOf = answer.isFromPeer ? m_timer.now() - answer.age : m_listStarted;
    m_listener.onItems(std::exchange(m_items, {}), {m_position, answer.position});
    watch();
}

void RegistryFollower::watch()
{
    m_callStarted = m_timer.now();
    m_reader.watch(m_prefix, m_position, m_timing.watchWait,
                   [this, lifetime = std::weak_ptr(m_lifetime)](const RegistryAnswer &answer) {
                       if (!lifetime.expired())
                           onWatched(answer);
                   });
}

void RegistryFollower::onWatched(const RegistryAnswer &answer)
{
    if (answer.error == RegistryError::TooLarge) {
        // The same watch would return even more. The content, in pages, is not larger than ever.
        ++m_oversizedWatches;
        m_log.record(EventId::RegistryAnswerTooLarge, {},
                     {{"prefix", m_prefix}, {"after", m_position.revision}});
        restart();
        return;
    }
    if (answer.error != RegistryError::None) {
        retryAfter(answer.error, answer.error == RegistryError::HistoryGone);
        return;
    }
    onSuccess(answer);
    if (!isSameHistory(answer.position, m_position)) {
        restart();
        return;
    }
    m_position = advanced(m_position, answer.position);
    if (!answer.items.empty())
        m_listener.onChanges(answer.items, m_position);
    updateContentTime(answer);
    if (!answer.isFromPeer && answer.items.size() >= m_timing.fullBatchSize) {
        watch();
        return;
    }
    const Duration elapsed = m_timer.now() - m_callStarted;
    const Duration period = answer.isFromPeer ? m_timing.minimumPeerPeriod : m_timing.minimumPeriod;
    schedule(std::max(Duration{}, period - elapsed), &RegistryFollower::watch);
}

void RegistryFollower::noteRestored(const RegistryPosition &position) const
{
    if (!m_completeAsOf || isSameHistory(position, m_position))
        return;
    m_log.record(EventId::RegistryRestored, {},
                 {{"prefix", m_prefix},
                  {"epoch", position.epoch},
                  {"revision", position.revision},
                  {"heldEpoch", m_position.epoch},
                  {"heldRevision", m_position.revision}});
}

void RegistryFollower::retryAfter(RegistryError error, bool isFullRead)
{
    ++m_failures;
    if (m_failures == 1 && error != RegistryError::HistoryGone) {
        m_log.record(EventId::PlatformUnreachable, {},
                     {{"prefix", m_prefix}, {"error", nameOf(error)}});
    }
    if (error == RegistryError::HistoryGone && m_failures == 1) {
        // Limits the rate of full reads, because the history may be unavailable again after each
        // one.
        const Duration sinceList = m_timer.now() - m_listStarted;
        schedule(std::max(Duration{}, m_timing.minimumPeriod - sinceList),
                 &RegistryFollower::restart);
        return;
    }
    const BackoffRules rules{m_timing.initialBackoff, m_timing.maximumBackoff};
    schedule(backoffDelay(m_failures, rules, m_random.next()),
             isFullRead ? &RegistryFollower::restart : &RegistryFollower::watch);
}

void RegistryFollower::updateContentTime(const RegistryAnswer &answer)
{
    if (answer.isFromPeer) {
        m_completeAsOf = m_timer.now() - answer.age;
        return;
    }
    // A full batch may omit changes. Any other answer was given after the call began, and an empty
    // one not before the wait ended.
    if (answer.items.size() < m_timing.fullBatchSize)
        m_completeAsOf = m_callStarted + (answer.items.empty() ? m_timing.watchWait : Duration{});
}

void RegistryFollower::onSuccess(const RegistryAnswer &answer)
{
    const TimePoint confirmedAt = m_timer.now() - answer.age;
    if (m_failures > 0) {
        const Duration outage = m_lastSuccess ? confirmedAt - *m_lastSuccess : Duration{};
        m_log.record(EventId::PlatformReachable, {},
                     {{"prefix", m_prefix}, {"outageMs", inMilliseconds(outage)}});
        m_listener.onReconnected(outage);
    }
    m_failures = 0;
    m_lastSuccess = m_lastSuccess ? std::max(*m_lastSuccess, confirmedAt) : confirmedAt;
}

void RegistryFollower::schedule(Duration delay, void (RegistryFollower::*step)())
{
    m_nextStep = m_timer.callAfter(delay, [this, step](const TimerTick &) { (this->*step)(); });
}

} // namespace oleander::gateway
