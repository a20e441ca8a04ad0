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

/// Who this instance is among those that share what they read.
struct SharingRole
{
    InstanceId self;
    DataCentreId dataCentre;
    /// Readers ask the registry itself; the others ask readers.
    bool isReader = false;
};

/// Reads the registry through an instance that reads it already, or directly.
///
/// An instance that is no reader asks one that it has heard of, of its own data centre if there is
/// one. When the reader does not answer, or has not heard from the registry for too long, the same
/// call goes on to the registry itself, so that a lost reader costs one short wait. It is asked
/// again once it has been heard of anew. An instance that knows nothing yet and finds the registry
/// out of reach takes old news rather than none.
class SharedRegistryReader final : public RegistryReader
{
public:
    /// All references must outlive the reader.
    SharedRegistryReader(SharingRole role, RegistryReader &direct, PeerNetwork &peers,
                         TimerService &timer, EventLog &log);

    /// Another instance that reads the registry was heard of.
    void hearOfReader(const Instance &reader);

    // RegistryReader
    void list(const std::string &prefix, const std::string &afterKey, Callback done) override;
    void watch(const std::string &prefix, RegistryRevision revision, Duration wait,
               Callback done) override;

    /// Longest wait of a question for changes.
    static constexpr Duration questionWait = milliseconds(800);
    /// Time for an answer beyond that wait; instances answer each other in milliseconds.
    static constexpr Duration answerTime = milliseconds(250);
    /// A reader that failed is left alone for this long at least.
    static constexpr Duration failurePause = seconds(2);
    /// A reader that was not heard of for this long is not asked; three beacons.
    static constexpr Duration silenceLimit = seconds(10);

private:
    struct Reader
    {
        Instance instance;
        TimePoint heard{};
        std::optional<TimePoint> failed;
    };
    using NewsCallback = std::function<void(std::optional<RegistryChanges>)>;

    [[nodiscard]] Reader *chooseReader();
    [[nodiscard]] bool isUsable(const Reader &reader) const;
    [[nodiscard]] std::uint64_t rank(const Reader &reader) const;
    void ask(const Instance &reader, const RegistryChangesRequest &question, NewsCallback done);
    void listDirectly(const std::string &prefix, Callback done);
    void listOldNews(RegistryAnswer failure, Callback done);
    void noteFailure(const InstanceId &reader, const char *cause);
    void deliver(const std::string &source, RegistryAnswer answer, const Callback &done);

    SharingRole m_role;
    RegistryReader &m_direct;
    PeerNetwork &m_peers;
    TimerService &m_timer;
    EventLog &m_log;
    std::unordered_map<InstanceId, Reader> m_readers;
    /// The greatest revision that was read; older content would undo what is known.
    RegistryRevision m_delivered = 0;
    std::string m_source;
    std::shared_ptr<int> m_life = std::make_shared<int>();
};

} // namespace oleander::gateway
