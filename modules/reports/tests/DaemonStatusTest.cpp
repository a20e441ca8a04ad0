#include <oleander/reports/DaemonStatus.h>

#include <gtest/gtest.h>

using namespace oleander;

TEST(DaemonStatus, SurvivesJsonAndRefusesWhatIsNoStatus)
{
    DaemonStatus status;
    status.instance = InstanceId("amms-01");
    status.dataCentre = DataCentreId("cdmx-a");
    status.isReady = true;
    status.uptime = milliseconds(1500);
    status.configuration = SectionVersion(12);
    status.configurationAge = milliseconds(900);
    status.coordinated = {ServiceId("a"), ServiceId("b")};
    status.connections = 3;
    status.activeQueries = 4;
    status.waitingSubRequests = 5;
    status.refusals = 6;
    status.suspicions = 7;
    Reason reason;
    EXPECT_EQ(parseDaemonStatus(toJson(status), reason), status) << reason.text;
    EXPECT_FALSE(parseDaemonStatus("{}", reason));
    EXPECT_FALSE(parseDaemonStatus(R"({"instance": 1})", reason));
}
