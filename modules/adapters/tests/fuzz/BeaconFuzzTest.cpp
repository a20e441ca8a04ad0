#include "fuzz/SeededCheck.h"

#include <oleander/adapters/gateway/FleetBeacon.h>
#include <oleander/adapters/time/AsioTimerService.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cmath>
#include <optional>

using namespace oleander;
namespace asio = boost::asio;
using udp = asio::ip::udp;

namespace {

/// A beacon that is silent for this time hangs. No run takes as long unless it has failed.
constexpr auto hangTime = std::chrono::seconds(20);
/// What other code may rely on, whatever a datagram states.
constexpr std::size_t longestName = 512;
constexpr Duration oldestReport = std::chrono::hours(24);

constexpr std::array<std::string_view, 20> beaconWords{
    "[",
    "]",
    "{",
    "}",
    ",",
    ":",
    "null",
    "true",
    "-1",
    "1e308",
    "1e999",
    "0.5",
    "65543",
    "\"\"",
    "\"a\"",
    "\"\\u0000\"",
    "\xff",
    "9223372036854775807",
    "18446744073709551615",
    "\"instance\":\"b\",",
};

bool isShort(const std::string &text)
{
    return text.size() <= longestName;
}

bool isInstance(const Instance &instance)
{
    return !instance.id.isEmpty() && isShort(instance.id.text())
           && isShort(instance.dataCentre.text()) && isShort(instance.peerAddress);
}

bool isReport(const CrashReport &report)
{
    return isShort(report.loss.server.text()) && report.loss.share >= 0
           && report.loss.share <= wholeServer && report.age >= Duration::zero()
           && report.age <= oldestReport;
}

bool isUsable(const BeaconNews &news)
{
    return !news.instance.isEmpty() && isShort(news.instance.text())
           && isShort(news.dataCentre.text()) && std::isfinite(news.strength) && news.strength >= 0
           && std::ranges::all_of(news.coordinators, isInstance)
           && std::ranges::all_of(news.neighbours, isInstance)
           && std::ranges::all_of(news.crashes, isReport);
}

/// A beacon, and a stranger that sends it datagrams.
class FuzzedBeacon
{
public:
    FuzzedBeacon()
        : m_beacon(
            m_context, m_timer,
            [](const InstanceId &) {
                BeaconNews news;
                news.instance = InstanceId("i-1");
                news.dataCentre = DataCentreId("here");
                return news;
            },
            [this](const BeaconNews &news, const std::string &) { heard.push_back(news); })
    {
        Reason reason;
        // The seed is the stranger's number, so that stated neighbours are read, too.
        m_target = {asio::ip::make_address("127.0.0.1"),
                    m_beacon.start({"127.0.0.1", 0}, {{"127.0.0.2", 1}}, reason).value_or(0)};
        m_stranger.open(udp::v4());
        m_stranger.bind({asio::ip::make_address("127.0.0.2"), m_target.port()});
    }

    /// Sends a datagram and then an ordinary one. False when that is not heard.
    bool send(const std::string &datagram)
    {
        heard.clear();
        const std::string probe = "probe-" + std::to_string(++m_probes);
        const std::string ordinary = R"({"instance":")" + probe
                                     + R"(","dataCentre":"d","heardOf":1,"peerPort":7,)"
                                       R"("isReader":false,"isReply":true,"strength":0.5})";
        m_stranger.send_to(asio::buffer(datagram), m_target);
        m_stranger.send_to(asio::buffer(ordinary), m_target);
        const auto until = std::chrono::steady_clock::now() + hangTime;
        const auto isHeard = [&] {
            return !heard.empty() && heard.back().instance.text() == probe;
        };
        while (!isHeard() && std::chrono::steady_clock::now() < until)
            m_context.run_one_for(std::chrono::milliseconds(100));
        if (!isHeard())
            return false;
        heard.pop_back();
        return true;
    }

    std::vector<BeaconNews> heard;

private:
    asio::io_context m_context;
    AsioTimerService m_timer{m_context};
    FleetBeacon m_beacon;
    udp::endpoint m_target;
    udp::socket m_stranger{m_context};
    int m_probes = 0;
};

// Guards against datagrams that end the gateway, or that bring it numbers it can't calculate with.
TEST(BeaconFuzz, ChangedDatagramsAreDroppedOrUsable)
{
    FuzzedBeacon beacon;
    const auto entries = fuzz::corpus("beacons");
    fuzz::checkSeeded("changed datagrams", 2000, [&] {
        const std::string datagram =
            fuzz::mutated(entries[fuzz::indexBelow(entries.size())].bytes, beaconWords);
        RC_ASSERT(beacon.send(datagram));
        RC_ASSERT(std::ranges::all_of(beacon.heard, isUsable));
    });
}

// The name of an entry begins with the number of messages that are read from it.
TEST(BeaconFuzz, CorpusIsReadAsItsNamesSay)
{
    FuzzedBeacon beacon;
    for (const fuzz::CorpusEntry &entry : fuzz::corpus("beacons")) {
        ASSERT_TRUE(beacon.send(entry.bytes)) << entry.name;
        EXPECT_EQ(beacon.heard.size(), static_cast<std::size_t>(entry.name.front() - '0'))
            << entry.name;
        EXPECT_TRUE(std::ranges::all_of(beacon.heard, isUsable)) << entry.name;
    }
}

} // namespace
