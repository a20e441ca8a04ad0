#include <oleander/adapters/resources/ProcessMemory.h>
#include <oleander/adapters/time/AsioTimerService.h>

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

using namespace oleander;

namespace {

constexpr std::size_t machineBytes = std::size_t{64} * 1024 * 1024;

struct CountingLog : EventLog
{
    void record(EventId event, const RequestId &, std::string_view) override { count(event); }
    void record(EventId event, const RequestId &, Fields) override { count(event); }
    void count(EventId event) { lines += event == EventId::MemoryShortage ? 1 : 0; }

    int lines = 0;
};

struct Holder : EvictableConnection
{
    Holder(const std::shared_ptr<ProcessMemory> &memory, std::size_t bytes, Duration newAge)
        : charge(memory, MemoryHolder::UnfinishedRequests)
        , age(newAge)
    {
        charge.set(bytes);
    }
    [[nodiscard]] HeldConnection held(TimePoint) const override
    {
        return {charge.bytes(), age, age};
    }
    void evict() override { charge.set(0); }

    MemoryCharge charge;
    Duration age;
};

struct ProcessMemoryTest : ::testing::Test
{
    ProcessMemoryTest()
    {
        memory->addSource([this](EvictableConnections &connections) {
            connections.insert(connections.end(), holders.begin(), holders.end());
        });
    }
    void add(std::size_t bytes, Duration age)
    {
        holders.push_back(std::make_shared<Holder>(memory, bytes, age));
    }

    boost::asio::io_context context;
    AsioTimerService timer{context};
    CountingLog log;
    std::shared_ptr<ProcessMemory> memory =
        std::make_shared<ProcessMemory>(machineBytes, timer, log);
    std::vector<std::shared_ptr<Holder>> holders;
};

/// Guards against bytes that stay charged when their owner is gone.
TEST_F(ProcessMemoryTest, ChargesAreGivenBack)
{
    add(1000, seconds(1));
    holders.front()->charge.set(400);
    EXPECT_EQ(memory->use().total, 400U);
    holders.clear();
    EXPECT_EQ(memory->use().total, 0U);
}

TEST_F(ProcessMemoryTest, OldestAreClosedAboveTheSoftLimitOnly)
{
    const std::size_t bytes = memory->limits().soft / 4;
    for (int number = 0; number < 4; ++number)
        add(bytes, milliseconds(100 * (number + 1)));
    memory->reclaim();
    EXPECT_EQ(memory->counts().evicted, 0U);
    add(bytes, milliseconds(1));
    memory->reclaim();
    EXPECT_EQ(holders[3]->charge.bytes(), 0U);
    EXPECT_EQ(holders[4]->charge.bytes(), bytes);
    EXPECT_LE(memory->use().total, memory->limits().low);
}

/// Guards against a client that fills the log with what it makes the process do.
TEST_F(ProcessMemoryTest, RefusalsAreLoggedOnceASecond)
{
    for (int number = 0; number < 1000; ++number)
        memory->countRefusal();
    EXPECT_EQ(memory->counts().refused, 1000U);
    EXPECT_LE(log.lines, 2);
}

} // namespace
