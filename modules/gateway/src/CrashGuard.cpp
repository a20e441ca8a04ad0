#include <oleander/gateway/CrashGuard.h>
#include <oleander/gateway/HttpStatus.h>

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <utility>

namespace oleander::gateway {

namespace {

/// A server of which it is not known after this time whether it has ended holds up no retries.
constexpr Duration checkTime = milliseconds(50);
/// Longer than the check of a server takes. Where the request is suspected, or several servers have
/// closed connections under it, retries wait for the verdict.
constexpr Duration verdictTime = milliseconds(2500);
/// Time in which an execution that a server survives clears most requests.
constexpr Duration announcementDelay = milliseconds(100);
/// Suspected requests that are told to other instances, which bounds the message.
constexpr std::size_t maximumReported = 12;

Fingerprint fingerprintOf(const CallerRequest &request, std::string_view target)
{
    XXH64_hash_t hash = 0;
    for (const std::string_view part :
         {std::string_view(request.method), std::string_view(request.host), target,
          std::string_view(request.body)}) {
        const std::size_t size = part.size();
        hash = XXH3_64bits_withSeed(&size, sizeof size, hash);
        hash = XXH3_64bits_withSeed(part.data(), size, hash);
    }
    return Fingerprint(hash);
}

} // namespace

Fingerprint fingerprintOf(const CallerRequest &request)
{
    return fingerprintOf(request, request.target);
}

Fingerprint resourceFingerprintOf(const CallerRequest &request)
{
    return fingerprintOf(request, pathOf(request.target));
}

CrashGuard::CrashGuard(TimerService &timer, EventLog &log, const CrashRules &rules)
    : m_timer(timer)
    , m_log(log)
    , m_rules(rules)
{
}

std::shared_ptr<CrashTrial> CrashGuard::trialOf(const CallerRequest &request)
{
    auto trial = trialOf(fingerprintOf(request));
    const Fingerprint resource = resourceFingerprintOf(request);
    if (!trial->resource && resource != trial->fingerprint)
        trial->resource = trialOf(resource);
    return trial;
}

std::shared_ptr<CrashTrial> CrashGuard::trialOf(Fingerprint fingerprint)
{
    auto &held = (*m_trials)[fingerprint];
    if (auto trial = held.lock())
        return trial;
    auto owned = std::make_unique<CrashTrial>();
    owned->fingerprint = fingerprint;
    std::shared_ptr<CrashTrial> trial(owned.release(),
                                      [trials = std::weak_ptr(m_trials)](CrashTrial *ended) {
                                          if (const auto all = trials.lock())
                                              all->erase(ended->fingerprint);
                                          delete ended;
                                      });
    held = trial;
    return trial;
}

SendDecision CrashGuard::decide(const CrashTrial &trial) const
{
    const TimePoint now = m_timer.now();
    const SendDecision decision =
        decide(trial, decideDispatch(m_memory, trial.fingerprint, now, m_rules));
    if (!trial.resource)
        return decision;
    const CrashTrial &resource = *trial.resource;
    return std::max(decision, decide(resource, decideResourceDispatch(
                                                   m_memory, resource.fingerprint, now, m_rules)));
}

SendDecision CrashGuard::decide(const CrashTrial &trial, DispatchDecision known) const
{
    if (trial.hasSurvivor)
        return SendDecision::Send;
    const TimePoint now = m_timer.now();
    const bool isSuspicious =
        known != DispatchDecision::SendToAll
        || (trial.unverified > 1 && !isKnownHarmless(m_memory, trial.fingerprint, now));
    const Duration hold = isSuspicious ? verdictTime : checkTime;
    const bool isChecking = trial.unverified > 0 && now < trial.lastClosedAt + hold;
    switch (known) {
    case DispatchDecision::Refuse:
        return SendDecision::Refuse;
    case DispatchDecision::CanaryFirst:
    case DispatchDecision::CanaryAlone:
        return trial.inFlight > 0 || isChecking ? SendDecision::Wait : SendDecision::SendAlone;
    case DispatchDecision::SendToAll:
        break;
    }
    return isChecking || trial.loss ? SendDecision::Wait : SendDecision::Send;
}

Duration CrashGuard::refusalLeft(const CrashTrial &trial) const
{
    if (decide(trial) != SendDecision::Refuse)
        return {};
    const TimePoint now = m_timer.now();
    const Duration left = oleander::refusalLeft(m_memory, trial.fingerprint, now, m_rules);
    if (!trial.resource)
        return left;
    return std::max(left, resourceRefusalLeft(m_memory, trial.resource->fingerprint, now, m_rules));
}

void CrashGuard::awaitEvidence(CrashTrial &trial, const std::function<void()> &callback)
{
    trial.forRequestAndResource(
        [&callback](CrashTrial &affected) { affected.waiting.push_back(callback); });
}

void CrashGuard::onSubmitted(CrashTrial &trial)
{
    trial.forRequestAndResource([](CrashTrial &affected) { ++affected.inFlight; });
}

void CrashGuard::onReplied(CrashTrial &trial, const ServerId &server, int status)
{
    if (status >= firstServerErrorStatus) {
        onEnded(trial);
        return;
    }
    trial.forRequestAndResource([&](CrashTrial &affected) {
        --affected.inFlight;
        affected.loss.reset();
        if (std::exchange(affected.hasSurvivor, true))
            return;
        if (noteSurvived(m_memory, affected.fingerprint, m_timer.now())) {
            m_log.record(EventId::CrashSuspicionCleared, {},
                         {{"fingerprint", affected.fingerprint.value()},
                          {"server", server.text()},
                          {"status", status}});
        }
        notify(affected);
    });
}

void CrashGuard::onConnectionClosed(CrashTrial &trial)
{
    trial.forRequestAndResource([now = m_timer.now()](CrashTrial &affected) {
        --affected.inFlight;
        ++affected.unverified;
        affected.lastClosedAt = now;
    });
}

void CrashGuard::onEnded(CrashTrial &trial)
{
    trial.forRequestAndResource([this](CrashTrial &affected) {
        --affected.inFlight;
        attributeIfDone(affected);
        notify(affected);
    });
}

void CrashGuard::onServerChecked(const std::vector<std::shared_ptr<CrashTrial>> &trials,
                                 const ServerId &server, bool hasEnded)
{
    const TimePoint now = m_timer.now();
    const auto isHarmless = [&](const CrashTrial &trial) {
        return trial.hasSurvivor || isKnownHarmless(m_memory, trial.fingerprint, now);
    };
    // Where some of the requests have been survived, the others are held responsible.
    const bool isAnyUnknown =
        std::ranges::any_of(trials, [&](const auto &trial) { return !isHarmless(*trial); });
    std::set<Fingerprint> suspects;
    for (const auto &trial : trials) {
        if (!isAnyUnknown || !isHarmless(*trial))
            suspects.insert(trial->fingerprint);
    }
    const auto count = static_cast<std::int64_t>(suspects.size());
    for (const auto &trial : trials) {
        const bool isSuspect = suspects.contains(trial->fingerprint);
        trial->forRequestAndResource([&](CrashTrial &affected) {
            --affected.unverified;
            if (hasEnded && isSuspect && !affected.hasSurvivor && !affected.loss)
                affected.loss = {affected.fingerprint, server, (wholeServer + count - 1) / count};
            attributeIfDone(affected);
            notify(affected);
        });
    }
}

std::vector<CrashReport> CrashGuard::reports() const
{
    return crashReports(m_memory, m_timer.now(), m_rules, maximumReported);
}

void CrashGuard::onReports(const std::vector<CrashReport> &reports)
{
    const TimePoint now = m_timer.now();
    bool isAnyNew = false;
    for (const CrashReport &report : reports)
        isAnyNew = noteReport(m_memory, report, now) || isAnyNew;
    expireCrashRecords(m_memory, now, m_rules);
    if (isAnyNew)
        announceSoon();
}

int CrashGuard::suspectedRequests() const
{
    return countSuspectedFingerprints(m_memory, m_timer.now(), m_rules);
}

void CrashGuard::attributeIfDone(CrashTrial &trial)
{
    if (!trial.loss || trial.inFlight > 0 || trial.unverified > 0)
        return;
    const AttributedLoss loss = *std::exchange(trial.loss, std::nullopt);
    const TimePoint now = m_timer.now();
    expireCrashRecords(m_memory, now, m_rules);
    if (!noteLoss(m_memory, loss, now))
        return;
    m_log.record(EventId::CrashSuspicion, {},
                 {{"fingerprint", loss.fingerprint.value()},
                  {"server", loss.server.text()},
                  {"shareOfServer", static_cast<double>(loss.share) / wholeServer}});
    announceSoon();
}

void CrashGuard::announceSoon()
{
    if (std::exchange(m_isAnnouncing, true))
        return;
    m_announcement = m_timer.callAfter(announcementDelay, [this](const TimerTick &) {
        m_isAnnouncing = false;
        if (m_listener)
            m_listener();
    });
}

void CrashGuard::notify(CrashTrial &trial)
{
    for (auto &callback : std::exchange(trial.waiting, {}))
        m_timer.post(std::move(callback));
}

} // namespace oleander::gateway
