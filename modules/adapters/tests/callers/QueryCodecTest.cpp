#include "callers/QueryGenerators.h"

#include <oleander/adapters/callers/QueryCodec.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace oleander;

RC_GTEST_PROP(QueryCodec, QueryComesBackEqual, ())
{
    const Query query = generators::query();
    Reason reason;
    const auto read = queryFromJson(queryToJson(query), reason);
    RC_ASSERT(reason.text == "");
    RC_ASSERT(read == query);
}

RC_GTEST_PROP(QueryCodec, AnswerComesBackEqual, ())
{
    const Answer answer = generators::answer();
    Reason reason;
    const auto read = answerFromJson(answerToJson(answer), reason);
    RC_ASSERT(reason.text == "");
    RC_ASSERT(read == answer);
}

RC_GTEST_PROP(QueryCodec, CutOrChangedTextIsReadOrRefusedButNeverCrashes, ())
{
    std::string text = queryToJson(generators::query());
    text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
    text.resize(*rc::gen::inRange<std::size_t>(0, text.size()));
    Reason reason;
    RC_ASSERT(!queryFromJson(text, reason));
    RC_ASSERT(reason.kind == ErrorKind::BadRequest);
    RC_ASSERT(reason.text.starts_with("$"));
}

namespace {

struct BadQuery
{
    std::string member;
    std::string fault;
};

const std::vector<BadQuery> badQueries{
    {R"("color":1)", "$.color: is not a known key"},
    {R"("backend":"b")", "$.backend: this key stands twice"},
    {R"("payload":1)", "$.payload: must be a string"},
    {R"("service":null)", "$.service: must be a string"},
    {R"("idempotent":"no")", "$.idempotent: must be true or false"},
    {R"("urgency":"soon")", "$.urgency: is not one of the known words"},
    {R"("patience":7)", "$.patience: must be a string"},
    {R"("deadlineMs":NaN)", "$.deadlineMs: not valid JSON"},
    {R"("deadlineMs":1e999)", "$.deadlineMs: not valid JSON, or a number too large"},
    {R"("deadlineMs":"5")", "$.deadlineMs: must be a number of milliseconds"},
    {R"("deadlineMs":-1)", "$.deadlineMs: must be from 0.001 to 3600000.0 milliseconds, is -1"},
    {R"("deadlineMs":0)", "$.deadlineMs: must be from"},
    {R"("deadlineMs":3600001)", "$.deadlineMs: must be from"},
    {R"("issuedAtMs":-1)", "$.issuedAtMs: must be from"},
    {R"("limit":-1)", "$.limit: must be a whole number"},
    {R"("limit":1.5)", "$.limit: must be a whole number"},
    {R"("limit":1000001)", "$.limit: must be a whole number"},
    {R"("shards":"s")", "$.shards: must be a list"},
    {R"("shards":["s",2])", "$.shards[1]: must be a string"},
    {R"("shards":["s",""])", "$.shards[1]: must have 1 to 128 bytes, has 0"},
    {R"("shards":["s","s"])", "$.shards[1]: stands twice"},
    {R"("shards":["s"],"endKey":"k")", "$.shards: must not be given together"},
    {R"("firstKey":"k","endKey":"k")", "$.endKey: must be above firstKey"},
    {R"("service":"a\nb")", "$.service: must not hold control characters"},
    {R"("shards":[[[[[[[[[1]]]]]]]]])", "$.shards[0][0][0][0][0][0][0]: nested deeper"},
    {R"("payload":")" + std::string(1, '\xff') + "\"", "$.payload: not valid JSON"},
};

} // namespace

TEST(QueryCodec, FaultsAreNamedByPath)
{
    for (const BadQuery &bad : badQueries) {
        const std::string text =
            R"({"caller":"c","requestId":"r","backend":"b",)" + bad.member + "}";
        Reason reason;
        EXPECT_FALSE(queryFromJson(text, reason)) << bad.member;
        EXPECT_TRUE(reason.text.starts_with(bad.fault)) << bad.member << " -> " << reason.text;
    }
}

TEST(QueryCodec, RequiredKeysAndObjectForm)
{
    Reason reason;
    EXPECT_FALSE(queryFromJson(R"({"caller":"c","requestId":"r"})", reason));
    EXPECT_EQ(reason.text, "$.backend: is missing");
    EXPECT_FALSE(queryFromJson("[]", reason));
    EXPECT_EQ(reason.text, "$: must be an object");
    EXPECT_FALSE(queryFromJson("", reason));
    EXPECT_FALSE(queryFromJson(std::string(100000, '['), reason));
}

TEST(QueryCodec, ErrorAndStatusFollowTheTable)
{
    Answer answer = refusal(ErrorKind::OverFairShare, "");
    EXPECT_EQ(httpStatusOf(answer), 429);
    EXPECT_NE(answerToJson(answer).find(R"("error":{"kind":"overFairShare")"), std::string::npos);
    answer.outcome = Outcome::Partial;
    EXPECT_EQ(httpStatusOf(answer), 200);
}
