#pragma once

#include <oleander/core/FleetView.h>
#include <oleander/gateway/Registry.h>
#include <oleander/ports/EventLog.h>
#include <oleander/ports/PeerNetwork.h>
#include <oleander/ports/TimerService.h>

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace oleander::gateway {

/// This instance's identity and role in reading the registry.
struct RegistryReaderRole
{
    InstanceId self;
    DataCentreId dataCentre;
    /// Readers query the registry directly; the other instances query readers.
    bool isReader = false;
};

/// Reads the registry through another instance that already reads it, or directly.
///
/// An instance that is not a reader queries one that it received beacons from, preferably in its
/// own data centre. If the reader does not answer or its content is stale, the same call falls back
/// to the registry itself, so that a lost reader costs only one short delay. The reader is queried
/// again after its next beacon. An instance without any content accepts stale content if the
/// registry is unreachable.
class SharedRegistryReader final : public RegistryReader
{
public:
    /// All references must outlive the reader.
    SharedRegistryReader(RegistryReaderRole role, RegistryReader &direct, PeerNetwork &peers,
                         TimerService &timer, EventLog &log);

    /// Called when a beacon of another reader was received.
    void onReaderBeacon(const Instance &reader);

    // RegistryReader
    void list(const std::string &prefix, const std::string &afterKey, Callback done) override;
    void watch(const std::string &prefix, RegistryPosition position, Duration wait,
               Callback done) override;

    /// Maximum wait for changes in a query to a reader.
    static constexpr Duration maximumChangesWait = milliseconds(800);
    /// Additional time for the reader's answer; instances answer each other within milliseconds.
    static constexpr Duration replyMargin = milliseconds(250);
    /// Minimum time before a failed reader is queried again.
    static constexpr Duration failedReaderPause = seconds(2);
    /// A reader without a beacon for this time, three beacon intervals, is not queried.
    static constexpr Duration beaconTimeout = seconds(10);

private:
    struct Reader
    {
        Instance instance;
        TimePoint lastHeard{};
        std::optional<TimePoint> failedAt;
    };
    using ChangesCallback = std::function<void(std::optional<RegistryChanges>)>;

    [[nodiscard]] Reader *chooseReader();
    [[nodiscard]] bool isUsable(const Reader &reader) const;
    [[nodiscard]] std::uint64_t rank(const Reader &reader) const;
    void requestChanges(const Instance &reader, const RegistryChangesRequest &request,
                        ChangesCallback done);
    void listDirectly(const std::string &prefix, Callback done);
    void listFromStaleReader(RegistryAnswer failure, Callback done);
    void noteFailure(const InstanceId &reader, const char *cause);
    void deliver(const std::string &source, RegistryAnswer answer, const Callback &done);

    RegistryReaderRole m_role;
    RegistryReader &m_direct;
    PeerNetwork &m_peers;
    TimerService &m_timer;
    EventLog &m_log;
    std::unordered_map<InstanceId, Reader> m_readers;
    /// Highest position that was delivered. Content of a lower one would revert known changes.
    RegistryPosition m_deliveredPosition;
    std::string m_source;
    std::shared_ptr<int> m_lifetime = std::make_shared<int>();
};

} // namespace oleander::gateway
