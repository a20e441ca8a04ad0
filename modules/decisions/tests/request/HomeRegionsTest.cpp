#include <oleander/decisions/request/HomeRegions.h>

#include <gtest/gtest.h>

#include <vector>

using namespace oleander;

// Guards against data that leaves its home region for one whose name only begins alike.
TEST(HomeRegions, RegionIsADataCentreOrAllWithItsPrefix)
{
    const std::vector<std::string> regions{"eu", "us-east-1"};
    EXPECT_TRUE(isInHomeRegions(regions, DataCentreId("eu")));
    EXPECT_TRUE(isInHomeRegions(regions, DataCentreId("eu-a")));
    EXPECT_TRUE(isInHomeRegions(regions, DataCentreId("us-east-1")));
    EXPECT_FALSE(isInHomeRegions(regions, DataCentreId("eur-a")));
    EXPECT_FALSE(isInHomeRegions(regions, DataCentreId("us-east-2")));
    EXPECT_FALSE(isInHomeRegions(regions, DataCentreId("us")));
    EXPECT_FALSE(isInHomeRegions(regions, DataCentreId("")));
}

TEST(HomeRegions, RequestWithoutRegionsMayGoAnywhere)
{
    EXPECT_TRUE(isInHomeRegions({}, DataCentreId("eu-a")));
}
