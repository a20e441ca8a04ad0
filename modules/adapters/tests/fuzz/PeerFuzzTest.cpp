#include "concurrency/AsioHeaders.h"
#include "fuzz/SeededCheck.h"
#include "peers/MessagePackWriter.h"
#include "peers/PeerFixture.h"
#include "peers/PeerProtocol.h"

#include <oleander/adapters/peers/PeerCodec.h>

#include <array>
#include <sys/socket.h>
#include <sys/time.h>
#include <zstd.h>

using namespace oleander;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::string_view preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

constexpr std::array<std::string_view, 18> messageWords{
    std::string_view("\xc0", 1),                 // nil
    std::string_view("\xc3", 1),                 // true
    std::string_view("\x80", 1),                 // empty map
    std::string_view("\x81", 1),                 // map of one
    std::string_view("\x90", 1),                 // empty list
    std::string_view("\xdd\xff\xff\xff\xff", 5), // list of 2^32 - 1
    std::string_view("\xdd\x00\x00\xff\xff", 5), // list of 65535
    std::string_view("\xdf\xff\xff\xff\xff", 5), // map of 2^32 - 1
    std::string_view("\xdb\xff\xff\xff\xff", 5), // text of 2^32 - 1
    std::string_view("\xc9\xff\xff\xff\xff\x01", 6),
    std::string_view("\xcf\xff\xff\xff\xff\xff\xff\xff\xff", 9),
    std::string_view("\xd3\x80\x00\x00\x00\x00\x00\x00\x00", 9),
    std::string_view("\xcb\x7f\xf0\x00\x00\x00\x00\x00\x00", 9), // infinite
    std::string_view("\xcb\x7f\xf8\x00\x00\x00\x00\x00\x00", 9), // not a number
    "\xa4rule",
    "\xa6shards",
    "\xa5items",
    "\xc1",
};

std::string numberInBytes(std::uint32_t number, int count)
{
    constexpr int byteBits = 8;
    std::string bytes;
    for (int place = count - 1; place >= 0; --place)
        bytes += static_cast<char>((number >> (place * byteBits)) & 0xffU);
    return bytes;
}

std::string frame(std::uint8_t type, std::uint8_t flags, std::uint32_t stream,
                  const std::string &payload)
{
    return numberInBytes(static_cast<std::uint32_t>(payload.size()), 3) + static_cast<char>(type)
           + static_cast<char>(flags) + numberInBytes(stream, 4) + payload;
}

/// A header field that is not added to the table of the connection (RFC 7541, section 6.2.2).
std::string field(std::string_view name, std::string_view value)
{
    return '\0' + numberInBytes(static_cast<std::uint32_t>(name.size()), 1) + std::string(name)
           + numberInBytes(static_cast<std::uint32_t>(value.size()), 1) + std::string(value);
}

std::string requestFields(std::string_view path)
{
    return field(":method", "POST") + field(":scheme", "http") + field(":authority", "x")
           + field(":path", path);
}

/// A frame as peers send it, of any kind and with any payload.
std::string anyFrame()
{
    constexpr std::array<std::uint32_t, 6> streams{0, 1, 3, 5, 2, 0x7fffffff};
    constexpr std::array<std::string_view, 4> paths{protocol::greetingPath, protocol::proofPath,
                                                    protocol::callPath, "/x"};
    constexpr std::size_t frameTypes = 12;
    const auto stream = streams[fuzz::indexBelow(streams.size())];
    const auto flags = static_cast<std::uint8_t>(fuzz::indexBelow(256));
    if (fuzz::indexBelow(3) == 0) {
        constexpr std::uint8_t headersType = 1;
        constexpr std::uint8_t endOfStreamAndHeaders = 5;
        return frame(headersType, endOfStreamAndHeaders, stream,
                     requestFields(paths[fuzz::indexBelow(paths.size())])
                         + field(protocol::versionHeader, protocol::version)
                         + field(protocol::fleetHeader, "fleet")
                         + field(protocol::nonceHeader, std::string(32, 'a')));
    }
    std::string payload(fuzz::indexBelow(64), '\0');
    for (char &byte : payload)
        byte = static_cast<char>(fuzz::indexBelow(256));
    return frame(static_cast<std::uint8_t>(fuzz::indexBelow(frameTypes)), flags, stream, payload);
}

/// Sends bytes to the port and closes for sending. False if the other side does not close.
bool isClosedAfter(std::uint16_t port, const std::vector<std::string> &pieces)
{
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect({asio::ip::make_address("127.0.0.1"), port});
    // No run takes as long unless it has failed.
    const timeval limit{20, 0};
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    boost::system::error_code error;
    for (const std::string &piece : pieces) {
        if (!error)
            asio::write(socket, asio::buffer(piece), error);
    }
    socket.shutdown(tcp::socket::shutdown_send, error);
    std::array<char, 4096> buffer{};
    while (true) {
        const auto count = ::recv(socket.native_handle(), buffer.data(), buffer.size(), 0);
        if (count <= 0)
            return count == 0 || errno == ECONNRESET;
    }
}

struct PeerFrames : ::testing::Test
{
    /// An unauthenticated client reaches no handler, and the daemon goes on answering peers.
    bool isUnharmed()
    {
        if (daemon.run([this] { return daemon.handler.requests; }) != answered)
            return false;
        const PeerOutcome outcome = peer.call(daemon.instance(), queryNamed("q", 3));
        ++answered;
        return outcome.reply == ScriptedHandler::replyTo(std::get<PeerQuery>(queryNamed("q", 3)));
    }

    PeerDaemon daemon{"daemon"};
    PeerDaemon peer{"peer"};
    int answered = 0;
};

// Guards against HTTP/2 frames of a stranger that end or block the daemon or pass for a peer's.
TEST_F(PeerFrames, AnyFramesLeaveTheDaemonUnharmed)
{
    fuzz::checkSeeded("frames", 300, [this] {
        std::string stream(preface);
        for (std::size_t count = fuzz::indexBelow(12); count > 0; --count)
            stream += anyFrame();
        if (fuzz::indexBelow(3) == 0)
            stream = fuzz::mutated(std::move(stream), messageWords);
        RC_ASSERT(isClosedAfter(daemon.port(), fuzz::cutIntoPieces(stream)));
        RC_ASSERT(isUnharmed());
    });
}

TEST_F(PeerFrames, CorpusLeavesTheDaemonUnharmed)
{
    for (const fuzz::CorpusEntry &entry : fuzz::corpus("peer-frames")) {
        EXPECT_TRUE(isClosedAfter(daemon.port(), {entry.bytes})) << entry.name;
        EXPECT_TRUE(isUnharmed()) << entry.name;
    }
}

/// A message that decodes is the same after encoding and decoding once more, so that nothing was
/// made up from bytes that are not there.
bool isDroppedOrWhole(const std::string &bytes)
{
    Reason reason;
    if (const auto request = decodePeerRequest(bytes, reason)) {
        const std::string again = encodePeerRequest(*request);
        const auto decoded = decodePeerRequest(again, reason);
        if (!decoded || encodePeerRequest(*decoded) != again)
            return false;
    }
    if (const auto reply = decodePeerReply(bytes, reason)) {
        const std::string again = encodePeerReply(*reply);
        const auto decoded = decodePeerReply(again, reason);
        if (!decoded || encodePeerReply(*decoded) != again)
            return false;
    }
    return true;
}

// Guards against messages that end the process, with an exception or for lack of memory.
TEST(PeerMessageFuzz, ChangedMessagesAreDroppedOrWhole)
{
    const auto entries = fuzz::corpus("peer-messages");
    fuzz::checkSeeded("messages", 5000, [&] {
        RC_ASSERT(isDroppedOrWhole(
            fuzz::mutated(entries[fuzz::indexBelow(entries.size())].bytes, messageWords)));
    });
}

TEST(PeerMessageFuzz, CorpusIsReadAsItsNamesSay)
{
    for (const fuzz::CorpusEntry &entry : fuzz::corpus("peer-messages")) {
        Reason reason;
        const bool isRead = decodePeerRequest(entry.bytes, reason).has_value()
                            || decodePeerReply(entry.bytes, reason).has_value();
        EXPECT_EQ(isRead, entry.name.front() == '1') << entry.name << ": " << reason.text;
        EXPECT_TRUE(isDroppedOrWhole(entry.bytes)) << entry.name;
    }
}

/// A registry reply whose compressed items are these bytes.
std::string packedReply(const std::string &items)
{
    std::string compressed(ZSTD_compressBound(items.size()), '\0');
    compressed.resize(
        ZSTD_compress(compressed.data(), compressed.size(), items.data(), items.size(), 1));
    msgpack::sbuffer buffer;
    PackedRegistryChanges packed;
    packed.isKnown = true;
    packed.items = compressed;
    MessagePackWriter(buffer).writeNamed("registryNewsPacked", packed);
    return {buffer.data(), buffer.size()};
}

// Guards against stated sizes inside compressed items, for which memory was reserved without a
// limit: the exception for lack of memory ended the process.
TEST(PeerMessageFuzz, HugeSizesInCompressedItemsAreRefused)
{
    for (const std::string_view word : messageWords) {
        Reason reason;
        const std::string bytes = packedReply(std::string(word));
        const auto reply = decodePeerReply(bytes, reason);
        EXPECT_EQ(reply.has_value(), word == "\x90") << rc::toString(std::string(word));
    }
    Reason reason;
    EXPECT_FALSE(decodePeerReply(packedReply(std::string(100'000, '\x91')), reason));
}

TEST(PeerMessageFuzz, ChangedCompressedItemsAreDroppedOrWhole)
{
    msgpack::sbuffer buffer;
    const std::vector<RegistryItem> items{{"servers/i-1", R"({"service":"s"})", false},
                                          {"configuration", "", true}};
    MessagePackWriter(buffer).write(items);
    const std::string plain(buffer.data(), buffer.size());
    fuzz::checkSeeded("compressed items", 2000, [&] {
        RC_ASSERT(isDroppedOrWhole(packedReply(fuzz::mutated(plain, messageWords))));
    });
}

} // namespace
