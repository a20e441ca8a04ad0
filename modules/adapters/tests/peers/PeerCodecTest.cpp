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

RegistryChangesRequest registryQuestion()
{
    RegistryChangesRequest question;
    if (*rc::gen::arbitrary<bool>())
        question.after = *rc::gen::arbitrary<std::uint64_t>();
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
    news.revision = *rc::gen::arbitrary<std::uint64_t>();
    news.age = *generators::duration();
    return news;
}

PeerRequest request()
{
    const int kind = *rc::gen::inRange(0, 3);
    if (kind == 0)
        return views();
    if (kind == 1)
        return registryQuestion();
    return PeerQuery{InstanceId(*generators::text(0, 9)), generators::query(),
                     *generators::duration(), SectionVersion(3), SectionVersion(4)};
}

PeerReply reply()
{
    const int kind = *rc::gen::inRange(0, 3);
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
