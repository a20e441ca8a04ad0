#include <oleander/adapters/gateway/FleetBeacon.h>
#include <oleander/adapters/time/AsioTimerService.h>
#include <oleander/gateway/FleetSize.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <gtest/gtest.h>

#include <map>
#include <utility>

using namespace oleander;

namespace {

struct Instance
{
    Instance(boost::asio::io_context &context, TimerService &timer, const std::string &name)
        : size(InstanceId(name))
        , beacon(
              context, timer,
              [this, name](const InstanceId &) {
                  BeaconNews news;
                  news.instance = InstanceId(name);
                  news.dataCentre = DataCentreId("here");
                  news.heardOf = size.heardOf();
                  news.peerPort = 7;
                  news.isReader = name == "i-1";
                  news.strength = 0.5;
                  if (news.isReader)
                      news.coordinators = {coordinator()};
                  news.neighbours = neighbours;
                  news.crashes = crashes;
                  return news;
              },
              [this](const BeaconNews &news, const std::string &number) {
                  size.onBeacon(news.instance);
                  size.addReportedCount(news.heardOf);
                  if (news.isReader)
                      reader = number;
                  if (crashes.empty() && !news.crashes.empty()) {
                      crashes = news.crashes;
                      beacon.announceToAll();
                  }
                  strengths[news.instance.text()] = news.strength;
                  if (!news.coordinators.empty())
                      coordinators = news.coordinators;
              })
    {
    }

    static oleander::Instance coordinator()
    {
        oleander::Instance instance;
        instance.id = InstanceId("i-3");
        instance.dataCentre = DataCentreId("there");
        instance.peerAddress = "127.0.0.3:7";
        return instance;
    }

    gateway::FleetSize size;
    FleetBeacon beacon;
    std::string reader;
    std::map<std::string, double> strengths;
    std::vector<oleander::Instance> coordinators;
    /// What a seed tells all others.
    std::vector<oleander::Instance> neighbours;
    std::vector<CrashReport> crashes;
};

/// Instances with numbers of their own that call one seed, the first of them.
struct FleetBeaconTest : ::testing::Test
{
    void start(int number)
    {
        auto &instance = instances[number];
        instance = std::make_unique<Instance>(context, timer, "i-" + std::to_string(number));
        Reason reason;
        const auto opened = instance->beacon.start({"127.0.0." + std::to_string(number), port},
                                                   {{"127.0.0.1", 1}}, reason);
        ASSERT_TRUE(opened) << reason.text;
        port = *opened;
    }

    boost::asio::io_context context;
    AsioTimerService timer{context};
    /// The first instance takes any free port.
    std::uint16_t port = 0;
    std::map<int, std::unique_ptr<Instance>> instances;
};

// Guards against a crashing request that only the instance knows under which servers were lost.
TEST_F(FleetBeaconTest, AllInstancesLearnOfCrashingRequestsAlsoAfterARestart)
{
    for (int number = 1; number <= 4; ++number)
        start(number);
    context.run_for(std::chrono::seconds(4));
    const CrashReport report{{Fingerprint(~0ULL), ServerId("s-1"), 500}, milliseconds(7)};
    instances[3]->crashes = {report};
    instances[3]->beacon.announceToAll();
    context.run_for(std::chrono::milliseconds(200));
    for (const auto &[number, instance] : instances)
        EXPECT_EQ(instance->crashes, std::vector{report}) << number;
    instances.erase(1);
    start(1);
    instances.erase(2);
    start(2);
    context.run_for(std::chrono::seconds(4));
    for (const auto &[number, instance] : instances)
        EXPECT_EQ(instance->crashes, std::vector{report}) << number;
}

// Guards against losses that are told to nobody while the seeds are out of reach.
TEST_F(FleetBeaconTest, NeighboursTellOfCrashingRequestsWithoutTheSeed)
{
    for (int number = 1; number <= 4; ++number)
        start(number);
    oleander::Instance neighbour = Instance::coordinator();
    neighbour.peerAddress = "127.0.0.4:7";
    instances[1]->neighbours = {neighbour};
    context.run_for(std::chrono::seconds(4));
    instances.erase(1);
    const CrashReport report{{Fingerprint(~0ULL), ServerId("s-1"), 500}, milliseconds(7)};
    instances[3]->crashes = {report};
    instances[3]->beacon.announceToAll();
    context.run_for(std::chrono::milliseconds(200));
    EXPECT_EQ(instances[4]->crashes, std::vector{report});
    EXPECT_TRUE(instances[2]->crashes.empty()) << "no neighbour";
}

// Guards against a message beyond a datagram, of which nothing at all would be read.
TEST_F(FleetBeaconTest, CrashReportsThatDoNotFitAreLeftOut)
{
    start(1);
    start(2);
    context.run_for(std::chrono::milliseconds(100));
    const std::string longName(400, 's');
    for (std::uint64_t number = 1; number <= 40; ++number)
        instances[2]->crashes.push_back({{Fingerprint(number), ServerId(longName), 500}, {}});
    instances[2]->beacon.announceToAll();
    context.run_for(std::chrono::milliseconds(100));
    ASSERT_FALSE(instances[1]->crashes.empty());
    EXPECT_LT(instances[1]->crashes.size(), 10U);
    EXPECT_EQ(instances[1]->crashes.front(), instances[2]->crashes.front());
}

// All of 127.0.0.0/8 is this machine, so that instances share a port as they do on a platform.
TEST(FleetBeacon, InstancesLearnTheirNumberFromASeed)
{
    boost::asio::io_context context;
    AsioTimerService timer(context);
    // The first instance takes any free port.
    std::uint16_t port = 0;
    const std::vector<Address> seeds{{"127.0.0.1", 1}};
    std::vector<std::unique_ptr<Instance>> instances;
    for (int number = 1; number <= 4; ++number) {
        instances.push_back(
            std::make_unique<Instance>(context, timer, "i-" + std::to_string(number)));
        Reason reason;
        const auto opened = instances.back()->beacon.start(
            {"127.0.0." + std::to_string(number), port}, seeds, reason);
        ASSERT_TRUE(opened) << reason.text;
        port = *opened;
    }
    boost::asio::ip::udp::socket stranger(context, boost::asio::ip::udp::v4());
    const std::string noise = "{\"instance\":7}";
    stranger.send_to(boost::asio::buffer(noise),
                     {boost::asio::ip::make_address("127.0.0.1"), port});
    context.run_for(std::chrono::seconds(2));
    for (const auto &instance : instances)
        EXPECT_EQ(instance->size.estimate(), 4U);
    EXPECT_EQ(instances.back()->reader, "127.0.0.1");
    EXPECT_EQ(instances.back()->coordinators, std::vector{Instance::coordinator()});
    EXPECT_EQ(instances.front()->strengths.at("i-4"), 0.5);
}

} // namespace
