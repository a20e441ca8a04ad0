#include "fuzz/SeededCheck.h"

#include <oleander/adapters/gateway/CallerIngress.h>
#include <oleander/adapters/time/AsioTimerService.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <functional>
#include <optional>

using namespace oleander;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

/// Requests in generated streams have bodies below this limit, except where a length is changed.
constexpr std::size_t bodyLimit = 16384;
constexpr std::size_t headerLimit = 4096;
/// A gateway that is silent for this time hangs. No run takes as long unless it has failed.
constexpr auto hangTime = std::chrono::seconds(20);

constexpr std::array<std::string_view, 22> requestWords{
    "\r\n",
    "\r\n\r\n",
    "\n",
    "\r",
    std::string_view("\0", 1),
    "Transfer-Encoding: chunked\r\n",
    "Transfer-Encoding: gzip, chunked\r\n",
    "Content-Length: 3\r\n",
    "Content-Length: -1\r\n",
    "Content-Length: 18446744073709551616\r\n",
    "Expect: 100-continue\r\n",
    "Connection: close, Host\r\n",
    "Host: other\r\n",
    " folded: value\r\n",
    "0\r\n\r\n",
    "ffffffffffffffff\r\n",
    "10000000000000000\r\n",
    "1;x=\"\r\n\"\r\n",
    "GET /second HTTP/1.1\r\nHost: h\r\n\r\n",
    "HTTP/1.0",
    "HTTP/2.0",
    "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
};

bool isTokenCharacter(unsigned char character)
{
    return std::isalnum(character) != 0
           || std::string_view("!#$%&'*+-.^_`|~").find(static_cast<char>(character))
                  != std::string_view::npos;
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::ranges::all_of(text, isTokenCharacter);
}

/// A field value that the next hop reads as one line.
bool isOneLine(std::string_view text)
{
    return std::ranges::none_of(text, [](char character) {
        return character == '\r' || character == '\n' || character == '\0';
    });
}

bool isTarget(std::string_view text)
{
    return !text.empty() && std::ranges::all_of(text, [](unsigned char character) {
        return character > ' ' && character != 0x7f;
    });
}

/// Whether a request can be forwarded without being read as another by the server.
bool isForwardable(const gateway::CallerRequest &request)
{
    return isToken(request.method) && isTarget(request.target) && isOneLine(request.host)
           && isOneLine(request.id.text()) && request.body.size() <= bodyLimit
           && std::ranges::all_of(request.fields, [](const gateway::HttpField &field) {
                  return isToken(field.name) && isOneLine(field.value);
              });
}

/// What a caller sends before it waits for answers.
struct Turn
{
    std::vector<std::string> pieces;
    /// Requests that are complete then.
    std::size_t requests = 0;
};

/// A gateway that answers each request at once, and its caller, on one thread.
class FuzzedIngress
{
public:
    FuzzedIngress()
        : m_ingress(m_context, m_timer, names(),
                    [this](const std::shared_ptr<const gateway::CallerRequest> &request,
                           const gateway::AnswerCallback &answer) {
                        handled.push_back(*request);
                        m_timer.post([answer] { answer({200, {}, "ok"}); });
                        return std::shared_ptr<gateway::Call>();
                    })
    {
        gateway::CallerLimits limits;
        limits.bodyBytes = bodyLimit;
        limits.headerBytes = headerLimit;
        m_ingress.setLimits(limits);
        Reason reason;
        m_port = m_ingress.listen({"127.0.0.1", 0}, reason).value_or(0);
    }

    /// Sends the turns on a new connection, each when those before it were answered, closes the
    /// connection for sending, and returns what was received. Nothing when the gateway does not
    /// close the connection.
    std::optional<std::string> exchange(const std::vector<Turn> &turns)
    {
        handled.clear();
        tcp::socket socket(m_context);
        socket.connect({asio::ip::make_address("127.0.0.1"), m_port});
        socket.set_option(tcp::no_delay(true));
        std::string received;
        bool isClosed = false;
        std::array<char, 4096> buffer{};
        const std::function<void()> read = [&] {
            socket.async_read_some(asio::buffer(buffer),
                                   [&](const boost::system::error_code &error, std::size_t count) {
                                       received.append(buffer.data(), count);
                                       isClosed = !!error;
                                       if (!error)
                                           read();
                                   });
        };
        read();
        boost::system::error_code error;
        const auto until = std::chrono::steady_clock::now() + hangTime;
        const auto isWaiting = [&] { return std::chrono::steady_clock::now() < until; };
        std::size_t wanted = 0;
        for (const Turn &turn : turns) {
            for (const std::string &piece : turn.pieces) {
                if (!error)
                    asio::write(socket, asio::buffer(piece), error);
                m_context.poll();
            }
            wanted += turn.requests;
            while (!isClosed && answers(received) < wanted && isWaiting())
                m_context.run_one_for(std::chrono::milliseconds(100));
        }
        socket.shutdown(tcp::socket::shutdown_send, error);
        while (!isClosed && isWaiting())
            m_context.run_one_for(std::chrono::milliseconds(100));
        return isClosed ? std::optional(received) : std::nullopt;
    }

    static std::size_t answers(std::string_view received)
    {
        std::size_t count = 0;
        for (auto place = received.find("\r\n\r\nok"); place != std::string_view::npos;
             place = received.find("\r\n\r\nok", place + 1))
            ++count;
        return count;
    }

    std::vector<gateway::CallerRequest> handled;

private:
    static HeaderNames names()
    {
        HeaderNames names;
        names.requestId = "Request-Id";
        names.callerTimeout = "Timeout";
        names.expectedServer = "Expected";
        return names;
    }

    asio::io_context m_context;
    AsioTimerService m_timer{m_context};
    CallerIngress m_ingress;
    std::uint16_t m_port = 0;
};

struct SentRequest
{
    std::string target;
    std::string body;
};

std::string hexadecimal(std::size_t number)
{
    std::ostringstream text;
    text << std::hex << number;
    return text.str();
}

std::string chunked(std::string_view body)
{
    std::string text;
    for (const std::string &piece : fuzz::cutIntoPieces(body)) {
        text += std::string(fuzz::indexBelow(3), '0') + hexadecimal(piece.size());
        if (fuzz::indexBelow(4) == 0)
            text += ";name=\"a b\"";
        text += "\r\n" + piece + "\r\n";
    }
    text += "0\r\n";
    if (fuzz::indexBelow(4) == 0)
        text += "Trailer-Field: x\r\n";
    return text + "\r\n";
}

/// A request that a gateway has to accept.
std::string validRequest(SentRequest &request)
{
    request.target = "/t" + std::to_string(fuzz::indexBelow(1000));
    request.body.clear();
    for (std::size_t left = fuzz::indexBelow(2) * fuzz::indexBelow(4000); left > 0; --left)
        request.body += static_cast<char>((left * 31) % 256);
    std::string text = "POST " + request.target + " HTTP/1.1\r\nHost: h\r\nX: y\r\n";
    if (fuzz::indexBelow(2) == 0)
        return text + "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n"
               + request.body;
    return text + "Transfer-Encoding: chunked\r\n\r\n" + chunked(request.body);
}

/// No request may be read from a connection after one of them was refused.
bool endsWithRefusal(std::string_view received)
{
    const std::size_t refusal = received.find("HTTP/1.1 4");
    return refusal == std::string_view::npos || received.rfind("HTTP/1.1 ") == refusal;
}

bool haveArrived(const std::vector<SentRequest> &sent,
                 const std::vector<gateway::CallerRequest> &handled)
{
    return std::ranges::equal(sent, handled, [](const SentRequest &one, const auto &other) {
        return one.target == other.target && one.body == other.body && isForwardable(other);
    });
}

// Guards against bodies that are cut, joined or mixed up by chunks and pieces.
TEST(RequestFuzz, ValidRequestsArriveWholeHoweverTheyAreCut)
{
    FuzzedIngress ingress;
    fuzz::checkSeeded("valid requests", 150, [&] {
        std::vector<SentRequest> sent(1 + fuzz::indexBelow(4));
        std::vector<Turn> turns;
        turns.reserve(sent.size());
        for (SentRequest &request : sent)
            turns.push_back({fuzz::cutIntoPieces(validRequest(request)), 1});
        RC_ASSERT(ingress.exchange(turns).has_value());
        RC_ASSERT(haveArrived(sent, ingress.handled));
    });
}

// Guards against bodies that get bytes of another request when callers don't wait for answers.
TEST(RequestFuzz, PipelinedRequestsArriveWholeHoweverTheyAreCut)
{
    FuzzedIngress ingress;
    fuzz::checkSeeded("pipelined requests", 150, [&] {
        std::vector<SentRequest> sent(1 + fuzz::indexBelow(4));
        std::string stream;
        for (SentRequest &request : sent)
            stream += validRequest(request);
        RC_ASSERT(ingress.exchange({{fuzz::cutIntoPieces(stream), sent.size()}}).has_value());
        RC_ASSERT(haveArrived(sent, ingress.handled));
    });
}

// Guards against a body whose later bytes are replaced by earlier ones of the connection, because
// the read buffer was emptied while a read into it was under way. Found by the property above.
TEST(RequestFuzz, BodyOfAPipelinedRequestKeepsItsLaterBytes)
{
    FuzzedIngress ingress;
    const std::string head = " HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n";
    const auto received =
        ingress.exchange({{{"POST /a" + head + "firstPOST /b" + head + "sec", "on"}, 2}});
    ASSERT_TRUE(received);
    ASSERT_EQ(ingress.handled.size(), 2U);
    EXPECT_TRUE(haveArrived({{"/a", "first"}, {"/b", "secon"}}, ingress.handled))
        << ingress.handled.back().body;
}

// Guards against requests that end or block the gateway, or that a server would read as others.
TEST(RequestFuzz, ChangedRequestsAreRefusedOrForwardable)
{
    FuzzedIngress ingress;
    const auto entries = fuzz::corpus("requests");
    fuzz::checkSeeded("changed requests", 400, [&] {
        SentRequest ignored;
        const std::size_t choice = fuzz::indexBelow(2 * entries.size());
        const std::string stream = fuzz::mutated(
            choice < entries.size() ? entries[choice].bytes : validRequest(ignored), requestWords);
        const auto received = ingress.exchange({{fuzz::cutIntoPieces(stream)}});
        RC_ASSERT(received.has_value());
        RC_ASSERT(endsWithRefusal(*received));
        RC_ASSERT(std::ranges::all_of(ingress.handled, isForwardable));
        const auto ordinary = ingress.exchange({{{"GET /o HTTP/1.1\r\nHost: h\r\n\r\n"}, 1}});
        RC_ASSERT(ordinary.has_value());
        RC_ASSERT(FuzzedIngress::answers(*ordinary) == 1U);
    });
}

// Guards against request smuggling. The name of an entry begins with the number of requests that
// the gateway may read from it.
TEST(RequestFuzz, CorpusIsReadAsItsNamesSay)
{
    FuzzedIngress ingress;
    for (const fuzz::CorpusEntry &entry : fuzz::corpus("requests")) {
        const auto wanted = static_cast<std::size_t>(entry.name.front() - '0');
        std::vector<std::string> bytes;
        for (const char byte : entry.bytes)
            bytes.emplace_back(1, byte);
        for (const auto &pieces : {std::vector{entry.bytes}, bytes}) {
            const auto received = ingress.exchange({{pieces, wanted}});
            ASSERT_TRUE(received) << entry.name;
            EXPECT_EQ(ingress.handled.size(), wanted) << entry.name << "\n" << *received;
            EXPECT_TRUE(endsWithRefusal(*received)) << entry.name << "\n" << *received;
        }
    }
}

} // namespace
