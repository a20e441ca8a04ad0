#include <oleander/decisions/request/ColdStart.h>
#include <oleander/decisions/request/RateLimit.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace oleander;

namespace {

std::vector<InstanceId> instanceIds(int count)
{
    std::vector<InstanceId> ids;
    ids.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number)
        ids.emplace_back("i-" + std::to_string(number));
    return ids;
}

std::vector<ColdStartShare> sharesOf(const ColdStartRules &rules, int instances,
                                     std::span<const InstanceId> candidates)
{
    std::vector<ColdStartShare> shares;
    for (const InstanceId &instance : instanceIds(instances))
        shares.push_back(coldStartShare(rules, {instance, instances, candidates}, ServerId("s")));
    return shares;
}

int mostInAnySecond(std::vector<TimePoint> arrivals)
{
    std::ranges::sort(arrivals);
    std::ptrdiff_t most = 0;
    auto first = arrivals.begin();
    for (auto last = arrivals.begin(); last != arrivals.end(); ++last) {
        while (*last - *first >= seconds(1))
            ++first;
        most = std::max(most, last - first + 1);
    }
    return static_cast<int>(most);
}

// Guards against a crash of a cold server by senders that have all saved a request, or that share
// an allowance with instances of which they do not know: two that believe to be alone are among
// them.
RC_GTEST_PROP(ColdStart, AllInstancesTogetherStayWithinTheBound, ())
{
    const ColdStartRules rules{seconds(20), *rc::gen::inRange(1, 200) * 0.5};
    const int instances = *rc::gen::inRange(1, 400);
    const auto candidates = instanceIds(*rc::gen::inRange(0, std::min(instances, 32) + 1));
    auto shares = sharesOf(rules, instances, candidates);
    for (const InstanceId &stray : {InstanceId("stray-1"), InstanceId("stray-2")})
        shares.push_back(coldStartShare(rules, {stray, std::nullopt, {&stray, 1}}, ServerId("s")));
    TimePoint now = TimePoint{} + seconds(100);
    std::vector<RateLimit> limits;
    for (const ColdStartShare &share : shares) {
        if (share.senders > 0)
            limits.push_back(startRateLimit(coldStartRate(rules.perSecond), share.senders, 1, now));
    }
    // Some have sent nothing for a while and have saved what can be saved.
    now += milliseconds(*rc::gen::inRange(0, 4000));
    std::vector<TimePoint> arrivals;
    const TimePoint end = now + seconds(4);
    while (now < end) {
        for (RateLimit &limit : limits) {
            if (untilToken(limit, now) > Duration{})
                continue;
            takeToken(limit, now);
            arrivals.push_back(now);
        }
        now += milliseconds(*rc::gen::inRange(1, 120));
    }
    RC_ASSERT(mostInAnySecond(arrivals) <= coldStartBound(rules.perSecond));
}

// Guards against an allowance that is too small to be of use: a service whose servers are all cold
// would not be served. The least share is that of a fleet of three.
TEST(ColdStart, SendersUseThreeTenthsOfTheAcceptedRateAtLeast)
{
    for (const double perSecond : {2.0, 10.0, 60.0, 500.0}) {
        for (const int instances : {3, 35, 146, 950}) {
            double used = 0;
            for (const ColdStartShare &share :
                 sharesOf({seconds(20), perSecond}, instances,
                          instanceIds(std::clamp(instances / 6, 3, 32)))) {
                if (share.senders > 0)
                    used += coldStartRate(perSecond) / share.senders;
            }
            EXPECT_GE(used, (instances == 3 ? 0.3 : 0.47) * perSecond)
                << instances << " instances, " << perSecond;
            EXPECT_LE(used, perSecond) << instances << " instances, " << perSecond;
        }
    }
}

TEST(ColdStart, InstanceThatKnowsNoOtherSendsNothing)
{
    const ColdStartRules rules{seconds(20), 10};
    EXPECT_EQ(coldStartShare(rules, {InstanceId("i-1"), std::nullopt, {}}, ServerId("s")).senders,
              0);
}

// Guards against instances of a large fleet that each ask a cold server whether it is cold.
TEST(ColdStart, HealthProbesOfAllInstancesTogetherAreFew)
{
    for (const int instances : {3, 35, 950}) {
        double perSecond = 0;
        for (const ColdStartShare &share :
             sharesOf({seconds(20), 10}, instances, instanceIds(std::min(instances, 32))))
            perSecond += 1 / std::chrono::duration<double>(share.probePeriod).count();
        EXPECT_LE(perSecond, 4.01) << instances;
    }
}

TEST(ColdStart, UsualRequestsReturnInSteps)
{
    EXPECT_EQ(shareAfterColdStart(Duration{}), 0.25);
    EXPECT_EQ(shareAfterColdStart(milliseconds(1500)), 0.5);
    EXPECT_EQ(shareAfterColdStart(seconds(3)), 1);
    EXPECT_EQ(shareAfterColdStart(seconds(3000)), 1);
}

} // namespace
