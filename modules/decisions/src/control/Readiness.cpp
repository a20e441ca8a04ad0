#include <oleander/decisions/control/Readiness.h>

namespace oleander {

namespace {

bool isPlatformHeard(const ReadinessFacts &facts, const ConfirmRules &rules)
{
    const bool mayGoWithout = facts.hasPeerAnswered && facts.sinceStart >= rules.platformPatience;
    return facts.isPlatformAsked || mayGoWithout;
}

std::string notStartedReason(const ReadinessFacts &facts, const ConfirmRules &rules)
{
    if (!isPlatformHeard(facts, rules))
        return "the platform has not answered yet";
    if (!facts.hasPlatformAnswered && !facts.hasPeerAnswered)
        return "neither the platform nor a peer confirmed what is held";
    if (facts.isFetching)
        return "newer sections are being fetched from peers";
    if (facts.missingPartitions > 0 && facts.sinceBase < rules.partitionPatience)
        return "partition maps are missing: " + std::to_string(facts.missingPartitions);
    return {};
}

} // namespace

std::string notReadyReason(const ReadinessFacts &facts, const ConfirmRules &rules)
{
    if (facts.isStopping)
        return "stopping";
    if (!facts.hasBase)
        return "no configuration is held: neither the platform nor a peer has given one";
    if (facts.isAskingPeers)
        return "peers have not confirmed yet what is held";
    return facts.wasReady ? std::string() : notStartedReason(facts, rules);
}

} // namespace oleander
