#include <oleander/decisions/request/CrashMemory.h>

#include <algorithm>

namespace oleander {

namespace {

constexpr std::int64_t wholeServer = 1000;
constexpr Duration cleanUpPeriod = seconds(10);
/// Servers that are lost within this time are assumed to have failed for the same reason.
constexpr Duration correlationWindow = milliseconds(500);

bool isSuspected(const CrashRecord &record, TimePoint now, const Policy &policy)
{
    return record.attributedLoss > 0 && now < record.lastLoss + policy.crashRefusal;
}

void attributeLoss(CrashRecord &record, const ServerId &server, std::int64_t share, TimePoint when)
{
    if (std::ranges::find(record.servers, server) != record.servers.end())
        return;
    const bool isHarmless = when < record.harmlessUntil;
    if (isHarmless && !record.servers.empty() && when < record.lastLoss + correlationWindow) {
        return;
    }
    record.servers.push_back(server);
    record.attributedLoss += share;
    record.lastLoss = std::max(record.lastLoss, when);
}

} // namespace

DispatchDecision decideDispatch(const CrashMemory &memory, Fingerprint fingerprint, TimePoint now,
                                const Policy &policy)
{
    const auto found = memory.records.find(fingerprint);
    if (found != memory.records.end()) {
        const CrashRecord &record = found->second;
        const bool isHarmless = now < record.harmlessUntil;
        if (isSuspected(record, now, policy)) {
            const bool isOverLimit =
                static_cast<int>(record.servers.size()) >= policy.crashServerLimit
                && record.attributedLoss >= wholeServer;
            if (isOverLimit)
                return DispatchDecision::Refuse;
            return isHarmless ? DispatchDecision::CanaryFirst : DispatchDecision::CanaryAlone;
        }
        if (isHarmless)
            return DispatchDecision::SendToAll;
    }
    return policy.canary ? DispatchDecision::CanaryFirst : DispatchDecision::SendToAll;
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
        attributeLoss(memory.records[fingerprint], server, share, now);
    return share;
}

void notePeerLoss(CrashMemory &memory, Fingerprint fingerprint, const ServerId &server,
                  Duration age, TimePoint now)
{
    attributeLoss(memory.records[fingerprint], server, wholeServer, now - age);
}

void noteHarmless(CrashMemory &memory, Fingerprint fingerprint, TimePoint now, const Policy &policy)
{
    CrashRecord &record = memory.records[fingerprint];
    // A successful execution clears a partial attribution, but not that of a whole server.
    if (isSuspected(record, now, policy) && record.attributedLoss >= wholeServer)
        return;
    record.attributedLoss = 0;
    record.servers.clear();
    record.harmlessUntil = now + policy.canaryMemory;
}

int countSuspectedFingerprints(const CrashMemory &memory, TimePoint now, const Policy &policy)
{
    return static_cast<int>(std::ranges::count_if(
        memory.records, [&](const auto &entry) { return isSuspected(entry.second, now, policy); }));
}

void expireCrashRecords(CrashMemory &memory, TimePoint now, const Policy &policy)
{
    if (now < memory.lastCleanUp + cleanUpPeriod)
        return;
    memory.lastCleanUp = now;
    std::erase_if(memory.records, [&](const auto &entry) {
        return !isSuspected(entry.second, now, policy) && now >= entry.second.harmlessUntil;
    });
}

} // namespace oleander
