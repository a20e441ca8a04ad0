#include "peers/PeerFixture.h"

#include <oleander/adapters/peers/WorkerPeerNetwork.h>

#include <gtest/gtest.h>

using namespace oleander;

namespace {

/// A daemon with one network thread and two workers; the limit of a query is the index of its
/// worker.
struct WorkerPeerNetworkTest : testing::Test
{
    WorkerPeerNetworkTest()
    {
        for (int worker = 0; worker < 2; ++worker) {
            LoopThread &thread = workers[worker];
            posted[worker] = thread.run([&] {
                return std::make_unique<WorkerPeerNetwork>(thread.loop(), daemon.thread().loop(),
                                                           *daemon.network);
            });
            thread.run([&] { posted[worker]->setHandler(&handlers[worker]); });
        }
        distributor = std::make_unique<PeerDistributor>(
            std::vector{posted[0].get(), posted[1].get()},
            [](const PeerRequest &request) { return std::get<PeerQuery>(request).query.limit; });
        daemon.run([&] { daemon.network->setHandler(distributor.get()); });
    }
    ~WorkerPeerNetworkTest() override
    {
        daemon.run([&] { daemon.network->setHandler(nullptr); });
        for (int worker = 0; worker < 2; ++worker)
            workers[worker].run([&] { handlers[worker].held.clear(); });
        for (LoopThread &worker : workers)
            worker.stop();
    }

    PeerDaemon caller{"caller"};
    LoopThread workers[2];
    PeerDaemon daemon{"daemon"};
    ScriptedHandler handlers[2];
    std::unique_ptr<WorkerPeerNetwork> posted[2];
    std::unique_ptr<PeerDistributor> distributor;
};

} // namespace

TEST_F(WorkerPeerNetworkTest, RequestsReachTheChosenWorkerAndRepliesComeBack)
{
    for (std::size_t worker = 0; worker < 2; ++worker) {
        const auto outcome = caller.call(daemon.instance(), queryNamed("a", worker));
        ASSERT_TRUE(outcome.reply);
        EXPECT_EQ(workers[worker].run([&] { return handlers[worker].requests; }), 1);
    }
    EXPECT_EQ(caller.call(daemon.instance(), queryNamed("a", 2)).callStatus,
              PeerCallStatus::NotProcessed);
    EXPECT_EQ(caller.call(daemon.instance(), queryNamed("refuse")).callStatus,
              PeerCallStatus::NotProcessed);
    EXPECT_EQ(caller.call(daemon.instance(), queryNamed("drop")).callStatus,
              PeerCallStatus::MaybeProcessed);
}

TEST_F(WorkerPeerNetworkTest, CancellationReachesTheWorker)
{
    const auto outcome = caller.call(daemon.instance(), queryNamed("hold", 1), milliseconds(100));
    EXPECT_EQ(outcome.callStatus, PeerCallStatus::MaybeProcessed);
    for (int attempt = 0; attempt < 1000; ++attempt) {
        if (workers[1].run([&] { return handlers[1].cancelled; }) == 1)
            break;
        std::this_thread::sleep_for(milliseconds(5));
    }
    EXPECT_EQ(workers[1].run([&] { return handlers[1].cancelled; }), 1);
}

TEST_F(WorkerPeerNetworkTest, WorkerCallsAndCancels)
{
    std::promise<PeerOutcome> answered;
    bool wasCalled = false;
    workers[0].run([&] {
        posted[0]->call(caller.instance(), queryNamed("a", 3), seconds(5),
                        [&](PeerOutcome outcome) { answered.set_value(std::move(outcome)); });
        const PeerCallId held = posted[0]->call(caller.instance(), queryNamed("hold"), seconds(5),
                                                [&](const PeerOutcome &) { wasCalled = true; });
        posted[0]->cancel(held);
    });
    const PeerOutcome outcome = answered.get_future().get();
    ASSERT_TRUE(outcome.reply);
    EXPECT_EQ(std::get<PeerAnswer>(*outcome.reply).answer.configuration, SectionVersion(3));
    EXPECT_FALSE(workers[0].run([&] { return wasCalled; }));
}
