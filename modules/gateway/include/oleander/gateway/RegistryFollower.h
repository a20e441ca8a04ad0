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

/// Timing of a follower's calls.
struct FollowerTiming
{
    /// Maximum duration of one watch. Limits how long an unresponsive connection remains
    /// undetected.
    Duration watchWait = milliseconds(500);
    /// Minimum time between the starts of two watches, so that frequent changes arrive in batches.
    /// Changes are received after this time at the latest while the registry answers.
    Duration minimumPeriod = milliseconds(1600);
    /// Minimum time between watches answered by another instance, whose answers are already
    /// batched.
    Duration minimumPeerPeriod = milliseconds(100);
    /// A watch that returns this many changes may have omitted others, so the next one starts
    /// immediately.
    std::size_t fullBatchSize = 250;
    /// Initial and maximum delay after a failed call.
    Duration initialBackoff = milliseconds(150);
    Duration maximumBackoff = milliseconds(1500);
};

/// Receives the registry content read by a follower.
class RegistryListener
{
public:
    virtual ~RegistryListener() = default;

    /// Called with all items of the prefix. Pages are read one after another, so the items may be
    /// of different positions; changes since the first page follow through onChanges().
    virtual void onItems(const std::vector<RegistryItem> &items, const ListedSpan &span) = 0;
    virtual void onChanges(const std::vector<RegistryItem> &changes, RegistryPosition position) = 0;
    /// Called when the registry answers again after an outage of this length.
    virtual void onReconnected(Duration outage) = 0;
};

/// Follows one prefix of the registry: lists all items, then watches for changes, and lists again
/// when the history is no longer available or the registry was restored from a copy. Runs until the
/// follower is destroyed.
class RegistryFollower
{
public:
    RegistryFollower(std::string prefix, FollowerTiming timing, RegistryReader &reader,
                     RegistryListener &listener, TimerService &timer, RandomSource &random,
                     EventLog &log);
    RegistryFollower(const RegistryFollower &) = delete;
    RegistryFollower &operator=(const RegistryFollower &) = delete;

    void start();

    /// Age of the content passed to the listener: time since this or another instance last
    /// confirmed with the registry that there were no further changes. Nothing before the first
    /// content.
    [[nodiscard]] std::optional<Duration> age() const;
    /// Number of watches whose changes were too large for one answer.
    [[nodiscard]] std::uint64_t oversizedWatches() const { return m_oversizedWatches; }

private:
    void readPage(const std::string &afterKey);
    void onPage(RegistryAnswer answer);
    void watch();
    void onWatched(const RegistryAnswer &answer);
    void retryAfter(RegistryError error, bool isFullRead);
    void updateContentTime(const RegistryAnswer &answer);
    void onSuccess(const RegistryAnswer &answer);
    void noteRestored(const RegistryPosition &position) const;
    void schedule(Duration delay, void (RegistryFollower::*step)());
    void restart();

    std::string m_prefix;
    FollowerTiming m_timing;
    RegistryReader &m_reader;
    RegistryListener &m_listener;
    TimerService &m_timer;
    RandomSource &m_random;
    EventLog &m_log;
    std::vector<RegistryItem> m_items;
    std::optional<RegistryPosition> m_firstPagePosition;
    RegistryPosition m_position;
    int m_failures = 0;
    std::uint64_t m_oversizedWatches = 0;
    TimePoint m_callStarted{};
    TimePoint m_listStarted{};
    std::optional<TimePoint> m_lastSuccess;
    /// All changes up to this time were passed to the listener.
    std::optional<TimePoint> m_completeAsOf;
    Subscription m_nextStep;
    std::shared_ptr<int> m_lifetime = std::make_shared<int>();
};

} // namespace oleander::gateway
