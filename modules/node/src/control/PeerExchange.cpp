#include "PeerExchange.h"

#include <algorithm>

namespace oleander {

namespace {

constexpr std::size_t maximumAlternativePeers = 3;

std::size_t textBytes(const std::vector<Section> &sections)
{
    std::size_t bytes = 0;
    for (const Section &section : sections)
        bytes += section.body.size();
    return bytes;
}

std::vector<std::string> namesOf(const std::vector<SectionSummary> &summaries)
{
    std::vector<std::string> names;
    names.reserve(summaries.size());
    for (const SectionSummary &summary : summaries)
        names.push_back(summary.name);
    return names;
}

} // namespace

PeerExchange::PeerExchange(const Context &context, Handlers handlers)
    : m_context(context)
    , m_handlers(std::move(handlers))
{
}

void PeerExchange::compare(const Instance &peer, const CompletionHandler &done)
{
    const bool statesHeld = !m_context.settings.gossip.comparesDigests;
    send(peer, makeMessage(statesHeld), m_context.settings.gossip.compareTimeout,
         [this, peer, statesHeld, done](const ViewExchange *reply) {
             const bool knowsPeerVersions = reply && reply->statesHeld && !statesHeld;
             if (knowsPeerVersions && isPeerBehind(m_context.store, reply->held))
                 announce(peer, {});
             if (done)
                 done();
         });
}

void PeerExchange::announce(const Instance &peer, std::vector<CrashNotice> crashes)
{
    ViewExchange announcement = makeMessage(true);
    announcement.crashes = std::move(crashes);
    send(peer, std::move(announcement), m_context.settings.gossip.compareTimeout,
         [](const ViewExchange *) {});
}

ViewExchange PeerExchange::answer(const ViewExchange &request, const Instance *sender)
{
    processMessage(request, sender);
    const bool isEqual = request.heldDigest == heldDigest(m_context.store);
    ViewExchange reply = makeMessage(!isEqual && request.wanted.empty());
    reply.newer = sectionTexts(request.wanted);
    if (!sender && request.statesHeld)
        reply.wanted = namesOf(sectionsWantedFrom(m_context.store, request.held));
    return reply;
}

ViewExchange PeerExchange::makeMessage(bool statesHeld) const
{
    ViewExchange message;
    message.from = m_context.settings.self.id;
    message.heldDigest = heldDigest(m_context.store);
    message.statesHeld = statesHeld;
    if (statesHeld)
        message.held = heldSummaries(m_context.store);
    m_handlers.addDaemonState(message);
    return message;
}

void PeerExchange::send(const Instance &peer, ViewExchange message, Duration timeout,
                        ReplyHandler onReply)
{
    ++m_context.counters.peerCalls;
    m_context.network.call(peer, std::move(message), timeout,
                           [this, alive = std::weak_ptr(m_alive), peer, timeout,
                            startedAt = m_context.timers.now(),
                            onReply = std::move(onReply)](const PeerOutcome &outcome) {
                               if (!alive.expired())
                                   onOutcome(peer, startedAt, timeout, outcome, onReply);
                           });
}

void PeerExchange::onOutcome(const Instance &peer, TimePoint startedAt, Duration timeout,
                             const PeerOutcome &outcome, const ReplyHandler &onReply)
{
    const auto *reply = outcome.reply ? std::get_if<ViewExchange>(&*outcome.reply) : nullptr;
    if (!reply) {
        noteFailure(peer, m_context.timers.now() - startedAt, timeout);
        onReply(nullptr);
        return;
    }
    if (evidenceOf(m_context.evidence, peer.id) == Evidence::Unreachable) {
        noteAnswered(m_context.evidence, peer.id);
        m_handlers.onEvidence();
    }
    processMessage(*reply, &peer);
    sendWanted(peer, reply->wanted);
    onReply(reply);
}

/// Sends section texts to a peer that can not request them with a call, because it does not know
/// this daemon.
void PeerExchange::sendWanted(const Instance &peer, const std::vector<std::string> &wanted)
{
    if (wanted.empty())
        return;
    ViewExchange texts = makeMessage(false);
    texts.newer = sectionTexts(wanted);
    send(peer, std::move(texts), m_context.settings.gossip.pullTimeout,
         [](const ViewExchange *) {});
}

std::vector<Section> PeerExchange::sectionTexts(const std::vector<std::string> &names)
{
    auto sections =
        sectionsNamed(m_context.store, names, m_context.settings.gossip.maximumMessageBytes);
    m_context.counters.bytesToPeers += textBytes(sections);
    return sections;
}

void PeerExchange::noteFailure(const Instance &peer, Duration elapsed, Duration timeout)
{
    ++m_context.counters.peerFailures;
    // The call ended long after its time-out: this process was paused, and the failure says nothing
    // about the peer.
    if (elapsed > timeout + m_context.settings.confirm.timerLatenessLimit)
        return;
    const bool isFirstFailure = evidenceOf(m_context.evidence, peer.id) == Evidence::None;
    noteUnreachable(m_context.evidence, peer.id,
                    m_context.timers.now() + m_context.settings.gossip.unreachableMemory);
    if (isFirstFailure)
        m_handlers.onEvidence();
}

void PeerExchange::processMessage(const ViewExchange &message, const Instance *peer)
{
    m_handlers.onMessage(message);
    if (!message.newer.empty()) {
        m_context.counters.bytesFromPeers += textBytes(message.newer);
        m_handlers.onSections(message.newer);
    }
    if (peer && message.statesHeld)
        requestSections(*peer, sectionsWantedFrom(m_context.store, message.held));
}

void PeerExchange::requestSections(const Instance &peer, const std::vector<SectionSummary> &wanted)
{
    const auto names = registerPulls(peer, wanted);
    if (names.empty())
        return;
    ViewExchange request = makeMessage(false);
    request.wanted = names;
    send(peer, std::move(request), m_context.settings.gossip.pullTimeout,
         [this, names](const ViewExchange *) { onPulled(names); });
}

/// Marks sections as requested and returns their names. Sections that were requested before are
/// left out, and the peer is kept as an alternative source of them.
std::vector<std::string> PeerExchange::registerPulls(const Instance &peer,
                                                     const std::vector<SectionSummary> &wanted)
{
    std::vector<std::string> names;
    for (const SectionSummary &summary : wanted) {
        const auto pull = m_pulls.find(summary.name);
        if (pull == m_pulls.end()) {
            m_pulls[summary.name] = Pull{summary, {}};
            names.push_back(summary.name);
            continue;
        }
        if (isOlder(pull->second.wanted, summary))
            pull->second.wanted = summary;
        if (pull->second.alternativePeers.size() < maximumAlternativePeers)
            pull->second.alternativePeers.push_back(peer);
    }
    return names;
}

/// Completes pulls. A section that did not arrive, or arrived in an older version than another peer
/// holds, is requested from that peer. Sections that did not fit into the message need no handling
/// here: the received ones are announced, and the peer's reply lists the newer sections that it
/// still holds.
void PeerExchange::onPulled(const std::vector<std::string> &names)
{
    std::map<InstanceId, Instance> sources;
    for (const std::string &name : names) {
        const auto pull = m_pulls.extract(name);
        if (pull.empty() || sectionsWantedFrom(m_context.store, {pull.mapped().wanted}).empty())
            continue;
        for (const Instance &alternative : pull.mapped().alternativePeers)
            sources.emplace(alternative.id, alternative);
    }
    for (const auto &[id, source] : sources)
        compare(source);
}

} // namespace oleander
