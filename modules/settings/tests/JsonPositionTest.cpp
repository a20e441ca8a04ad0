#include <oleander/settings/JsonPosition.h>

#include <gtest/gtest.h>

using namespace oleander;

namespace {

const std::string document = "{\n"
                             "  \"a\": [1, {\"b\": \"x\\\"]\"}, [true]],\n"
                             "  \"c.d\": {\"e\": -1.5e3, \"f\": {}},\n"
                             "  \"g\": null\n"
                             "}\n";

TEST(JsonPosition, MembersAndElementsAreFound)
{
    const std::vector<std::pair<std::string, TextPosition>> expected{
        {"$", {1, 1}},          {"$.a", {2, 3}},   {"$.a[0]", {2, 9}},   {"$.a[1].b", {2, 13}},
        {"$.a[2][0]", {2, 28}}, {"$.c.d", {3, 3}}, {"$.c.d.f", {3, 24}}, {"$.g", {4, 3}},
    };
    for (const auto &[path, position] : expected) {
        const auto found = positionOf(document, path);
        ASSERT_TRUE(found) << path;
        EXPECT_EQ(*found, position) << path << " " << found->line << ":" << found->column;
    }
}

TEST(JsonPosition, PartsThatAreMissingAreAtWhatHoldsThem)
{
    EXPECT_EQ(positionOf(document, "$.a[1].missing.more"), (TextPosition{2, 12}));
    EXPECT_EQ(positionOf(document, "$.a[7]"), (TextPosition{2, 3}));
    EXPECT_EQ(positionOf(document, "$.g.h"), (TextPosition{4, 3}));
    EXPECT_FALSE(positionOf(document, "servers[x]"));
    EXPECT_FALSE(positionOf("{", "$"));
}

TEST(JsonPosition, BadInputIsReportedWithLineAndColumn)
{
    Findings findings;
    EXPECT_FALSE(checkJson("{\"a\": 1,\n \"b\": x}", findings));
    ASSERT_EQ(findings.size(), 1U);
    EXPECT_NE(findings[0].text.find("line 2, column 7"), std::string::npos) << findings[0].text;
    findings.clear();
    EXPECT_FALSE(checkJson("{\"a\": 1, \"a\": 2}", findings));
    EXPECT_TRUE(checkJson(document, findings));
}

} // namespace
