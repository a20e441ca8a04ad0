#include <oleander/reports/DaemonStatus.h>

#include <gtest/gtest.h>

using namespace oleander;

TEST(DaemonStatus, ReadsThePageOfADaemon)
{
    Reason reason;
    const auto status = parseDaemonStatus(
        R"({"instance": "amms-01", "fleet": "amms", "dataCentre": "cdmx-a", "ready": true,
            "notReadyReason": "", "stopping": false, "configurationVersion": 12,
            "configurationAgeMs": 1.5, "platformAgeMs": null, "coordinated": ["a", "b"],
            "connections": 3, "activeQueries": 4, "waitingSubRequests": 5, "refusals": 6,
            "suspicions": 7, "sections": [{"name": "config", "version": 12, "ageMs": 1.5,
            "refusedVersion": 13, "refusedReason": "$.defaults: bad"}]})",
        reason);
    ASSERT_TRUE(status) << reason.text;
    EXPECT_EQ(status->instance, InstanceId("amms-01"));
    EXPECT_EQ(status->configuration, SectionVersion(12));
    EXPECT_EQ(status->configurationAge, microseconds(1500));
    EXPECT_EQ(status->coordinated.size(), 2U);
    EXPECT_EQ(status->suspicions, 7);
    EXPECT_EQ(status->refusedConfiguration, "version 13: $.defaults: bad");
}

TEST(DaemonStatus, RefusesWhatIsNoStatusPage)
{
    Reason reason;
    EXPECT_FALSE(parseDaemonStatus("{}", reason));
    EXPECT_FALSE(parseDaemonStatus("<html>", reason));
    EXPECT_FALSE(parseDaemonStatus(R"({"instance": 1})", reason));
}
