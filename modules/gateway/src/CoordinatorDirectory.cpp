#include "LocalFirstRank.h"

#include <oleander/decisions/control/CoordinatorChoice.h>
#include <oleander/gateway/CoordinatorDirectory.h>

#include <algorithm>
#include <tuple>

namespace oleander::gateway {

namespace {

/// Time after which the list of a seed counts only if no other seed is heard of.
constexpr Duration listLifetime = seconds(10);
constexpr Duration initialAvoidance = seconds(1);
constexpr int maximumDoublings = 3;
/// Reports of a coordinator's load are ignored after this time.
constexpr Duration reportLifetime = seconds(2);
/// Gathers in progress that make up one level of load. Coordinators of the same level are equal.
constexpr std::size_t gathersPerLevel = 8;

} // namespace

bool CoordinatorDirectory::onList(const InstanceId &seed, std::vector<Instance> coordinators,
                                  TimePoint now)
{
    m_lists[seed] = {std::move(coordinators), now};
    std::erase_if(m_lists,
                  [now](const auto &entry) { return now - entry.second.heardAt > listLifetime; });
    std::vector<Instance> merged;
    for (const auto &[id, list] : m_lists)
        merged.insert(merged.end(), list.coordinators.begin(), list.coordinators.end());
    std::ranges::sort(merged, {}, &Instance::id);
    const auto haveSameId = [](const Instance &left, const Instance &right) {
        return left.id == right.id;
    };
    merged.erase(std::unique(merged.begin(), merged.end(), haveSameId), merged.end());
    if (merged == m_known)
        return false;
    m_known = std::move(merged);
    std::erase_if(m_evidence, [this](const auto &entry) {
        return !std::ranges::binary_search(m_known, entry.first, {}, &Instance::id);
    });
    return true;
}

void CoordinatorDirectory::noteReply(const InstanceId &coordinator, std::size_t activeGathers,
                                     TimePoint now)
{
    m_evidence[coordinator] = {0, {}, activeGathers, now};
}

void CoordinatorDirectory::noteFailure(const InstanceId &coordinator, TimePoint now)
{
    Evidence &evidence = m_evidence[coordinator];
    const int doublings = std::min(evidence.failures++, maximumDoublings);
    evidence.avoidedUntil = now + initialAvoidance * (1 << doublings);
}

std::optional<Instance> CoordinatorDirectory::choose(const std::vector<DataCentreId> &dataCentres,
                                                     const std::vector<InstanceId> &excluded,
                                                     TimePoint now) const
{
    const auto isEligible = [&](const Instance &instance) {
        const bool isNear =
            dataCentres.empty()
            || std::ranges::find(dataCentres, instance.dataCentre) != dataCentres.end();
        return isNear && instance.id != m_self && !isAvoided(instance.id, now)
               && std::ranges::find(excluded, instance.id) == excluded.end();
    };
    const auto rank = [&](const Instance &instance) {
        const std::uint64_t score = rendezvousScore(m_self.text(), instance.id.text());
        return std::tuple(loadLevel(instance.id, now),
                          localFirstRank(score, instance.dataCentre == m_dataCentre));
    };
    const Instance *best = nullptr;
    for (const Instance &instance : m_known) {
        if (isEligible(instance) && (!best || rank(instance) < rank(*best)))
            best = &instance;
    }
    return best ? std::optional(*best) : std::nullopt;
}

std::size_t CoordinatorDirectory::loadLevel(const InstanceId &coordinator, TimePoint now) const
{
    const auto found = m_evidence.find(coordinator);
    if (found == m_evidence.end() || now - found->second.reportedAt > reportLifetime)
        return 0;
    return found->second.activeGathers / gathersPerLevel;
}

bool CoordinatorDirectory::isAvoided(const InstanceId &coordinator, TimePoint now) const
{
    const auto found = m_evidence.find(coordinator);
    return found != m_evidence.end() && now < found->second.avoidedUntil;
}

} // namespace oleander::gateway
