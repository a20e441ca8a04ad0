#include "concurrency/AsioHeaders.h"

#include <oleander/adapters/gateway/FleetBeacon.h>

#include <boost/asio/ip/udp.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <limits>
#include <map>
#include <optional>
#include <utility>

namespace oleander {

namespace asio = boost::asio;
using boost::system::error_code;
using nlohmann::json;
using udp = asio::ip::udp;

namespace {

/// The first calls come quickly, since the number of instances decides how much each may send.
constexpr Duration firstPeriod = milliseconds(500);
constexpr Duration laterPeriod = seconds(3);
constexpr int quickCalls = 6;
constexpr std::size_t largestDatagram = 4096;
/// Instances that are taken from one list of a message.
constexpr std::size_t maximumInstances = 64;
constexpr std::size_t maximumCrashReports = 32;
/// Instances that have not called for this time are gone.
constexpr Duration callerLifetime = seconds(10);
/// Senders that are remembered, several times the largest fleet. Anyone can call from any number of
/// ports, and each takes about 100 bytes.
constexpr std::size_t maximumCallers = 8192;
/// Names and addresses of platforms are far shorter. Each instance that is heard of is kept.
constexpr std::size_t maximumNameBytes = 512;
/// Losses that are older have no effect; larger numbers would overflow a duration.
constexpr milliseconds oldestReport = std::chrono::hours(24);
/// Larger numbers of cores would decide any election of coordinators.
constexpr double maximumStrength = 4096;

struct Message
{
    BeaconNews news;
    bool isReply = false;
};

json encodeInstances(const std::vector<Instance> &instances)
{
    json list = json::array();
    for (const Instance &instance : instances)
        list.push_back({instance.id.text(), instance.dataCentre.text(), instance.peerAddress});
    return list;
}

std::string encode(const Message &message)
{
    const BeaconNews &news = message.news;
    json document{{"instance", news.instance.text()}, {"dataCentre", news.dataCentre.text()},
                  {"heardOf", news.heardOf},          {"peerPort", news.peerPort},
                  {"isReader", news.isReader},        {"isReply", message.isReply},
                  {"strength", news.strength}};
    if (news.isLeaving)
        document["isLeaving"] = true;
    if (message.isReply && !news.coordinators.empty())
        document["coordinators"] = encodeInstances(news.coordinators);
    if (message.isReply && !news.neighbours.empty())
        document["neighbours"] = encodeInstances(news.neighbours);
    // The newest come first; those that do not fit are sent once these have expired.
    std::size_t bytes = document.dump().size() + std::string_view(R"(,"crashes":[])").size();
    json list = json::array();
    for (const CrashReport &report : news.crashes) {
        json entry{report.loss.fingerprint.value(), report.loss.server.text(), report.loss.share,
                   report.age / milliseconds(1)};
        bytes += entry.dump().size() + 1;
        if (list.size() == maximumCrashReports || bytes > largestDatagram)
            break;
        list.push_back(std::move(entry));
    }
    if (!list.empty())
        document["crashes"] = std::move(list);
    return document.dump();
}

/// A datagram whose values no instance would send.
struct UnusableValue
{
};

/// The number, or the limit that it exceeds.
std::int64_t clampedInteger(const json &value, std::int64_t largest)
{
    if (value.is_number_unsigned())
        return static_cast<std::int64_t>(
            std::min(value.get<std::uint64_t>(), static_cast<std::uint64_t>(largest)));
    if (value.is_number_integer())
        return std::clamp<std::int64_t>(value.get<std::int64_t>(), 0, largest);
    throw UnusableValue();
}

std::uint64_t unsignedIn(const json &value, std::uint64_t largest)
{
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > largest)
        throw UnusableValue();
    return value.get<std::uint64_t>();
}

std::string nameIn(const json &value)
{
    auto name = value.get<std::string>();
    if (name.size() > maximumNameBytes)
        throw UnusableValue();
    return name;
}

double strengthIn(const json &document)
{
    const double strength = document.value("strength", 0.0);
    if (!(strength >= 0 && strength <= maximumStrength))
        throw UnusableValue();
    return strength;
}

std::vector<CrashReport> decodeCrashes(const json &list)
{
    std::vector<CrashReport> crashes;
    for (const json &entry : list) {
        if (crashes.size() == maximumCrashReports)
            break;
        CrashReport report;
        report.loss.fingerprint =
            Fingerprint(unsignedIn(entry.at(0), std::numeric_limits<std::uint64_t>::max()));
        report.loss.server = ServerId(nameIn(entry.at(1)));
        report.loss.share = clampedInteger(entry.at(2), wholeServer);
        report.age = milliseconds(clampedInteger(entry.at(3), oldestReport.count()));
        const bool isLossOfNothing = !report.hasSurvived() && report.loss.share == 0;
        if (!isLossOfNothing)
            crashes.push_back(std::move(report));
    }
    return crashes;
}

std::vector<Instance> decodeInstances(const json &list)
{
    std::vector<Instance> instances;
    for (const json &entry : list) {
        if (instances.size() == maximumInstances)
            break;
        Instance instance;
        instance.id = InstanceId(nameIn(entry.at(0)));
        instance.dataCentre = DataCentreId(nameIn(entry.at(1)));
        instance.peerAddress = nameIn(entry.at(2));
        if (instance.id.isEmpty())
            throw UnusableValue();
        instances.push_back(std::move(instance));
    }
    return instances;
}

std::optional<Message> decode(std::string_view text)
{
    try {
        const json document = json::parse(text);
        Message message;
        message.news.instance = InstanceId(nameIn(document.at("instance")));
        if (message.news.instance.isEmpty())
            return std::nullopt;
        message.news.dataCentre = DataCentreId(nameIn(document.at("dataCentre")));
        message.news.heardOf =
            unsignedIn(document.at("heardOf"), std::numeric_limits<std::size_t>::max());
        message.news.peerPort = static_cast<std::uint16_t>(
            unsignedIn(document.at("peerPort"), std::numeric_limits<std::uint16_t>::max()));
        message.news.isReader = document.at("isReader").get<bool>();
        message.isReply = document.at("isReply").get<bool>();
        message.news.strength = strengthIn(document);
        message.news.isLeaving = document.value("isLeaving", false);
        const auto coordinators = document.find("coordinators");
        if (coordinators != document.end())
            message.news.coordinators = decodeInstances(*coordinators);
        const auto neighbours = document.find("neighbours");
        if (neighbours != document.end())
            message.news.neighbours = decodeInstances(*neighbours);
        const auto crashes = document.find("crashes");
        if (crashes != document.end())
            message.news.crashes = decodeCrashes(*crashes);
        return message;
    } catch (const json::exception &) {
        // Whatever a stranger sends to the port; it names no instance.
        return std::nullopt;
    } catch (const UnusableValue &) {
        return std::nullopt;
    }
}

} // namespace

class FleetBeacon::Impl : public std::enable_shared_from_this<FleetBeacon::Impl>
{
public:
    Impl(asio::io_context &context, TimerService &timer, Source source, Listener listener)
        : m_timer(timer)
        , m_source(std::move(source))
        , m_listener(std::move(listener))
        , m_socket(context)
    {
    }

    std::optional<std::uint16_t> start(const Address &address, const std::vector<Address> &seeds,
                                       Reason &reason)
    {
        error_code error;
        const udp::endpoint endpoint(asio::ip::make_address(address.number, error), address.port);
        if (!error)
            m_socket.open(endpoint.protocol(), error);
        if (!error)
            m_socket.bind(endpoint, error);
        if (!error)
            m_socket.non_blocking(true, error);
        if (error) {
            reason.set(ErrorKind::Internal,
                       "beacon can not listen on " + addressText(address) + ": " + error.message());
            return std::nullopt;
        }
        const std::uint16_t port = m_socket.local_endpoint().port();
        for (const Address &seed : seeds) {
            const auto number = asio::ip::make_address(seed.number, error);
            if (!error && seed.number != address.number)
                m_seeds.emplace_back(number, port);
        }
        receive();
        call();
        return port;
    }

    void stop()
    {
        m_listener = nullptr;
        m_next.reset();
        error_code ignored;
        m_socket.close(ignored);
    }

    void announce()
    {
        for (const udp::endpoint &seed : m_seeds)
            send({m_source({}), false}, seed);
    }

    void announceToAll()
    {
        announce();
        forgetGoneCallers();
        const Message message{m_source({}), true};
        for (const auto &[endpoint, calledAt] : m_callers)
            send(message, endpoint);
        for (const udp::endpoint &neighbour : m_neighbours) {
            if (!m_callers.contains(neighbour))
                send(message, neighbour);
        }
    }

private:
    void call()
    {
        announce();
        forgetGoneCallers();
        const Duration period = ++m_calls <= quickCalls ? firstPeriod : laterPeriod;
        m_next = m_timer.callAfter(period, [this](const TimerTick &) { call(); });
    }

    void forgetGoneCallers()
    {
        const TimePoint now = m_timer.now();
        std::erase_if(m_callers,
                      [now](const auto &caller) { return now - caller.second > callerLifetime; });
    }

    void send(const Message &message, const udp::endpoint &target)
    {
        const std::string text = encode(message);
        // A datagram that can not be sent now is as good as a lost one.
        error_code ignored;
        m_socket.send_to(asio::buffer(text), target, 0, ignored);
    }

    void receive()
    {
        m_socket.async_receive_from(
            asio::buffer(m_buffer), m_sender,
            [self = shared_from_this()](const error_code &error, std::size_t count) {
                self->onReceived(error, count);
            });
    }

    void onReceived(const error_code &error, std::size_t count)
    {
        if (!m_listener)
            return;
        const auto message =
            error ? std::nullopt : decode(std::string_view(m_buffer.data(), count));
        if (message) {
            m_listener(message->news, m_sender.address().to_string());
            if (!message->isReply) {
                if (m_callers.size() < maximumCallers || m_callers.contains(m_sender))
                    m_callers[m_sender] = m_timer.now();
                send({m_source(message->news.instance), true}, m_sender);
            }
            const bool isFromSeed = std::ranges::find(m_seeds, m_sender) != m_seeds.end();
            if (isFromSeed && !message->news.neighbours.empty())
                setNeighbours(message->news.neighbours);
        }
        receive();
    }

    void setNeighbours(const std::vector<Instance> &neighbours)
    {
        m_neighbours.clear();
        for (const Instance &neighbour : neighbours) {
            const auto address = parseAddress(neighbour.peerAddress);
            error_code error;
            const auto number = asio::ip::make_address(address ? address->number : "", error);
            // Other releases may state addresses in another form.
            if (!error)
                m_neighbours.emplace_back(number, m_sender.port());
        }
    }

    TimerService &m_timer;
    Source m_source;
    Listener m_listener;
    udp::socket m_socket;
    udp::endpoint m_sender;
    std::array<char, largestDatagram> m_buffer{};
    std::vector<udp::endpoint> m_seeds;
    /// As last told by a seed.
    std::vector<udp::endpoint> m_neighbours;
    /// Instances that have called, and when they last did.
    std::map<udp::endpoint, TimePoint> m_callers;
    int m_calls = 0;
    Subscription m_next;
};

FleetBeacon::FleetBeacon(asio::io_context &context, TimerService &timer, Source source,
                         Listener listener)
    : m_impl(std::make_shared<Impl>(context, timer, std::move(source), std::move(listener)))
{
}

FleetBeacon::~FleetBeacon()
{
    m_impl->stop();
}

std::optional<std::uint16_t> FleetBeacon::start(const Address &address,
                                                const std::vector<Address> &seeds, Reason &reason)
{
    return m_impl->start(address, seeds, reason);
}

void FleetBeacon::announce()
{
    m_impl->announce();
}

void FleetBeacon::announceToAll()
{
    m_impl->announceToAll();
}

} // namespace oleander
