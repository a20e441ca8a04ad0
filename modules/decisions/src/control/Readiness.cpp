#include <oleander/decisions/control/Readiness.h>

namespace oleander {

namespace {

bool isPlatformWaitOver(const ReadinessFacts &facts, const ReadinessRules &rules)
{
    const bool isTimedOut = facts.hasPeerAnswered && facts.sinceStart >= rules.platformWait;
    return facts.hasPlatformReadEnded || isTimedOut;
}

std::string startingReason(const ReadinessFacts &facts, const ReadinessRules &rules)
{
    if (!isPlatformWaitOver(facts, rules))
        return "the platform has not answered yet";
    if (!facts.hasPlatformAnswered && !facts.hasPeerAnswered)
        return "neither the platform nor a peer confirmed what is held";
    if (facts.isFetching)
        return "newer sections are being fetched from peers";
    if (facts.missingPartitions > 0 && facts.sinceBaseSections < rules.partitionWait)
        return "partition maps are missing: " + std::to_string(facts.missingPartitions);
    return {};
}

} // namespace

std::string notReadyReason(const ReadinessFacts &facts, const ReadinessRules &rules)
{
    if (facts.isStopping)
        return "stopping";
    if (!facts.hasBaseSections)
        return "no configuration is held: neither the platform nor a peer has given one";
    if (facts.isAskingPeers)
        return "peers have not confirmed yet what is held";
    return facts.wasReady ? std::string() : startingReason(facts, rules);
}

} // namespace oleander
