#include "callers/RawClient.h"
#include "peers/PeerFixture.h"

#include <oleander/adapters/peers/PeerCodec.h>

#include <gtest/gtest.h>

#include <algorithm>

using namespace oleander;

namespace {

struct PeerNetworkTest : testing::Test
{
    PeerDaemon one{"one"};
    PeerDaemon two{"two"};
};

bool hasLogged(PeerDaemon &daemon, EventId event, const std::string &part)
{
    return daemon.waitFor([&] {
        return std::ranges::any_of(daemon.log.lines, [&](const auto &line) {
            return line.first == event && line.second.find(part) != std::string::npos;
        });
    });
}

} // namespace

TEST_F(PeerNetworkTest, CallsAreAnsweredBothWays)
{
    const PeerOutcome outcome = one.call(two.instance(), queryNamed("a", 7));
    EXPECT_EQ(outcome.callStatus, PeerCallStatus::Replied);
    ASSERT_TRUE(outcome.reply);
    EXPECT_EQ(std::get<PeerAnswer>(*outcome.reply).answer.configuration, SectionVersion(7));
    ViewExchange views;
    views.newer.push_back({{"config", SectionVersion(2), 3}, std::string(3000000, 'x')});
    const PeerOutcome exchanged = two.call(one.instance(), views);
    ASSERT_TRUE(exchanged.reply);
    EXPECT_EQ(std::get<ViewExchange>(*exchanged.reply), views);
    EXPECT_TRUE(hasLogged(one, EventId::PeerOpened, "to two"));
    EXPECT_TRUE(hasLogged(one, EventId::PeerOpened, "from two"));
}

TEST_F(PeerNetworkTest, ManyCallsShareOneSession)
{
    constexpr int calls = 2000;
    std::vector<std::future<PeerOutcome>> outcomes;
    outcomes.reserve(calls);
    for (int call = 0; call < calls; ++call)
        outcomes.push_back(one.start(two.instance(), queryNamed("a", call)));
    for (int call = 0; call < calls; ++call) {
        const PeerOutcome outcome = outcomes[call].get();
        ASSERT_TRUE(outcome.reply);
        EXPECT_EQ(std::get<PeerAnswer>(*outcome.reply).answer.configuration, SectionVersion(call));
    }
    EXPECT_EQ(two.run([&] { return two.network->statistics().incomingSessions; }), 1U);
}

TEST_F(PeerNetworkTest, RefusedAndUnreachableCallsAreProvenNotProcessed)
{
    EXPECT_EQ(one.call(two.instance(), queryNamed("refuse")).callStatus,
              PeerCallStatus::NotProcessed);
    two.run([&] { two.network->setHandler(nullptr); });
    EXPECT_EQ(one.call(two.instance(), queryNamed("a")).callStatus, PeerCallStatus::NotProcessed);
    EXPECT_EQ(two.handler.requests, 1);
    Instance nobody = two.instance();
    nobody.id = InstanceId("nobody");
    for (const std::string address : {"127.0.0.1:1", "no address", ""}) {
        nobody.peerAddress = address;
        EXPECT_EQ(one.call(nobody, queryNamed("a")).callStatus, PeerCallStatus::NotProcessed);
    }
    EXPECT_EQ(one.call(two.instance(), queryNamed("a"), Duration(0)).callStatus,
              PeerCallStatus::NotProcessed);
}

TEST_F(PeerNetworkTest, TooLargeMessageIsNotSent)
{
    ViewExchange views;
    views.newer.push_back({{}, std::string(maximumPeerMessageBytes, 'x')});
    EXPECT_EQ(one.call(two.instance(), views).callStatus, PeerCallStatus::NotProcessed);
    EXPECT_EQ(two.handler.requests, 0);
}

TEST_F(PeerNetworkTest, DroppedRequestIsMaybeProcessed)
{
    EXPECT_EQ(one.call(two.instance(), queryNamed("drop")).callStatus,
              PeerCallStatus::MaybeProcessed);
}

TEST_F(PeerNetworkTest, DeadlineEndsTheCallAndCancelsTheRequest)
{
    const PeerOutcome outcome = one.call(two.instance(), queryNamed("hold"), milliseconds(100));
    EXPECT_EQ(outcome.callStatus, PeerCallStatus::MaybeProcessed);
    EXPECT_TRUE(two.waitFor([&] { return two.handler.cancelled == 1; }));
    EXPECT_LE(two.handler.lastTimeLeft, milliseconds(100));
}

TEST_F(PeerNetworkTest, CancelledCallHasNoOutcome)
{
    PeerCallId id;
    auto outcome = one.start(two.instance(), queryNamed("hold"), seconds(5), &id);
    EXPECT_TRUE(two.waitFor([&] { return two.handler.requests == 1; }));
    one.run([&] { one.network->cancel(id); });
    EXPECT_TRUE(two.waitFor([&] { return two.handler.cancelled == 1; }));
    EXPECT_EQ(one.call(two.instance(), queryNamed("a")).callStatus, PeerCallStatus::Replied);
    EXPECT_THROW(outcome.get(), std::future_error);
    two.run([&] { two.handler.held.front()->reply(PeerAnswer{}); });
}

TEST_F(PeerNetworkTest, PlannedStopFinishesCallsAndRefusesNewOnes)
{
    auto outcome = one.start(two.instance(), queryNamed("hold"));
    EXPECT_TRUE(two.waitFor([&] { return two.handler.requests == 1; }));
    bool isStopped = false;
    two.run([&] {
        two.network->beginStop();
        two.network->whenStopped([&] { isStopped = true; });
    });
    EXPECT_EQ(one.call(two.instance(), queryNamed("a")).callStatus, PeerCallStatus::NotProcessed);
    EXPECT_EQ(two.handler.requests, 1);
    EXPECT_FALSE(two.run([&] { return isStopped; }));
    two.run([&] {
        two.handler.held.front()->reply(ScriptedHandler::replyTo({}));
        two.handler.held.clear();
    });
    EXPECT_EQ(outcome.get().callStatus, PeerCallStatus::Replied);
    EXPECT_TRUE(two.waitFor([&] { return isStopped; }));
}

TEST_F(PeerNetworkTest, LostConnectionEndsCallsAsMaybeProcessed)
{
    auto outcome = one.start(two.instance(), queryNamed("hold"));
    EXPECT_TRUE(two.waitFor([&] { return two.handler.requests == 1; }));
    two.run([&] { two.network.reset(); });
    EXPECT_EQ(outcome.get().callStatus, PeerCallStatus::MaybeProcessed);
    EXPECT_EQ(two.handler.cancelled, 1);
    EXPECT_TRUE(hasLogged(one, EventId::PeerLost, "to two"));
}

TEST_F(PeerNetworkTest, SilentPeerIsFoundByPing)
{
    EXPECT_EQ(one.call(two.instance(), queryNamed("a")).callStatus, PeerCallStatus::Replied);
    std::promise<void> wake;
    two.thread().loop().post([&] { wake.get_future().wait(); });
    auto outcome = one.start(two.instance(), queryNamed("a"), seconds(60));
    EXPECT_EQ(outcome.get().callStatus, PeerCallStatus::MaybeProcessed);
    EXPECT_TRUE(hasLogged(one, EventId::PeerLost, "silent"));
    wake.set_value();
}

TEST_F(PeerNetworkTest, UnauthenticatedConnectionsAreClosedWithoutAffectingPeers)
{
    RawClient nonsense(two.port());
    nonsense.send("GET / HTTP/1.1\r\n\r\n" + std::string(100000, 'x'));
    RawClient silent(two.port());
    EXPECT_EQ(one.call(two.instance(), queryNamed("a")).callStatus, PeerCallStatus::Replied);
    nonsense.readAll();
    silent.readAll();
    EXPECT_TRUE(two.waitFor([&] { return two.network->statistics().incomingSessions == 1; }));
    EXPECT_EQ(one.call(two.instance(), queryNamed("a")).callStatus, PeerCallStatus::Replied);
}

TEST(PeerGreeting, WrongFleetKeyOrInstanceIsRefusedBeforeAnyCall)
{
    PeerDaemon daemon("daemon");
    PeerDaemon otherFleet(PeerIdentity{InstanceId("a"), FleetId("other"), "key"});
    EXPECT_EQ(otherFleet.call(daemon.instance(), queryNamed("a")).callStatus,
              PeerCallStatus::NotProcessed);
    EXPECT_TRUE(hasLogged(otherFleet, EventId::PeerRefused, "fleet 'other' is not ours"));

    PeerDaemon otherKey(PeerIdentity{InstanceId("b"), FleetId("fleet"), "other"});
    EXPECT_EQ(otherKey.call(daemon.instance(), queryNamed("a")).callStatus,
              PeerCallStatus::NotProcessed);
    EXPECT_TRUE(hasLogged(otherKey, EventId::PeerRefused, "does not hold the fleet's key"));

    PeerDaemon good("good");
    Instance renamed = daemon.instance();
    renamed.id = InstanceId("renamed");
    EXPECT_EQ(good.call(renamed, queryNamed("a")).callStatus, PeerCallStatus::NotProcessed);
    EXPECT_TRUE(hasLogged(good, EventId::PeerRefused, "identifies itself as daemon"));
    EXPECT_EQ(daemon.handler.requests, 0);
    EXPECT_EQ(good.call(daemon.instance(), queryNamed("a")).callStatus, PeerCallStatus::Replied);
}
