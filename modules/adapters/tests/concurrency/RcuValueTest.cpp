#include <oleander/adapters/concurrency/EventLoop.h>
#include <oleander/adapters/concurrency/RcuValue.h>

#include <gtest/gtest.h>

#include <atomic>
#include <thread>
#include <vector>

using namespace oleander;

namespace {

/// Both members are equal as long as the object is completely constructed and not destroyed.
struct Pair
{
    explicit Pair(int value)
        : first(value)
        , second(value)
    {
        ++alive;
    }
    Pair(const Pair &) = delete;
    Pair &operator=(const Pair &) = delete;
    ~Pair()
    {
        first = -1;
        --alive;
    }

    int first;
    int second;
    static inline std::atomic<int> alive = 0;
};

constexpr int replacements = 2000;

} // namespace

TEST(RcuValue, ReadersSeeCompleteValuesInPublishedOrder)
{
    {
        RcuValue<Pair> cell;
        EXPECT_EQ(cell.read(), nullptr);
        cell.publish(std::make_shared<Pair>(0));
        std::atomic<int> bad = 0;
        std::vector<std::thread> readers;
        readers.reserve(3);
        for (int reader = 0; reader < 3; ++reader) {
            readers.emplace_back([&] {
                int last = 0;
                while (last < replacements) {
                    const auto value = cell.read();
                    bad += value->first != value->second || value->first < last;
                    last = value->second;
                }
            });
        }
        for (int value = 1; value <= replacements; ++value)
            cell.publish(std::make_shared<Pair>(value));
        for (std::thread &reader : readers)
            reader.join();
        EXPECT_EQ(bad, 0);
    }
    EXPECT_EQ(Pair::alive, 0);
}

TEST(EventLoop, RunsTasksOfEachThreadInPostingOrder)
{
    constexpr int threads = 4;
    constexpr int tasks = 3000;
    EventLoop loop;
    std::vector<int> last(threads, -1);
    int done = 0;
    bool isInOrder = true;
    std::vector<std::thread> producers;
    producers.reserve(threads);
    for (int thread = 0; thread < threads; ++thread) {
        producers.emplace_back([&, thread] {
            for (int task = 0; task < tasks; ++task) {
                loop.post([&, thread, task] {
                    isInOrder = isInOrder && last[thread] == task - 1;
                    last[thread] = task;
                    if (++done == threads * tasks)
                        loop.stop();
                });
            }
        });
    }
    loop.run();
    for (std::thread &producer : producers)
        producer.join();
    EXPECT_EQ(done, threads * tasks);
    EXPECT_TRUE(isInOrder);
}

TEST(EventLoop, TaskThatWasNotRunIsDestroyed)
{
    auto owned = std::make_shared<int>(1);
    const std::weak_ptr<int> watch = owned;
    {
        EventLoop loop;
        loop.post([owned] {});
        owned.reset();
        loop.stop();
        loop.run();
    }
    EXPECT_TRUE(watch.expired());
}
