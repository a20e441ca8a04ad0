#pragma once

#include <oleander/node/ControlSettings.h>
#include <oleander/node/ControlStatus.h>
#include <oleander/ports/EventLog.h>
#include <oleander/ports/PlatformReader.h>
#include <oleander/ports/RandomSource.h>
#include <oleander/ports/TimerService.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace oleander {

/// Result of processing a value from the platform.
enum class ValueResult {
    /// The value was activated, or refused as invalid. In both cases its version counts as seen.
    Seen,
    /// The version was not above the one seen before. The next call is delayed as after a failure.
    Stale,
};

/// Reads and watches the platform keys that are assigned to this daemon.
///
/// At most one watch call per key is active. After failures, calls are delayed by increasing
/// back-off times with jitter. Calls for the same key keep a minimum distance, whatever the
/// platform answers.
class PlatformWatcher
{
public:
    /// Interfaces that the watcher uses; all must outlive it.
    struct Ports
    {
        TimerService &timers;
        PlatformReader &platform;
        RandomSource &random;
        EventLog &events;
    };
    using ValueHandler = std::function<ValueResult(const std::string &name, PlatformValue value)>;
    using VersionSource = std::function<SectionVersion(const std::string &name)>;

    /// `seen` returns the version of a key that was seen last; a watch waits for a higher one.
    PlatformWatcher(Ports ports, const PlatformRules &rules, ControlCounters &counters,
                    ValueHandler onValue, VersionSource seen);

    // Reading
    /// Watches exactly these keys from now on; each call waits up to the given time. Active calls
    /// for other keys are not cancelled.
    void setWatchedKeys(const std::map<std::string, Duration> &keys);
    /// Reads a key once; `done` is called with whether the platform answered.
    void readOnce(const std::string &name, std::function<void(bool isAnswered)> done);

    // State
    [[nodiscard]] bool isReachable() const { return m_isReachable; }
    /// When the platform last answered this daemon.
    [[nodiscard]] std::optional<TimePoint> answeredAt() const { return m_answeredAt; }

private:
    struct Watch
    {
        bool isWanted = false;
        bool isCallActive = false;
        Duration wait{};
        int failures = 0;
        TimePoint startedAt;
        Subscription timer;
    };

    void scheduleWatch(const std::string &name, Duration delay);
    void startWatch(const std::string &name);
    void onAnswer(const std::string &name, PlatformValue value);
    bool noteAnswer(const PlatformValue &value);
    Duration delayAfter(Watch &watch, PlatformStatus status, ValueResult result);
    ValueResult deliver(const std::string &name, PlatformValue value);

    Ports m_ports;
    const PlatformRules &m_rules;
    ControlCounters &m_counters;
    ValueHandler m_onValue;
    VersionSource m_seenVersion;
    std::map<std::string, Watch> m_watches;
    bool m_isReachable = true;
    std::optional<TimePoint> m_answeredAt;
    /// Expires with this object, so that callbacks that run later can detect it.
    std::shared_ptr<int> m_alive = std::make_shared<int>();
};

} // namespace oleander
