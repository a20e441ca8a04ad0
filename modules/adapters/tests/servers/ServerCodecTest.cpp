#include <oleander/adapters/servers/ServerCodec.h>

#include <gtest/gtest.h>
#include <msgpack.hpp>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace oleander;

namespace {

rc::Gen<std::string> anyText()
{
    return rc::gen::arbitrary<std::string>();
}

SubRequest anyRequest()
{
    SubRequest request;
    request.id = SubRequestId(*rc::gen::arbitrary<std::uint64_t>());
    request.caller = CallerId(*anyText());
    request.request = RequestId(*anyText());
    request.service = ServiceId(*anyText());
    request.shard = ShardId(*anyText());
    request.snapshot = SnapshotId(*rc::gen::arbitrary<std::uint64_t>());
    request.timeLeft = Duration(*rc::gen::inRange(0, 100000000));
    request.urgency = *rc::gen::element(Urgency::Bulk, Urgency::Normal, Urgency::Urgent);
    request.isIdempotent = *rc::gen::arbitrary<bool>();
    request.payload = *anyText();
    request.limit = *rc::gen::inRange<std::size_t>(0, 1000);
    return request;
}

SubReply anyReply()
{
    SubReply reply;
    reply.id = SubRequestId(*rc::gen::arbitrary<std::uint64_t>());
    reply.kind = *rc::gen::element(ReplyKind::Ok, ReplyKind::Shed, ReplyKind::Draining,
                                   ReplyKind::WrongSnapshot, ReplyKind::Cancelled,
                                   ReplyKind::AlreadyRan, ReplyKind::Failed);
    reply.shard = ShardId(*anyText());
    reply.snapshot = SnapshotId(*rc::gen::arbitrary<std::uint64_t>());
    reply.reportedLoad = *rc::gen::inRange(0, 1000);
    const auto count = *rc::gen::inRange(0, 5);
    for (int number = 0; number < count; ++number) {
        const auto score = static_cast<double>(*rc::gen::inRange(-1000, 1000)) / 8;
        reply.documents.push_back({DocumentId(*anyText()), score, *anyText()});
    }
    return reply;
}

std::string packedMap(const std::function<void(msgpack::packer<std::stringstream> &)> &write,
                      std::uint32_t keys)
{
    std::stringstream out;
    msgpack::packer packer(out);
    packer.pack_map(keys);
    write(packer);
    return out.str();
}

} // namespace

RC_GTEST_PROP(ServerCodec, SubRequestSurvives, ())
{
    const ReceivedSubRequest sent{ServerClientId(*rc::gen::arbitrary<std::uint64_t>()),
                                  anyRequest()};
    std::string body;
    encodeSubRequest(sent.client, sent.request, body);
    Reason reason;
    const auto received = decodeSubRequest(body, reason);
    RC_ASSERT(received.has_value());
    RC_ASSERT(*received == sent);
}

RC_GTEST_PROP(ServerCodec, SubReplySurvives, ())
{
    const auto sent = anyReply();
    std::string body;
    encodeSubReply(sent, body);
    Reason reason;
    const auto received = decodeSubReply(body, reason);
    RC_ASSERT(received.has_value());
    RC_ASSERT(*received == sent);
}

RC_GTEST_PROP(ServerCodec, CutReplyIsRefused, ())
{
    std::string body;
    encodeSubReply(anyReply(), body);
    const auto kept = *rc::gen::inRange<std::size_t>(0, body.size());
    Reason reason;
    RC_ASSERT(!decodeSubReply(std::string_view(body).substr(0, kept), reason));
    RC_ASSERT(reason.kind == ErrorKind::ServerFailed);
}

RC_GTEST_PROP(ServerCodec, AnyBytesAreTakenOrRefused, (const std::string &body))
{
    Reason reason;
    if (!decodeSubReply(body, reason))
        RC_ASSERT(!reason.text.empty());
    Reason other;
    if (!decodeSubRequest(body, other))
        RC_ASSERT(!other.text.empty());
}

TEST(ServerCodec, UnknownKeysAreSkipped)
{
    const auto body = packedMap(
        [](auto &packer) {
            packer.pack(std::string("future")).pack_array(2).pack(1).pack(2);
            packer.pack(std::string("id")).pack(std::uint64_t{7});
            packer.pack(std::string("kind")).pack(std::string("ok"));
        },
        3);
    Reason reason;
    const auto reply = decodeSubReply(body, reason);
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->id, SubRequestId(7));
    EXPECT_EQ(reply->kind, ReplyKind::Ok);
}

TEST(ServerCodec, WrongTypeAndUnknownKindAreRefused)
{
    const auto wrongType =
        packedMap([](auto &packer) { packer.pack(std::string("id")).pack(std::string("7")); }, 1);
    const auto unknownKind = packedMap(
        [](auto &packer) { packer.pack(std::string("kind")).pack(std::string("perhaps")); }, 1);
    Reason reason;
    EXPECT_FALSE(decodeSubReply(wrongType, reason));
    EXPECT_FALSE(decodeSubReply(unknownKind, reason));
}

TEST(ServerCodec, NotANumberIsRefusedAsScore)
{
    SubReply reply;
    reply.documents.push_back({DocumentId("d"), std::numeric_limits<double>::quiet_NaN(), "x"});
    std::string body;
    encodeSubReply(reply, body);
    Reason reason;
    EXPECT_FALSE(decodeSubReply(body, reason));
}

TEST(ServerCodec, TrailingBytesAndHugeClaimsAreRefused)
{
    std::string body;
    encodeCancel(ServerClientId(1), SubRequestId(2), body);
    Reason reason;
    EXPECT_TRUE(decodeCancel(body, reason));
    EXPECT_FALSE(decodeCancel(body + '\0', reason));
    // An array that claims four thousand million elements.
    EXPECT_FALSE(decodeSubReply(std::string("\xdd\xff\xff\xff\xff", 5), reason));
}
