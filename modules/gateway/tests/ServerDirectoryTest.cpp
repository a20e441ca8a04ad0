#include "support/TestGateway.h"

#include <gtest/gtest.h>

#include <map>

using namespace oleander;
using namespace oleander::gateway;
using namespace oleander::gateway::testing;

namespace {

struct ServerDirectoryTest : ::testing::Test
{
    ServerDirectory directory{[this](const ServerId &id, const ServerRegistration *registration) {
        if (registration)
            present[id] = *registration;
        else
            present.erase(id);
    }};
    std::map<ServerId, ServerRegistration> present;
    const TimePoint start{seconds(100)};
};

TEST_F(ServerDirectoryTest, ServerIsRemovedImmediatelyWhileTheRegistryAnswers)
{
    directory.put(registrationOf(1, 0));
    directory.remove(registrationOf(1, 0).id, start);
    EXPECT_TRUE(present.empty());
}

TEST_F(ServerDirectoryTest, RegistrationExpiredInAnOutageIsKeptUntilServersCanRegisterAgain)
{
    directory.put(registrationOf(1, 0));
    directory.put(registrationOf(1, 1));
    directory.onRegistryReconnected(start);
    directory.replaceAll({}, start);
    EXPECT_EQ(present.size(), 2U);
    directory.put(registrationOf(1, 0));
    directory.expire(start + seconds(1));
    EXPECT_EQ(present.size(), 2U);
    directory.expire(start + ServerDirectory::reregistrationPeriod);
    EXPECT_EQ(present.size(), 1U);
    EXPECT_TRUE(present.contains(registrationOf(1, 0).id));
}

TEST_F(ServerDirectoryTest, DrainingStateAfterAnOutageTakesEffectImmediately)
{
    directory.put(registrationOf(1, 0));
    directory.onRegistryReconnected(start);
    ServerRegistration draining = registrationOf(1, 0);
    draining.isDraining = true;
    directory.put(draining);
    EXPECT_TRUE(present.begin()->second.isDraining);
}

TEST_F(ServerDirectoryTest, FullReadReplacesAllRegistrations)
{
    directory.put(registrationOf(1, 0));
    directory.replaceAll({registrationOf(2, 0)}, start);
    EXPECT_EQ(present.size(), 1U);
    EXPECT_TRUE(present.contains(registrationOf(2, 0).id));
}

} // namespace
