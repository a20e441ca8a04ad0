#pragma once

#include <oleander/gateway/RegistryCopy.h>
#include <oleander/ports/PeerMessage.h>
#include <oleander/ports/TimerService.h>

#include <functional>
#include <list>
#include <optional>

namespace oleander::gateway {

/// Tells other instances what this one knows of the registry.
///
/// An answer waits until something has changed, the wait that was asked for is over, or this
/// instance has not heard from the registry for too long: whoever asks then looks elsewhere.
class RegistryShare
{
public:
    using Reply = std::function<void(RegistryChanges)>;
    /// Time since the registry last answered; nothing before it did.
    using AgeSource = std::function<std::optional<Duration>()>;

    /// The copy must outlive the share.
    RegistryShare(const RegistryCopy &copy, AgeSource age, TimerService &timer);
    RegistryShare(const RegistryShare &) = delete;
    RegistryShare &operator=(const RegistryShare &) = delete;

    void ask(const RegistryChangesRequest &question, Reply reply);
    /// To be called after the copy has changed.
    void onChanged();

    [[nodiscard]] std::size_t waiting() const { return m_waiting.size(); }

    /// News of this age are too old to be relied on. Above the period in which a reader asks the
    /// registry; below what the platform grants for a change to be known.
    static constexpr Duration oldAge = milliseconds(1900);

private:
    struct Waiting
    {
        RegistryRevision after = 0;
        TimePoint until{};
        Reply reply;
    };

    [[nodiscard]] RegistryChanges news(std::optional<RegistryRevision> after) const;
    [[nodiscard]] bool isOld() const;
    void answerDue();

    const RegistryCopy &m_copy;
    AgeSource m_age;
    TimerService &m_timer;
    std::list<Waiting> m_waiting;
    Subscription m_tick;
};

} // namespace oleander::gateway
