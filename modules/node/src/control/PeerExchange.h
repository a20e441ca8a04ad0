#pragma once

#include <oleander/decisions/control/SectionStore.h>
#include <oleander/node/ControlSettings.h>
#include <oleander/node/ControlStatus.h>
#include <oleander/ports/PeerNetwork.h>
#include <oleander/ports/TimerService.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace oleander {

/// Compares the held sections with those of peers and fetches newer ones.
///
/// Section texts are only sent on request: a peer that learns of a newer version, from a comparison
/// or an announcement, requests the text from one of the peers that hold it. A text is therefore
/// sent to a daemon about once, however many peers announce it.
class PeerExchange
{
public:
    /// Objects that the exchange uses; all must outlive it.
    struct Context
    {
        TimerService &timers;
        PeerNetwork &network;
        const ControlSettings &settings;
        const SectionStore &store;
        PeerEvidence &evidence;
        ControlCounters &counters;
    };

    /// Callbacks for received and outgoing messages.
    struct Handlers
    {
        /// Section texts were received.
        std::function<void(const std::vector<Section> &)> onSections;
        /// Called for each received message, which may hold crash notices, the time since the
        /// platform answered, and whether the sender is leaving.
        std::function<void(const ViewExchange &message)> onMessage;
        /// Evidence about a peer changed.
        std::function<void()> onEvidence;
        /// Sets those fields of an outgoing message that the exchange itself does not know.
        std::function<void(ViewExchange &message)> addDaemonState;
    };

    using CompletionHandler = std::function<void()>;

    PeerExchange(const Context &context, Handlers handlers);

    // Calling peers
    /// Compares sections with a peer; each side then fetches those that are newer on the other.
    /// `done`, which may be empty, is called when the peer has answered or failed.
    void compare(const Instance &peer, const CompletionHandler &done = {});
    /// Sends a peer the versions of all held sections, the fields set by addDaemonState(), and the
    /// given crash notices.
    void announce(const Instance &peer, std::vector<CrashNotice> crashes);

    // Answering peers
    /// The reply to a peer's message. `sender` is null if the instance list does not contain the
    /// peer.
    ViewExchange answer(const ViewExchange &request, const Instance *sender);

    // State
    /// Whether any requested section text has not arrived yet.
    [[nodiscard]] bool isPulling() const { return !m_pulls.empty(); }

private:
    /// A requested section, and other peers that hold it.
    struct Pull
    {
        SectionSummary wanted;
        std::vector<Instance> alternativePeers;
    };
    using ReplyHandler = std::function<void(const ViewExchange *reply)>;

    [[nodiscard]] ViewExchange makeMessage(bool statesHeld) const;
    void send(const Instance &peer, ViewExchange message, Duration timeout, ReplyHandler onReply);
    void onOutcome(const Instance &peer, TimePoint startedAt, Duration timeout,
                   const PeerOutcome &outcome, const ReplyHandler &onReply);
    void sendWanted(const Instance &peer, const std::vector<std::string> &wanted);
    std::vector<Section> sectionTexts(const std::vector<std::string> &names);
    void noteFailure(const Instance &peer, Duration elapsed, Duration timeout);
    void processMessage(const ViewExchange &message, const Instance *peer);
    void requestSections(const Instance &peer, const std::vector<SectionSummary> &wanted);
    std::vector<std::string> registerPulls(const Instance &peer,
                                           const std::vector<SectionSummary> &wanted);
    void onPulled(const std::vector<std::string> &names);

    Context m_context;
    Handlers m_handlers;
    std::map<std::string, Pull> m_pulls;
    /// Expires with this object, so that callbacks that run later can detect it.
    std::shared_ptr<int> m_alive = std::make_shared<int>();
};

} // namespace oleander
