#pragma once

#include <oleander/core/FleetView.h>
#include <oleander/ports/PlatformReader.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <support/VirtualTimer.h>
#include <utility>

namespace oleander::testing {

/// Configuration service of the platform in virtual time. It can be down, slow or stale, and counts
/// the calls it gets.
class FakePlatform
{
public:
    explicit FakePlatform(VirtualScheduler &scheduler)
        : m_scheduler(scheduler)
    {
    }

    // Operators
    /// Publishes a value under the next version of its key and returns that version.
    SectionVersion publish(const std::string &key, std::string body)
    {
        Value &value = m_values[key];
        value.version = SectionVersion(value.version.value() + 1);
        value.body = std::move(body);
        answerWaiting(key);
        return value.version;
    }
    [[nodiscard]] SectionVersion versionOf(const std::string &key) { return m_values[key].version; }

    // Faults
    void setDown(bool isDown) { m_isDown = isDown; }
    void setLatency(Duration latency) { m_latency = latency; }
    /// Replaces the value of a key with an older one, as if a lagging replica answered.
    void publishOlderVersion(const std::string &key, SectionVersion version, std::string body)
    {
        m_values[key] = {version, std::move(body)};
        answerWaiting(key);
    }
    /// Sets which readers can reach the service. Calls of other readers end as unreachable.
    void setReachableBy(std::function<bool(const Instance &)> isReachable)
    {
        m_isReachableBy = std::move(isReachable);
    }
    /// Answers calls at once even if there is no newer version.
    void setIgnoringAfter(bool isIgnoring) { m_isIgnoringAfter = isIgnoring; }
    /// Changes the text that a reader gets, under the same version.
    void setTextFor(std::function<std::string(const Instance &, std::string)> change)
    {
        m_textFor = std::move(change);
    }
    /// Serves the values of this moment until endStale().
    void beginStale() { m_staleValues = std::make_unique<Values>(m_values); }
    void endStale()
    {
        m_staleValues.reset();
        for (const auto &[key, value] : m_values)
            answerWaiting(key);
    }

    // Counts
    std::uint64_t calls = 0;
    std::size_t maximumWaiting = 0;
    [[nodiscard]] std::size_t waiting() const { return m_waiting.size(); }

    // For readers
    void read(const Instance &reader, const std::string &key, SectionVersion after, Duration wait,
              PlatformCallback reply)
    {
        ++calls;
        WaitingCall entry{key, after, ++m_sequence, reader, std::move(reply)};
        const auto number = entry.sequence;
        m_waiting.push_back(std::move(entry));
        maximumWaiting = std::max(maximumWaiting, m_waiting.size());
        m_scheduler.schedule(m_scheduler.now() + m_latency, [this, key] { answerWaiting(key); });
        m_scheduler.schedule(m_scheduler.now() + m_latency + wait, [this, number] { end(number); });
    }

private:
    struct Value
    {
        SectionVersion version;
        std::string body;
    };
    using Values = std::map<std::string, Value>;
    struct WaitingCall
    {
        std::string key;
        SectionVersion after;
        std::uint64_t sequence;
        Instance reader;
        PlatformCallback reply;
    };

    [[nodiscard]] bool isReachableBy(const Instance &reader) const
    {
        return !m_isReachableBy || m_isReachableBy(reader);
    }

    [[nodiscard]] PlatformValue answerTo(const WaitingCall &entry) const
    {
        if (m_isDown || !isReachableBy(entry.reader))
            return {PlatformStatus::Unreachable, {}, {}};
        const Values &values = m_staleValues ? *m_staleValues : m_values;
        const auto found = values.find(entry.key);
        if (found == values.end())
            return {PlatformStatus::NotFound, {}, {}};
        if (found->second.version <= entry.after && !m_isIgnoringAfter)
            return {PlatformStatus::NotChanged, {}, {}};
        std::string body = found->second.body;
        if (m_textFor)
            body = m_textFor(entry.reader, std::move(body));
        return {PlatformStatus::Ok, found->second.version, std::move(body)};
    }

    /// Answers the waiting calls for this key, unless their reader already has the current version
    /// or can not reach the service.
    void answerWaiting(const std::string &key)
    {
        for (auto entry = m_waiting.begin(); entry != m_waiting.end();) {
            const auto current = entry++;
            if (current->key != key || !isReachableBy(current->reader))
                continue;
            PlatformValue value = answerTo(*current);
            if (value.status != PlatformStatus::NotChanged)
                answer(current, std::move(value));
        }
    }

    void end(std::uint64_t number)
    {
        const auto found = std::ranges::find(m_waiting, number, &WaitingCall::sequence);
        if (found != m_waiting.end())
            answer(found, answerTo(*found));
    }

    void answer(std::list<WaitingCall>::iterator entry, PlatformValue value)
    {
        m_scheduler.schedule(
            m_scheduler.now() + m_latency,
            [reply = std::move(entry->reply), value = std::move(value)] { reply(value); });
        m_waiting.erase(entry);
    }

    VirtualScheduler &m_scheduler;
    Values m_values;
    std::unique_ptr<Values> m_staleValues;
    std::list<WaitingCall> m_waiting;
    std::uint64_t m_sequence = 0;
    std::function<std::string(const Instance &, std::string)> m_textFor;
    std::function<bool(const Instance &)> m_isReachableBy;
    bool m_isDown = false;
    bool m_isIgnoringAfter = false;
    Duration m_latency = milliseconds(3);
};

/// Reader of one daemon. Answers are deferred while the daemon is paused and dropped after it has
/// stopped.
class FakePlatformReader final : public PlatformReader
{
public:
    FakePlatformReader(FakePlatform &platform, Instance self, std::shared_ptr<VirtualTimer> timer)
        : m_platform(platform)
        , m_self(std::move(self))
        , m_timer(std::move(timer))
    {
    }

    /// Blocks or restores this daemon's access to the platform.
    void setCut(bool isCut) { m_isCut = isCut; }

    void read(const std::string &key, PlatformCallback callback) override
    {
        request(key, {}, {}, std::move(callback));
    }
    void watch(const std::string &key, SectionVersion after, Duration wait,
               PlatformCallback callback) override
    {
        request(key, after, wait, std::move(callback));
    }

private:
    void request(const std::string &key, SectionVersion after, Duration wait,
                 PlatformCallback callback)
    {
        const auto deliver = [timer = std::weak_ptr(m_timer),
                              callback = std::move(callback)](const PlatformValue &value) {
            if (const auto alive = timer.lock())
                alive->deliverAt(alive->now(), [callback, value] { callback(value); });
        };
        if (m_isCut)
            m_timer->deliverAt(m_timer->now() + seconds(1), [deliver] { deliver({}); });
        else
            m_platform.read(m_self, key, after, wait, deliver);
    }

    FakePlatform &m_platform;
    Instance m_self;
    std::shared_ptr<VirtualTimer> m_timer;
    bool m_isCut = false;
};

} // namespace oleander::testing
