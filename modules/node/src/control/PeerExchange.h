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

/// Compares what is held with peers and fetches what is newer there.
///
/// Section texts are only ever pulled: a peer that learns of a newer value, in a comparison or in
/// an announcement, asks one of those who hold it, so that a text reaches a daemon about once
/// however many peers announce it.
class PeerExchange
{
public:
    /// What it works with; all must outlive it.
    struct Context
    {
        TimerService &timers;
        PeerNetwork &network;
        const ControlSettings &settings;
        const SectionStore &store;
        PeerEvidence &evidence;
        ControlCounters &counters;
    };

    /// What happens on messages.
    struct Handlers
    {
        /// Newer sections arrived.
        std::function<void(const std::vector<Section> &)> onSections;
        /// Anything else that a peer's message tells: age, crashes, leaving.
        std::function<void(const ViewExchange &message)> onMessage;
        /// Evidence about a peer changed.
        std::function<void()> onEvidence;
        /// Members of an outgoing message that are not the exchange's own.
        std::function<void(ViewExchange &message)> fillIn;
    };

    using Done = std::function<void()>;

    PeerExchange(const Context &context, Handlers handlers);

    // Calling peers
    /// Compares views with a peer; each side then fetches what it lacks. `done`, which may be
    /// empty, is called when the peer has answered or failed.
    void compare(const Instance &peer, const Done &done = {});
    /// Tells a peer at once what is held, and what else fillIn() adds. `crashes` are passed on.
    void announce(const Instance &peer, std::vector<CrashNotice> crashes);

    // Being called
    /// The reply to a peer's message. `sender` is null when the list does not know it.
    ViewExchange answer(const ViewExchange &request, const Instance *sender);

    // State
    /// Whether a text is on its way.
    [[nodiscard]] bool isPulling() const { return !m_pulls.empty(); }

private:
    /// A section that was asked for, and who else has it.
    struct Pull
    {
        SectionSummary wanted;
        std::vector<Instance> others;
    };
    using ReplyHandler = std::function<void(const ViewExchange *reply)>;

    [[nodiscard]] ViewExchange message(bool statesHeld) const;
    void send(const Instance &peer, ViewExchange message, Duration timeout, ReplyHandler onReply);
    void onOutcome(const Instance &peer, TimePoint startedAt, Duration timeout,
                   const PeerOutcome &outcome, const ReplyHandler &onReply);
    void sendWanted(const Instance &peer, const std::vector<std::string> &wanted);
    std::vector<Section> textsOf(const std::vector<std::string> &names);
    void noteFailure(const Instance &peer, Duration elapsed, Duration timeout);
    void absorb(const ViewExchange &message, const Instance *peer);
    void pullFrom(const Instance &peer, const std::vector<SectionSummary> &wanted);
    std::vector<std::string> startPulls(const Instance &peer,
                                        const std::vector<SectionSummary> &wanted);
    void onPulled(const std::vector<std::string> &names);

    Context m_context;
    Handlers m_handlers;
    std::map<std::string, Pull> m_pulls;
    /// Callbacks that arrive after the end of this object find it gone.
    std::shared_ptr<int> m_alive = std::make_shared<int>();
};

} // namespace oleander
