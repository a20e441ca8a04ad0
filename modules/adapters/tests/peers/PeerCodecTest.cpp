#include "callers/QueryGenerators.h"

#include <oleander/adapters/peers/PeerCodec.h>

#include <gtest/gtest.h>
#include <msgpack.hpp>
#include <rapidcheck/gtest.h>

using namespace oleander;

namespace {

std::vector<SectionSummary> summaries()
{
    std::vector<SectionSummary> result;
    for (int count = *rc::gen::inRange(0, 4); count > 0; --count) {
        result.push_back({*generators::text(0, 9),
                          SectionVersion(*rc::gen::arbitrary<std::uint64_t>()),
                          *rc::gen::arbitrary<std::uint64_t>()});
    }
    return result;
}

ViewExchange views()
{
    ViewExchange views;
    views.from = InstanceId(*generators::text(0, 9));
    views.heldDigest = *rc::gen::arbitrary<std::uint64_t>();
    views.statesHeld = *rc::gen::arbitrary<bool>();
    views.held = summaries();
    views.wanted = *rc::gen::container<std::vector<std::string>>(generators::text(0, 9));
    for (SectionSummary &summary : summaries())
        views.newer.push_back({std::move(summary), *rc::gen::arbitrary<std::string>()});
    for (int count = *rc::gen::inRange(0, 3); count > 0; --count) {
        views.crashes.push_back({ServiceId(*generators::text(0, 9)),
                                 Fingerprint(*rc::gen::arbitrary<std::uint64_t>()),
                                 ServerId(*generators::text(0, 9)), *generators::duration()});
    }
    views.platformAge = *rc::gen::element(Duration::max(), Duration(7));
    views.isStopping = *rc::gen::arbitrary<bool>();
    return views;
}

RegistryPosition arbitraryPosition()
{
    return {*rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<std::uint64_t>()};
}

RegistryChangesRequest registryQuestion()
{
    RegistryChangesRequest question;
    if (*rc::gen::arbitrary<bool>())
        question.after = arbitraryPosition();
    question.wait = *generators::duration();
    return question;
}

RegistryChanges registryNews()
{
    RegistryChanges news;
    news.isKnown = *rc::gen::arbitrary<bool>();
    for (int count = *rc::gen::inRange(0, 4); count > 0; --count) {
        news.items.push_back({*rc::gen::arbitrary<std::string>(),
                              *rc::gen::arbitrary<std::string>(), *rc::gen::arbitrary<bool>()});
    }
    news.position = arbitraryPosition();
    news.age = *generators::duration();
    return news;
}

GatherRules gatherRules()
{
    GatherRules rules;
    rules.route = *generators::text(0, 9);
    for (int count = *rc::gen::inRange(0, 5); count > 0; --count)
        rules.shards.emplace_back(*generators::text(0, 9));
    rules.recordLimit = *rc::gen::arbitrary<std::uint64_t>();
    rules.minimumShare = *rc::gen::element(0.0, 0.95, 1.0);
    rules.maximumAttempts = *rc::gen::arbitrary<int>();
    rules.priority = *rc::gen::arbitrary<int>();
    rules.objective = *generators::duration();
    return rules;
}

PeerGather gather()
{
    PeerGather gather;
    gather.from = InstanceId(*generators::text(0, 9));
    gather.request = RequestId(*generators::text(0, 9));
    gather.method = *rc::gen::arbitrary<std::string>();
    gather.target = *rc::gen::arbitrary<std::string>();
    gather.fields = {{*rc::gen::arbitrary<std::string>(), *rc::gen::arbitrary<std::string>()}};
    gather.body = *rc::gen::arbitrary<std::string>();
    gather.rulesDigest = *rc::gen::arbitrary<std::uint64_t>();
    if (*rc::gen::arbitrary<bool>())
        gather.rules = gatherRules();
    gather.shards = *rc::gen::arbitrary<std::vector<std::uint32_t>>();
    gather.timeLeft = *generators::duration();
    gather.replyWithin = -*generators::duration();
    gather.isRerun = *rc::gen::arbitrary<bool>();
    return gather;
}

PeerGatherReply gathered()
{
    PeerGatherReply reply;
    reply.needsRules = *rc::gen::arbitrary<bool>();
    reply.isBusy = *rc::gen::arbitrary<bool>();
    reply.status = *rc::gen::arbitrary<int>();
    reply.body = *rc::gen::arbitrary<std::string>();
    for (int count = *rc::gen::inRange(0, 4); count > 0; --count)
        reply.receipts.push_back(
            {*rc::gen::arbitrary<std::uint32_t>(), *rc::gen::arbitrary<std::string>()});
    reply.missingShards = *rc::gen::arbitrary<std::uint64_t>();
    reply.elapsed = *generators::duration();
    return reply;
}

PeerRequest request()
{
    const int kind = *rc::gen::inRange(0, 4);
    if (kind == 3)
        return gather();
    if (kind == 0)
        return views();
    if (kind == 1)
        return registryQuestion();
    return PeerQuery{InstanceId(*generators::text(0, 9)), generators::query(),
                     *generators::duration(), SectionVersion(3), SectionVersion(4)};
}

PeerReply reply()
{
    const int kind = *rc::gen::inRange(0, 4);
    if (kind == 3)
        return gathered();
    if (kind == 0)
        return views();
    if (kind == 1)
        return registryNews();
    return PeerAnswer{generators::answer(), SectionVersion(5), SectionVersion(6)};
}

} // namespace

RC_GTEST_PROP(PeerCodec, RequestComesBackEqual, ())
{
    const PeerRequest sent = request();
    Reason reason;
    RC_ASSERT(decodePeerRequest(encodePeerRequest(sent), reason) == sent);
}

RC_GTEST_PROP(PeerCodec, ReplyComesBackEqual, ())
{
    const PeerReply sent = reply();
    Reason reason;
    RC_ASSERT(decodePeerReply(encodePeerReply(sent), reason) == sent);
}

namespace {

/// The content of a registry as a seed sends it to an instance that starts.
RegistryChanges longNews()
{
    RegistryChanges news;
    for (int number = 0; number < 500; ++number) {
        const std::string text = std::to_string(number);
        news.items.push_back({"servers/i-" + text,
                              R"({"service":"s)" + text + R"(","state":"ready","slots":3})",
                              false});
    }
    news.position.revision = 7;
    news.age = milliseconds(3);
    return news;
}

} // namespace

TEST(PeerCodec, LongRegistryContentIsCompressed)
{
    RegistryChanges news = longNews();
    std::size_t plainBytes = 0;
    for (const RegistryItem &item : news.items)
        plainBytes += item.key.size() + item.value.size();
    std::string bytes = encodePeerReply(news);
    EXPECT_LT(bytes.size(), plainBytes / 4);
    Reason reason;
    EXPECT_EQ(decodePeerReply(bytes, reason), PeerReply(news));
    // The compressed items that are kept for further replies are not those of other content.
    news.items.back().value = "changed";
    news.position.revision = 8;
    EXPECT_EQ(decodePeerReply(encodePeerReply(news), reason), PeerReply(news));
}

RC_GTEST_PROP(PeerCodec, ChangedCompressedContentNeverCrashes, ())
{
    std::string bytes = encodePeerReply(longNews());
    for (int count = *rc::gen::inRange(1, 5); count > 0; --count)
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
    Reason reason;
    (void)decodePeerReply(bytes, reason);
}

RC_GTEST_PROP(PeerCodec, TruncatedMessageIsRefused, ())
{
    std::string bytes = encodePeerRequest(request());
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size()));
    Reason reason;
    RC_ASSERT(!decodePeerRequest(bytes, reason));
    RC_ASSERT(reason.kind == ErrorKind::BadRequest);
}

RC_GTEST_PROP(PeerCodec, ChangedBytesNeverCrash, ())
{
    std::string bytes = encodePeerReply(reply());
    for (int count = *rc::gen::inRange(1, 5); count > 0; --count)
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
    Reason reason;
    (void)decodePeerReply(bytes, reason);
}

TEST(PeerCodec, UnknownMembersAreSkippedAndMissingOnesRefused)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    const auto pack = [&](bool withAge) {
        buffer.clear();
        packer.pack_map(1).pack("views").pack_map(withAge ? 10 : 9);
        packer.pack("later").pack_map(1).pack("x").pack(1);
        packer.pack("from").pack("a").pack("heldDigest").pack(9).pack("statesHeld").pack(false);
        for (const char *list : {"held", "wanted", "newer", "crashes"})
            packer.pack(list).pack_array(0);
        packer.pack("stopping").pack(true);
        if (withAge)
            packer.pack("platformAge").pack(5);
        return std::string(buffer.data(), buffer.size());
    };
    Reason reason;
    const auto whole = decodePeerRequest(pack(true), reason);
    ASSERT_TRUE(whole) << reason.text;
    EXPECT_TRUE(std::get<ViewExchange>(*whole).isStopping);
    EXPECT_FALSE(decodePeerRequest(pack(false), reason));
    EXPECT_EQ(reason.text, "message 'views', member 'platformAge': missing");
}

TEST(PeerCodec, HugeStatedSizesAreRefused)
{
    Reason reason;
    EXPECT_FALSE(decodePeerRequest("\xdd\xff\xff\xff\xff", reason));
    EXPECT_FALSE(decodePeerRequest(std::string(100, '\x91'), reason));
    EXPECT_FALSE(decodePeerRequest(std::string(maximumPeerMessageBytes + 1, '\x01'), reason));
    EXPECT_EQ(reason.kind, ErrorKind::BodyTooLarge);
}
