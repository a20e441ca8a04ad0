#include <oleander/decisions/request/CrashMemory.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace oleander {

namespace {

constexpr Duration cleanUpPeriod = seconds(10);
/// Servers that are lost within this time are assumed to have failed for the same reason.
constexpr Duration correlationWindow = milliseconds(500);
/// How long it is remembered that a server survived the execution of a query.
constexpr Duration survivalMemory = seconds(60);

bool isSuspected(const CrashRecord &record, TimePoint now, const CrashRules &rules)
{
    return record.attributedLoss > 0 && now < record.lastLoss + rules.refusal;
}

bool attributeLoss(CrashMemory &memory, const AttributedLoss &loss, TimePoint when)
{
    const auto &[fingerprint, server, share] = loss;
    CrashRecord &record = memory.records[fingerprint];
    if ((record.survivedAt && when <= *record.survivedAt)
        || std::ranges::find(record.servers, server) != record.servers.end())
        return false;
    if (isKnownHarmless(memory, fingerprint, when) && !record.servers.empty()
        && when < record.lastLoss + correlationWindow)
        return false;
    record.servers.push_back(server);
    record.attributedLoss += share;
    record.lastLoss = std::max(record.lastLoss, when);
    return true;
}

/// Remembers the survival, and forgets the older half of the others when there are too many.
void noteSurvival(CrashMemory &memory, Fingerprint fingerprint, TimePoint when)
{
    TimePoint &survivedAt = memory.survivals[fingerprint];
    survivedAt = std::max(survivedAt, when);
    if (memory.survivals.size() <= CrashMemory::maximumSurvivals)
        return;
    std::vector<TimePoint> times;
    times.reserve(memory.survivals.size());
    for (const auto &[survivor, time] : memory.survivals)
        times.push_back(time);
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::ranges::nth_element(times, middle);
    std::erase_if(memory.survivals, [&](const auto &entry) { return entry.second <= *middle; });
}

/// Clears the losses up to `when`, at which a server survived the execution. Returns true if there
/// were any.
bool clear(CrashRecord &record, TimePoint when)
{
    record.survivedAt = std::max(record.survivedAt.value_or(when), when);
    if (record.servers.empty() || record.lastLoss > when)
        return false;
    record.attributedLoss = 0;
    record.servers.clear();
    return true;
}

/// What is left of `period` since the last loss attributed to the fingerprint.
Duration leftSinceLoss(const CrashMemory &memory, Fingerprint fingerprint, TimePoint now,
                       Duration period)
{
    const auto found = memory.records.find(fingerprint);
    if (found == memory.records.end())
        return {};
    return std::max(Duration{}, found->second.lastLoss + period - now);
}

} // namespace

CrashRules crashRulesOf(const Policy &policy)
{
    CrashRules rules;
    rules.canary = policy.canary;
    rules.harmlessMemory = policy.canaryMemory;
    rules.refusal = policy.crashRefusal;
    rules.serverLimit = policy.crashServerLimit;
    return rules;
}

DispatchDecision decideDispatch(const CrashMemory &memory, Fingerprint fingerprint, TimePoint now,
                                const CrashRules &rules)
{
    const auto found = memory.records.find(fingerprint);
    if (found != memory.records.end()) {
        const CrashRecord &record = found->second;
        const bool isHarmless = isKnownHarmless(memory, fingerprint, now);
        if (isSuspected(record, now, rules)) {
            const int limit = isHarmless ? rules.harmlessServerLimit : rules.serverLimit;
            const bool isOverLimit = static_cast<int>(record.servers.size()) >= limit
                                     && record.attributedLoss >= wholeServer;
            if (isOverLimit)
                return DispatchDecision::Refuse;
            return isHarmless ? DispatchDecision::CanaryFirst : DispatchDecision::CanaryAlone;
        }
        if (isHarmless)
            return DispatchDecision::SendToAll;
    }
    return rules.canary ? DispatchDecision::CanaryFirst : DispatchDecision::SendToAll;
}

DispatchDecision decideResourceDispatch(const CrashMemory &memory, Fingerprint resource,
                                        TimePoint now, const CrashRules &rules)
{
    const DispatchDecision decision = decideDispatch(memory, resource, now, rules);
    const bool isOver = resourceRefusalLeft(memory, resource, now, rules) == Duration::zero();
    return decision == DispatchDecision::Refuse && isOver ? DispatchDecision::CanaryAlone
                                                          : decision;
}

std::int64_t noteServerLost(CrashMemory &memory, const ServerId &server,
                            const std::vector<Fingerprint> &suspects, TimePoint now)
{
    std::vector<Fingerprint> distinct = suspects;
    std::ranges::sort(distinct);
    distinct.erase(std::unique(distinct.begin(), distinct.end()), distinct.end());
    if (distinct.empty())
        return 0;
    const auto count = static_cast<std::int64_t>(distinct.size());
    const std::int64_t share = (wholeServer + count - 1) / count;
    for (const Fingerprint fingerprint : distinct)
        attributeLoss(memory, {fingerprint, server, share}, now);
    return share;
}

bool noteLoss(CrashMemory &memory, const AttributedLoss &loss, TimePoint when)
{
    return attributeLoss(memory, loss, when);
}

void notePeerLoss(CrashMemory &memory, Fingerprint fingerprint, const ServerId &server,
                  Duration age, TimePoint now)
{
    noteLoss(memory, {fingerprint, server, wholeServer}, now - age);
}

void noteHarmless(CrashMemory &memory, Fingerprint fingerprint, TimePoint now,
                  const CrashRules &rules)
{
    CrashRecord &record = memory.records[fingerprint];
    // A successful execution clears a partial attribution, but not that of a whole server.
    if (isSuspected(record, now, rules) && record.attributedLoss >= wholeServer)
        return;
    record.attributedLoss = 0;
    record.servers.clear();
    record.harmlessUntil = now + rules.harmlessMemory;
}

bool isKnownHarmless(const CrashMemory &memory, Fingerprint fingerprint, TimePoint now)
{
    const auto record = memory.records.find(fingerprint);
    if (record != memory.records.end() && now < record->second.harmlessUntil)
        return true;
    const auto survival = memory.survivals.find(fingerprint);
    return survival != memory.survivals.end() && now < survival->second + survivalMemory;
}

bool noteSurvived(CrashMemory &memory, Fingerprint fingerprint, TimePoint when)
{
    noteSurvival(memory, fingerprint, when);
    const auto found = memory.records.find(fingerprint);
    return found != memory.records.end() && clear(found->second, when);
}

std::vector<CrashReport> crashReports(const CrashMemory &memory, TimePoint now,
                                      const CrashRules &rules, std::size_t maximum)
{
    std::vector<std::pair<TimePoint, Fingerprint>> newest;
    for (const auto &[fingerprint, record] : memory.records) {
        if (isSuspected(record, now, rules))
            newest.emplace_back(record.lastLoss, fingerprint);
        else if (record.survivedAt && now < *record.survivedAt + rules.refusal)
            newest.emplace_back(*record.survivedAt, fingerprint);
    }
    std::ranges::sort(newest, std::greater{});
    newest.resize(std::min(newest.size(), maximum));
    std::vector<CrashReport> reports;
    for (const auto &[when, fingerprint] : newest) {
        const CrashRecord &record = memory.records.at(fingerprint);
        if (record.servers.empty()) {
            reports.push_back({{fingerprint, {}, 0}, now - when});
            continue;
        }
        const auto servers = static_cast<std::int64_t>(record.servers.size());
        const std::int64_t share = (record.attributedLoss + servers - 1) / servers;
        const int limit = isKnownHarmless(memory, fingerprint, now) ? rules.harmlessServerLimit
                                                                    : rules.serverLimit;
        const std::int64_t needed =
            std::max<std::int64_t>(limit, (wholeServer + share - 1) / share);
        // The receiver may know the earlier ones, and still has to learn when the last one was.
        for (std::int64_t index = servers - std::min(needed, servers); index < servers; ++index) {
            const ServerId &server = record.servers[static_cast<std::size_t>(index)];
            reports.push_back({{fingerprint, server, share}, now - when});
        }
    }
    return reports;
}

bool noteReport(CrashMemory &memory, const CrashReport &report, TimePoint now)
{
    const TimePoint when = now - report.age;
    if (!report.hasSurvived())
        return noteLoss(memory, report.loss, when);
    clear(memory.records[report.loss.fingerprint], when);
    return false;
}

Duration refusalLeft(const CrashMemory &memory, Fingerprint fingerprint, TimePoint now,
                     const CrashRules &rules)
{
    return leftSinceLoss(memory, fingerprint, now, rules.refusal);
}

Duration resourceRefusalLeft(const CrashMemory &memory, Fingerprint resource, TimePoint now,
                             const CrashRules &rules)
{
    return leftSinceLoss(memory, resource, now, rules.resourceRefusal);
}

int countSuspectedFingerprints(const CrashMemory &memory, TimePoint now, const CrashRules &rules)
{
    return static_cast<int>(std::ranges::count_if(
        memory.records, [&](const auto &entry) { return isSuspected(entry.second, now, rules); }));
}

void expireCrashRecords(CrashMemory &memory, TimePoint now, const CrashRules &rules)
{
    if (now < memory.lastCleanUp + cleanUpPeriod)
        return;
    memory.lastCleanUp = now;
    std::erase_if(memory.survivals,
                  [now](const auto &entry) { return now >= entry.second + survivalMemory; });
    std::erase_if(memory.records, [&](const auto &entry) {
        const CrashRecord &record = entry.second;
        return !isSuspected(record, now, rules) && now >= record.harmlessUntil
               && (!record.survivedAt || now >= *record.survivedAt + rules.refusal);
    });
}

} // namespace oleander
