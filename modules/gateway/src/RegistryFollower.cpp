#include <oleander/decisions/control/Backoff.h>
#include <oleander/gateway/RegistryFollower.h>

#include <algorithm>
#include <utility>

namespace oleander::gateway {

namespace {

std::string_view textOf(RegistryError error)
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
    }
    return "unknown";
}

} // namespace

RegistryFollower::RegistryFollower(std::string prefix, FollowPace pace, RegistryReader &reader,
                                   RegistryListener &listener, TimerService &timer,
                                   RandomSource &random, EventLog &log)
    : m_prefix(std::move(prefix))
    , m_pace(pace)
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
    if (!m_lastAnswer)
        return std::nullopt;
    return m_timer.now() - *m_lastAnswer;
}

void RegistryFollower::restart()
{
    m_items.clear();
    m_firstPageRevision.reset();
    readPage({});
}

void RegistryFollower::readPage(const std::string &afterKey)
{
    m_callStarted = m_timer.now();
    m_reader.list(m_prefix, afterKey, [this, life = std::weak_ptr(m_life)](RegistryAnswer answer) {
        if (!life.expired())
            onPage(std::move(answer));
    });
}

void RegistryFollower::onPage(RegistryAnswer answer)
{
    if (answer.error != RegistryError::None) {
        retryAfter(answer.error, true);
        return;
    }
    noteAnswer();
    if (!m_firstPageRevision)
        m_firstPageRevision = answer.revision;
    std::ranges::move(answer.items, std::back_inserter(m_items));
    if (answer.isTruncated && !m_items.empty()) {
        readPage(m_items.back().key);
        return;
    }
    m_revision = *m_firstPageRevision;
    m_listener.onItems(std::exchange(m_items, {}));
    watch();
}

void RegistryFollower::watch()
{
    m_callStarted = m_timer.now();
    m_reader.watch(m_prefix, m_revision, m_pace.watchWait,
                   [this, life = std::weak_ptr(m_life)](const RegistryAnswer &answer) {
                       if (!life.expired())
                           onWatched(answer);
                   });
}

void RegistryFollower::onWatched(const RegistryAnswer &answer)
{
    if (answer.error != RegistryError::None) {
        retryAfter(answer.error, answer.error == RegistryError::HistoryGone);
        return;
    }
    noteAnswer();
    m_revision = std::max(m_revision, answer.revision);
    if (!answer.items.empty())
        m_listener.onChanges(answer.items);
    if (answer.items.size() >= m_pace.fullBatch) {
        watch();
        return;
    }
    const Duration taken = m_timer.now() - m_callStarted;
    later(std::max(Duration{}, m_pace.leastPeriod - taken), &RegistryFollower::watch);
}

void RegistryFollower::retryAfter(RegistryError error, bool fromScratch)
{
    ++m_failures;
    if (m_failures == 1 && error != RegistryError::HistoryGone) {
        m_log.record(EventId::PlatformUnreachable, {},
                     {{"prefix", m_prefix}, {"error", textOf(error)}});
    }
    if (error == RegistryError::HistoryGone && m_failures == 1) {
        restart();
        return;
    }
    const BackoffRules rules{m_pace.firstBackoff, m_pace.longestBackoff};
    later(backoffDelay(m_failures, rules, m_random.next()),
          fromScratch ? &RegistryFollower::restart : &RegistryFollower::watch);
}

void RegistryFollower::noteAnswer()
{
    const TimePoint now = m_timer.now();
    if (m_failures > 0) {
        const Duration outage = m_lastAnswer ? now - *m_lastAnswer : Duration{};
        m_log.record(EventId::PlatformReachable, {},
                     {{"prefix", m_prefix}, {"outageMs", inMilliseconds(outage)}});
        m_listener.onReturned(outage);
    }
    m_failures = 0;
    m_lastAnswer = now;
}

void RegistryFollower::later(Duration delay, void (RegistryFollower::*step)())
{
    m_wait = m_timer.callAfter(delay, [this, step](const TimerTick &) { (this->*step)(); });
}

} // namespace oleander::gateway
