#pragma once

#include "TestGateway.h"

#include <oleander/gateway/RegistryCopy.h>
#include <oleander/gateway/RegistryFollower.h>
#include <oleander/gateway/RegistryRelay.h>
#include <oleander/gateway/SharedRegistryReader.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace oleander::gateway::testing {

/// A registry in virtual time. Answers after 4 ms; instances can be cut off from it.
class VirtualRegistry
{
public:
    void put(const std::string &key, const std::string &value)
    {
        m_items[key] = {{key, value, false}, ++m_revision};
    }
    void remove(const std::string &key) { m_items[key] = {{key, {}, true}, ++m_revision}; }

    [[nodiscard]] RegistryAnswer list() const
    {
        RegistryAnswer answer;
        answer.revision = m_revision;
        for (const auto &[key, held] : m_items) {
            if (!held.item.isRemoved)
                answer.items.push_back(held.item);
        }
        return answer;
    }
    [[nodiscard]] RegistryAnswer since(RegistryRevision revision) const
    {
        RegistryAnswer answer;
        answer.revision = m_revision;
        if (revision < m_floor)
            answer.error = RegistryError::HistoryGone;
        for (const auto &[key, held] : m_items) {
            if (held.changed > revision)
                answer.items.push_back(held.item);
        }
        return answer;
    }

    /// Changes up to now are no longer told one by one.
    void compact() { m_floor = m_revision; }

    bool isDown = false;
    std::size_t calls = 0;

private:
    struct Held
    {
        RegistryItem item;
        RegistryRevision changed = 0;
    };
    std::map<std::string, Held> m_items;
    RegistryRevision m_revision = 0;
    RegistryRevision m_floor = 0;
};

class SharingInstance;

/// Instances in virtual time that share one registry; the first ones are readers.
class SharingFleet
{
public:
    SharingFleet(std::size_t instances, std::size_t readers);
    ~SharingFleet();

    /// Starts the process of an instance anew; it knows nothing.
    void restart(std::size_t index);
    /// Lets each instance hear of the readers that are alive, now and each three seconds.
    void startBeacons();

    VirtualScheduler scheduler;
    VirtualRegistry registry;
    std::vector<std::unique_ptr<SharingInstance>> instances;
    std::size_t readers = 0;
};

/// One instance: reads by the shared reader, and tells others.
class SharingInstance final : public RegistryListener
{
public:
    SharingInstance(SharingFleet &fleet, std::size_t index);

    // RegistryListener
    void onItems(const std::vector<RegistryItem> &items, RegistryRevision revision) override;
    void onChanges(const std::vector<RegistryItem> &changes, RegistryRevision revision) override;
    void onReconnected(Duration) override {}

    [[nodiscard]] Instance description() const;

    /// Neither answers instances nor gets answers.
    bool isHung = false;
    /// Gets no answer from the registry.
    bool isCutOff = false;
    std::size_t directCalls = 0;
    /// What it believes, by key.
    std::map<std::string, std::string> believed;

private:
    class Direct final : public RegistryReader
    {
    public:
        explicit Direct(SharingInstance &owner)
            : m_owner(owner)
        {
        }
        void list(const std::string &, const std::string &, Callback done) override;
        void watch(const std::string &, RegistryRevision revision, Duration wait,
                   Callback done) override;

    private:
        void attempt(const std::function<std::optional<RegistryAnswer>()> &read, TimePoint end,
                     const Callback &done);
        SharingInstance &m_owner;
    };

    class Peers final : public PeerNetwork
    {
    public:
        explicit Peers(SharingInstance &owner)
            : m_owner(owner)
        {
        }
        PeerCallId call(const Instance &peer, PeerRequest request, Duration timeLeft,
                        PeerCallback callback) override;
        void cancel(PeerCallId) override {}
        void setHandler(PeerHandler *) override {}
        void beginStop() override {}

    private:
        void deliver(const Instance &peer, const RegistryChangesRequest &question,
                     const PeerCallback &finish);

        SharingInstance &m_owner;
    };

    [[nodiscard]] bool isReached() const
    {
        return !isHung && !isCutOff && !m_fleet.registry.isDown;
    }

    SharingFleet &m_fleet;
    std::size_t m_index;
    oleander::testing::VirtualTimer m_timer;
    TestRandom m_random;
    Direct m_direct{*this};
    Peers m_peers{*this};
    std::shared_ptr<int> m_life = std::make_shared<int>();

public:
    TestLog log;
    RegistryCopy copy;
    SharedRegistryReader reader;
    RegistryFollower follower;
    RegistryRelay share;
};

} // namespace oleander::gateway::testing
