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

/// What became of a value that the platform gave.
enum class ValueUse {
    /// In force, or refused as invalid; either way its version was seen.
    Seen,
    /// Not above what was seen before. The next call waits as after a failure.
    Stale,
};

/// Reads and watches the platform's keys that this daemon has the duty to read.
///
/// At most one call a key is under way. Failures are followed by growing waits with jitter, and
/// calls of one key keep a minimum distance, whatever the platform answers.
class PlatformWatcher
{
public:
    /// The ports that it works with; all must outlive it.
    struct Ports
    {
        TimerService &timers;
        PlatformReader &platform;
        RandomSource &random;
        EventLog &events;
    };
    using ValueHandler = std::function<ValueUse(const std::string &name, PlatformValue value)>;
    using VersionSource = std::function<SectionVersion(const std::string &name)>;

    /// `seen` gives the version that a watch waits to be passed.
    PlatformWatcher(Ports ports, const PlatformRules &rules, ControlCounters &counters,
                    ValueHandler onValue, VersionSource seen);

    // Duties
    /// Watches exactly these keys from now on, each call waiting up to the given time. Calls under
    /// way for other keys are left to end.
    void watchOnly(const std::map<std::string, Duration> &duties);
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
        bool isWaiting = false;
        Duration wait{};
        int failures = 0;
        TimePoint startedAt;
        Subscription next;
    };

    void startLater(const std::string &name, Duration delay);
    void start(const std::string &name);
    void onAnswer(const std::string &name, PlatformValue value);
    bool noteAnswer(const PlatformValue &value);
    Duration delayAfter(Watch &watch, PlatformStatus status, ValueUse use);
    ValueUse deliver(const std::string &name, PlatformValue value);

    Ports m_ports;
    const PlatformRules &m_rules;
    ControlCounters &m_counters;
    ValueHandler m_onValue;
    VersionSource m_seen;
    std::map<std::string, Watch> m_watches;
    bool m_isReachable = true;
    std::optional<TimePoint> m_answeredAt;
    /// Callbacks that arrive after the end of this object find it gone.
    std::shared_ptr<int> m_alive = std::make_shared<int>();
};

} // namespace oleander
