#include <oleander/decisions/request/ExtraLoad.h>
#include <oleander/decisions/request/ReplicaChoice.h>
#include <oleander/decisions/request/ServerHealth.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

using namespace oleander;

RC_GTEST_PROP(ReplicaChoice, RespectsLimitsAndPrefersTheLeastUsedServer, ())
{
    const auto count = *rc::gen::inRange<std::size_t>(0, 8);
    std::vector<ReplicaCandidate> candidates;
    for (std::size_t index = 0; index < count; ++index) {
        candidates.push_back({index * 3, *rc::gen::inRange(0, 4), *rc::gen::inRange(1, 4),
                              *rc::gen::inRange(0, 100'000), *rc::gen::inRange(0, 1000),
                              *rc::gen::arbitrary<bool>()});
    }
    const auto chosen = chooseReplica(candidates, *rc::gen::arbitrary<std::uint64_t>());
    const auto isAvailable = [](const ReplicaCandidate &each) {
        return each.inFlight < each.concurrencyLimit;
    };
    RC_ASSERT(chosen.has_value() == std::ranges::any_of(candidates, isAvailable));
    if (!chosen)
        return;
    const auto best = std::ranges::find(candidates, *chosen, &ReplicaCandidate::index);
    RC_ASSERT(best != candidates.end());
    RC_ASSERT(isAvailable(*best));
    // No available server with a smaller used share of its limit exists, whatever load it reports.
    for (const ReplicaCandidate &each : candidates) {
        const bool isLessUsed = each.inFlight * 1000 / each.concurrencyLimit
                                < best->inFlight * 1000 / best->concurrencyLimit;
        RC_ASSERT(!isAvailable(each) || !isLessUsed);
    }
}

RC_GTEST_PROP(ServerHealth, EjectionStaysWithinItsLimit, ())
{
    const auto servers = *rc::gen::inRange(1, 60);
    const PerMille limit{static_cast<std::uint32_t>(*rc::gen::inRange(0, 1001))};
    int ejected = 0;
    while (mayEject(ejected, servers, limit))
        ++ejected;
    RC_ASSERT(ejected < servers);
    RC_ASSERT(ejected * 1000 <= servers * static_cast<int>(limit.value));
    RC_ASSERT(ejected + 1 == servers
              || (ejected + 1) * 1000 > servers * static_cast<int>(limit.value));
}

RC_GTEST_PROP(ServerHealth, EjectionAndDrainingExpireAndSlowStartOnlyGrows, ())
{
    const Policy policy;
    const TimePoint now{seconds(*rc::gen::inRange(1, 1000))};
    ServerHealth health;
    const auto times = *rc::gen::inRange(1, 10);
    for (int count = 0; count < times; ++count)
        eject(health, now, policy);
    RC_ASSERT(isEjected(health, now));
    RC_ASSERT(!isEjected(health, now + 8 * policy.ejectionTime));
    noteDraining(health, now, policy);
    RC_ASSERT(isDraining(health, now + policy.drainMemory - microseconds(1)));
    RC_ASSERT(!isDraining(health, now + policy.drainMemory));

    const auto slots = *rc::gen::inRange(1, 64);
    int previous = 1;
    for (int second = 0; second <= 12; ++second) {
        const int allowed =
            concurrencyLimit(health, slots, policy, health.slowStartSince + seconds(second));
        RC_ASSERT(allowed >= previous);
        previous = allowed;
    }
    noteServerShed(health);
    RC_ASSERT(concurrencyLimit(health, slots, policy, health.slowStartSince + seconds(12)) >= 1);
    RC_ASSERT(concurrencyLimit(health, slots, policy, health.slowStartSince + seconds(12))
              <= previous);
}

RC_GTEST_PROP(ExtraLoad, BudgetLimitsExtraSubRequestsAndShedsReduceIt, ())
{
    const PerMille share{static_cast<std::uint32_t>(*rc::gen::inRange(0, 200))};
    ExtraLoadBudget budget;
    const std::int64_t startCredit = budget.credit;
    std::int64_t first = 0;
    std::int64_t extra = 0;
    std::int64_t sheds = 0;
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12));
    for (const int step : steps) {
        if (step < 8) {
            earnExtra(budget, share);
            ++first;
        } else if (step < 11) {
            extra += takeExtra(budget) ? 1 : 0;
        } else {
            noteShed(budget);
            ++sheds;
        }
        RC_ASSERT(extra * 1000 <= startCredit + first * share.value);
    }
    for (int count = 0; count < 10; ++count)
        noteShed(budget);
    RC_ASSERT(!takeExtra(budget));
}
