#pragma once

#include <oleander/adapters/concurrency/EventLoop.h>

#include <future>
#include <thread>

namespace oleander {

/// An event loop that runs on its own thread until destroyed.
class LoopThread
{
public:
    LoopThread()
        : m_thread([this] { m_loop.run(); })
    {
    }
    LoopThread(const LoopThread &) = delete;
    LoopThread &operator=(const LoopThread &) = delete;
    ~LoopThread() { stop(); }

    /// Runs a function on the loop's thread and waits for its result.
    template <typename Function>
    auto run(Function function)
    {
        std::packaged_task<decltype(function())()> task(std::move(function));
        auto result = task.get_future();
        m_loop.post([&task] { task(); });
        return result.get();
    }

    void stop()
    {
        if (!m_thread.joinable())
            return;
        m_loop.stop();
        m_thread.join();
    }

    EventLoop &loop() { return m_loop; }
    boost::asio::io_context &context() { return m_loop.context(); }

private:
    EventLoop m_loop;
    std::thread m_thread;
};

} // namespace oleander
