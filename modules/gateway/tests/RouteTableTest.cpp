#include <oleander/gateway/RouteTable.h>

#include <gtest/gtest.h>

using namespace oleander;
using namespace oleander::gateway;

namespace {

Route routeAt(const std::string &name, const std::string &host, const std::string &prefix)
{
    Route route;
    route.id = RouteId(name);
    route.host = host;
    route.prefix = prefix;
    return route;
}

RouteTable tableOf(std::vector<Route> routes)
{
    GatewayConfiguration configuration;
    configuration.version = SectionVersion(3);
    configuration.routes = std::move(routes);
    return RouteTable(std::move(configuration));
}

TEST(RouteTable, LongestPrefixOfTheHostWins)
{
    const RouteTable table =
        tableOf({routeAt("short", "a.example", "/a/"), routeAt("long", "a.example", "/a/b/"),
                 routeAt("root", "b.example", "/")});
    EXPECT_EQ(table.find("a.example", "/a/x")->id.text(), "short");
    EXPECT_EQ(table.find("a.example", "/a/b/x")->id.text(), "long");
    EXPECT_EQ(table.find("a.example", "/a/b/")->id.text(), "long");
    EXPECT_EQ(table.find("a.example", "/a/bc")->id.text(), "short");
    EXPECT_EQ(table.find("b.example", "/a/b/x")->id.text(), "root");
}

TEST(RouteTable, PathWithoutMatchingRouteIsNotFound)
{
    const RouteTable table = tableOf({routeAt("only", "a.example", "/a/")});
    EXPECT_EQ(table.find("a.example", "/a"), nullptr);
    EXPECT_EQ(table.find("a.example", "/b/x"), nullptr);
    EXPECT_EQ(table.find("c.example", "/a/x"), nullptr);
    EXPECT_EQ(table.find("a.example", ""), nullptr);
}

TEST(RouteTable, HostMatchIgnoresCaseAndPort)
{
    const RouteTable table = tableOf({routeAt("only", "a.example", "/a/")});
    EXPECT_NE(table.find("A.Example:8080", "/a/x"), nullptr);
}

TEST(Route, RequiredShardsAreNotAffectedByRoundingErrors)
{
    Route route;
    route.shards.resize(20);
    route.minimumShare = 0.85;
    EXPECT_EQ(requiredShards(route), 17U);
    route.minimumShare = 0.89;
    EXPECT_EQ(requiredShards(route), 18U);
    route.minimumShare = 0;
    EXPECT_EQ(requiredShards(route), 1U);
    route.minimumShare = 1;
    EXPECT_EQ(requiredShards(route), 20U);
}

} // namespace
