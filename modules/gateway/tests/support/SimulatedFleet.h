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

/// A key-value registry that remembers at which revision each key last changed.
class SimulatedRegistry
{
public:
    void put(const std::string &key, const std::string &value)
    {
        m_content.items[key] = {{key, value, false}, ++m_content.revision};
    }
    void remove(const std::string &key)
    {
        m_content.items[key] = {{key, {}, true}, ++m_content.revision};
    }

    [[nodiscard]] RegistryAnswer list() const
    {
        RegistryAnswer answer;
        answer.position = position();
        for (const auto &[key, stored] : m_content.items) {
            if (!stored.item.isRemoved)
                answer.items.push_back(stored.item);
        }
        return answer;
    }
    /// Changes after the revision of `after`, whatever its epoch.
    [[nodiscard]] RegistryAnswer changesSince(RegistryPosition after) const
    {
        RegistryAnswer answer;
        answer.position = position();
        if (after.revision < m_oldestRevision || after.revision > m_content.revision)
            answer.error = RegistryError::HistoryGone;
        for (const auto &[key, stored] : m_content.items) {
            if (stored.changeRevision > after.revision)
                answer.items.push_back(stored.item);
        }
        return answer;
    }

    /// Drops the history of changes up to the current revision.
    void compact() { m_oldestRevision = m_content.revision; }
    /// Keeps a copy of the content.
    void backUp() { m_copy = m_content; }
    /// Comes back from the copy: what has changed since then is lost.
    void restore()
    {
        m_content = m_copy;
        m_oldestRevision = std::min(m_oldestRevision, m_content.revision);
        ++m_epoch;
    }
    [[nodiscard]] RegistryPosition position() const { return {m_epoch, m_content.revision}; }

    /// No instance gets an answer.
    bool isDown = false;
    /// Number of calls from all instances.
    std::size_t calls = 0;

private:
    struct StoredItem
    {
        RegistryItem item;
        std::uint64_t changeRevision = 0;
    };
    struct Content
    {
        std::map<std::string, StoredItem> items;
        std::uint64_t revision = 0;
    };
    Content m_content;
    Content m_copy;
    std::uint64_t m_epoch = 1;
    /// Changes before this revision are no longer known.
    std::uint64_t m_oldestRevision = 0;
};

class SimulatedInstance;

/// Instances in virtual time that read one registry. The first `readers` of them read it directly,
/// the others through these readers.
class SimulatedFleet
{
public:
    SimulatedFleet(std::size_t instances, std::size_t readers);
    ~SimulatedFleet();

    /// Replaces an instance by a newly started process, which has no content yet.
    void restart(std::size_t index);
    /// Announces the readers that are not hung to all instances, now and every three seconds.
    void startBeacons();

    VirtualScheduler scheduler;
    SimulatedRegistry registry;
    std::vector<std::unique_ptr<SimulatedInstance>> instances;
    std::size_t readers = 0;
};

/// An instance that reads the registry through a SharedRegistryReader and shares what it has read.
class SimulatedInstance final : public RegistryListener
{
public:
    SimulatedInstance(SimulatedFleet &fleet, std::size_t index);

    // RegistryListener
    void onItems(const std::vector<RegistryItem> &items, const ListedSpan &span) override;
    void onChanges(const std::vector<RegistryItem> &changes, RegistryPosition position) override;
    void onReconnected(Duration) override {}

    [[nodiscard]] Instance description() const;

    /// Exchanges no messages with the registry or with other instances.
    bool isHung = false;
    /// Cannot reach the registry.
    bool isDisconnected = false;
    /// Number of calls of this instance to the registry itself.
    std::size_t directCalls = 0;
    /// The values that the instance has read, by key.
    std::map<std::string, std::string> knownValues;

private:
    /// Reads the simulated registry, with the delay of a call.
    class DirectReader final : public RegistryReader
    {
    public:
        explicit DirectReader(SimulatedInstance &owner)
            : m_owner(owner)
        {
        }
        void list(const std::string &, const std::string &, Callback done) override;
        void watch(const std::string &, RegistryPosition position, Duration wait,
                   Callback done) override;

    private:
        /// Calls `read` every 20 ms until it returns an answer. When the registry cannot be
        /// reached, reports an error after `end` and the timeout of a call.
        void poll(const std::function<std::optional<RegistryAnswer>()> &read, TimePoint end,
                  const Callback &done);
        SimulatedInstance &m_owner;
    };

    /// Delivers calls to other instances, with a delay.
    class SimulatedPeers final : public PeerNetwork
    {
    public:
        explicit SimulatedPeers(SimulatedInstance &owner)
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

        SimulatedInstance &m_owner;
    };

    [[nodiscard]] bool canReachRegistry() const
    {
        return !isHung && !isDisconnected && !m_fleet.registry.isDown;
    }

    SimulatedFleet &m_fleet;
    std::size_t m_index;
    oleander::testing::VirtualTimer m_timer;
    TestRandom m_random;
    DirectReader m_directReader{*this};
    SimulatedPeers m_peers{*this};
    std::shared_ptr<int> m_lifetime = std::make_shared<int>();

public:
    TestLog log;
    RegistryCopy copy;
    SharedRegistryReader reader;
    RegistryFollower follower;
    RegistryRelay share;
};

} // namespace oleander::gateway::testing
