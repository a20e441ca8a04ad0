#pragma once

#include <oleander/gateway/Registry.h>
#include <oleander/ports/EventLog.h>
#include <oleander/ports/RandomSource.h>
#include <oleander/ports/TimerService.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oleander::gateway {

/// How often a follower calls.
struct FollowPace
{
    /// Longest wait of one watch. Bounds how long a silent connection goes unnoticed.
    Duration watchWait = milliseconds(500);
    /// Least time between the starts of two watches, so that frequent changes come in batches. A
    /// change is known after this time at the latest, while the registry answers.
    Duration leastPeriod = milliseconds(1600);
    /// The same between questions to another instance, which answers with batches already.
    Duration leastSharedPeriod = milliseconds(100);
    /// A watch that brings this many changes may have left others out, and is followed at once.
    std::size_t fullBatch = 250;
    /// First and longest pause after a failed call.
    Duration firstBackoff = milliseconds(150);
    Duration longestBackoff = milliseconds(1500);
};

/// Told what a follower has read.
class RegistryListener
{
public:
    virtual ~RegistryListener() = default;

    /// All items of the prefix. Pages are read one after the other, so the items need not be of one
    /// moment; changes since the first page follow as changes.
    virtual void onItems(const std::vector<RegistryItem> &items, RegistryRevision revision) = 0;
    virtual void onChanges(const std::vector<RegistryItem> &changes, RegistryRevision revision) = 0;
    /// The registry answers again; it had not for `outage`.
    virtual void onReturned(Duration outage) = 0;
};

/// Keeps up with one prefix of the registry: reads it whole, then watches it, and starts over when
/// the history is gone. Reading goes on until the follower is destroyed.
class RegistryFollower
{
public:
    RegistryFollower(std::string prefix, FollowPace pace, RegistryReader &reader,
                     RegistryListener &listener, TimerService &timer, RandomSource &random,
                     EventLog &log);
    RegistryFollower(const RegistryFollower &) = delete;
    RegistryFollower &operator=(const RegistryFollower &) = delete;

    void start();

    /// How old the content is that the listener was told: the time since the registry, asked by
    /// this instance or by another, had no change beyond it. Nothing before the first content.
    [[nodiscard]] std::optional<Duration> age() const;

private:
    void readPage(const std::string &afterKey);
    void onPage(RegistryAnswer answer);
    void watch();
    void onWatched(const RegistryAnswer &answer);
    void retryAfter(RegistryError error, bool fromScratch);
    void noteContent(const RegistryAnswer &answer);
    void noteAnswer(Duration age);
    void later(Duration delay, void (RegistryFollower::*step)());
    void restart();

    std::string m_prefix;
    FollowPace m_pace;
    RegistryReader &m_reader;
    RegistryListener &m_listener;
    TimerService &m_timer;
    RandomSource &m_random;
    EventLog &m_log;
    std::vector<RegistryItem> m_items;
    std::optional<RegistryRevision> m_firstPageRevision;
    RegistryRevision m_revision = 0;
    int m_failures = 0;
    TimePoint m_callStarted{};
    TimePoint m_listStarted{};
    std::optional<TimePoint> m_lastAnswer;
    /// The listener knows all changes up to this time.
    std::optional<TimePoint> m_completeAsOf;
    Subscription m_wait;
    std::shared_ptr<int> m_life = std::make_shared<int>();
};

} // namespace oleander::gateway
