#pragma once

#include <oleander/gateway/RegistryCopy.h>
#include <oleander/ports/PeerMessage.h>
#include <oleander/ports/TimerService.h>

#include <functional>
#include <list>
#include <optional>

namespace oleander::gateway {

/// Answers other instances' requests for registry changes from the local copy.
///
/// An answer is delayed until there is a change, the requested wait has passed, or the copy becomes
/// stale, so that the other instance can use a different source.
class RegistryRelay
{
public:
    using Reply = std::function<void(RegistryChanges)>;
    /// Time since the registry last answered; nothing before the first answer.
    using AgeSource = std::function<std::optional<Duration>()>;

    /// The copy must outlive the relay.
    RegistryRelay(const RegistryCopy &copy, AgeSource age, TimerService &timer);
    RegistryRelay(const RegistryRelay &) = delete;
    RegistryRelay &operator=(const RegistryRelay &) = delete;

    void ask(const RegistryChangesRequest &request, Reply reply);
    /// Must be called after each change of the copy.
    void onChanged();

    [[nodiscard]] std::size_t waiting() const { return m_waiting.size(); }

    /// Content of this age is stale. Longer than the interval at which a reader queries the
    /// registry, and shorter than the platform's limit for propagating a change.
    static constexpr Duration staleAge = milliseconds(1900);

private:
    struct PendingRequest
    {
        RegistryPosition after;
        TimePoint deadline{};
        Reply reply;
    };

    [[nodiscard]] RegistryChanges buildChanges(std::optional<RegistryPosition> after) const;
    [[nodiscard]] bool isStale() const;
    void answerDue();

    const RegistryCopy &m_copy;
    AgeSource m_age;
    TimerService &m_timer;
    std::list<PendingRequest> m_waiting;
    Subscription m_checkTimer;
};

} // namespace oleander::gateway
