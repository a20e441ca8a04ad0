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
    if (!m_completeAsOf)
        return std::nullopt;
    return m_timer.now() - *m_completeAsOf;
}

void RegistryFollower::restart()
{
    m_items.clear();
    m_firstPageRevision.reset();
    m_listStarted = m_timer.now();
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
    noteAnswer(answer.age);
    if (!m_firstPageRevision)
        m_firstPageRevision = answer.revision;
    std::ranges::move(answer.items, std::back_inserter(m_items));
    if (answer.isTruncated && !m_items.empty()) {
        readPage(m_items.back().key);
        return;
    }
    m_revision = *m_firstPageRevision;
    m_completeAsOf = answer.isShared ? m_timer.now() - answer.age : m_listStarted;
    m_listener.onItems(std::exchange(m_items, {}), m_revision);
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
    noteAnswer(answer.age);
    m_revision = std::max(m_revision, answer.revision);
    if (!answer.items.empty())
        m_listener.onChanges(answer.items, m_revision);
    noteContent(answer);
    if (!answer.isShared && answer.items.size() >= m_pace.fullBatch) {
        watch();
        return;
    }
    const Duration taken = m_timer.now() - m_callStarted;
    const Duration period = answer.isShared ? m_pace.leastSharedPeriod : m_pace.leastPeriod;
    later(std::max(Duration{}, period - taken), &RegistryFollower::watch);
}

void RegistryFollower::retryAfter(RegistryError error, bool fromScratch)
{
    ++m_failures;
    if (m_failures == 1 && error != RegistryError::HistoryGone) {
        m_log.record(EventId::PlatformUnreachable, {},
                     {{"prefix", m_prefix}, {"error", textOf(error)}});
    }
    if (error == RegistryError::HistoryGone && m_failures == 1) {
        // The history may be gone again when everything has been read, as often as it is read.
        const Duration sinceList = m_timer.now() - m_listStarted;
        later(std::max(Duration{}, m_pace.leastPeriod - sinceList), &RegistryFollower::restart);
        return;
    }
    const BackoffRules rules{m_pace.firstBackoff, m_pace.longestBackoff};
    later(backoffDelay(m_failures, rules, m_random.next()),
          fromScratch ? &RegistryFollower::restart : &RegistryFollower::watch);
}

void RegistryFollower::noteContent(const RegistryAnswer &answer)
{
    if (answer.isShared) {
        m_completeAsOf = m_timer.now() - answer.age;
        return;
    }
    // A full batch may leave changes out. Any other answer was given after the call began, and an
    // empty one not before the end of the wait.
    if (answer.items.size() < m_pace.fullBatch)
        m_completeAsOf = m_callStarted + (answer.items.empty() ? m_pace.watchWait : Duration{});
}

void RegistryFollower::noteAnswer(Duration age)
{
    const TimePoint heard = m_timer.now() - age;
    if (m_failures > 0) {
        const Duration outage = m_lastAnswer ? heard - *m_lastAnswer : Duration{};
        m_log.record(EventId::PlatformReachable, {},
                     {{"prefix", m_prefix}, {"outageMs", inMilliseconds(outage)}});
        m_listener.onReturned(outage);
    }
    m_failures = 0;
    m_lastAnswer = m_lastAnswer ? std::max(*m_lastAnswer, heard) : heard;
}

void RegistryFollower::later(Duration delay, void (RegistryFollower::*step)())
{
    m_wait = m_timer.callAfter(delay, [this, step](const TimerTick &) { (this->*step)(); });
}

} // namespace oleander::gateway
