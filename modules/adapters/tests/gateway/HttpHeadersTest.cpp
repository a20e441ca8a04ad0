#include "gateway/HttpHeaders.h"

#include "concurrency/AsioHeaders.h"

#include <gtest/gtest.h>

#include <chrono>

using namespace oleander;
namespace http = boost::beast::http;

namespace {

TEST(HttpHeaders, FieldsThatConnectionNamesAreNotPassedOn)
{
    http::fields fields;
    fields.insert("Connection", "close, X-First");
    fields.insert("Connection", "x-SECOND");
    fields.insert("x-first", "1");
    fields.insert("X-Second", "2");
    fields.insert("X-Third", "3");
    const auto kept = endToEndFields(fields, {});
    ASSERT_EQ(kept.size(), 1U);
    EXPECT_EQ(kept.front(), (gateway::HttpField{"X-Third", "3"}));
}

// Guards against work that grows with the product of tokens and fields: a hundred clients with such
// heads, of legal size, held up a process for twelve seconds (CONFIG).
TEST(HttpHeaders, ManyTokensAndFieldsTakeLittleTime)
{
    http::fields fields;
    std::string tokens = "a";
    for (int token = 0; token < 3800; ++token)
        tokens += ",a";
    fields.insert("Connection", tokens);
    for (int field = 0; field < 1900; ++field)
        fields.insert("b", "");
    const auto begin = std::chrono::steady_clock::now();
    for (int request = 0; request < 20; ++request)
        EXPECT_EQ(endToEndFields(fields, {}).size(), 1900U);
    EXPECT_LT(std::chrono::steady_clock::now() - begin, std::chrono::milliseconds(500));
}

} // namespace
