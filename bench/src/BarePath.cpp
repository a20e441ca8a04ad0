#include "Asio.h"

#include <oleander/bench/BarePath.h>

#include <memory>
#include <thread>
#include <vector>

namespace oleander::bench {

namespace {

using Error = boost::system::error_code;
using asio::ip::tcp;

/// One end of a connection: fixed sizes in and out.
struct BareEnd
{
    BareEnd(tcp::socket connected, std::size_t outBytes, std::size_t inBytes)
        : socket(std::move(connected))
        , output(outBytes, 'o')
        , input(inBytes, 'i')
    {
        socket.set_option(tcp::no_delay(true));
    }

    tcp::socket socket;
    std::vector<char> output;
    std::vector<char> input;
};

void answer(const std::shared_ptr<BareEnd> &end)
{
    asio::async_read(end->socket, asio::buffer(end->input), [end](const Error &error, std::size_t) {
        if (error)
            return;
        asio::async_write(end->socket, asio::buffer(end->output),
                          [end](const Error &writeError, std::size_t) {
                              if (!writeError)
                                  answer(end);
                          });
    });
}

/// The answering side: each thread has its own context and takes connections in turn.
class BareServer
{
public:
    explicit BareServer(const BarePathSizes &sizes)
        : m_sizes(sizes)
    {
        for (int number = 0; number < sizes.serverThreads; ++number)
            m_contexts.push_back(std::make_unique<asio::io_context>(1));
        for (auto &context : m_contexts) {
            m_guards.push_back(asio::make_work_guard(*context));
            m_threads.emplace_back([raw = context.get()]() { raw->run(); });
        }
    }
    ~BareServer()
    {
        for (auto &context : m_contexts)
            context->stop();
        for (auto &thread : m_threads)
            thread.join();
    }
    BareServer(const BareServer &) = delete;
    BareServer &operator=(const BareServer &) = delete;

    /// A connected pair: the far end is served, the near end returned.
    tcp::socket connect(asio::io_context &near)
    {
        tcp::acceptor acceptor(near, {asio::ip::make_address("127.0.0.1"), 0});
        tcp::socket client(near);
        client.connect(acceptor.local_endpoint());
        auto &context = *m_contexts[m_next++ % m_contexts.size()];
        auto end = std::make_shared<BareEnd>(acceptor.accept(context), m_sizes.replyBytes,
                                             m_sizes.requestBytes);
        asio::post(context, [end]() { answer(end); });
        return client;
    }

private:
    BarePathSizes m_sizes;
    std::vector<std::unique_ptr<asio::io_context>> m_contexts;
    std::vector<asio::executor_work_guard<asio::io_context::executor_type>> m_guards;
    std::vector<std::thread> m_threads;
    std::size_t m_next = 0;
};

struct BareClient
{
    std::uint64_t exchanges = 0;

    void ask(const std::shared_ptr<BareEnd> &end)
    {
        asio::async_write(end->socket, asio::buffer(end->output),
                          [this, end](const Error &error, std::size_t) {
                              if (!error)
                                  await(end);
                          });
    }

    void await(const std::shared_ptr<BareEnd> &end)
    {
        asio::async_read(end->socket, asio::buffer(end->input),
                         [this, end](const Error &error, std::size_t) {
                             if (error)
                                 return;
                             ++exchanges;
                             ask(end);
                         });
    }
};

} // namespace

PathRate runBarePath(const BarePathSizes &sizes, Duration length)
{
    BareServer server(sizes);
    asio::io_context context(1);
    BareClient client;
    for (int number = 0; number < sizes.connections; ++number) {
        client.ask(std::make_shared<BareEnd>(server.connect(context), sizes.requestBytes,
                                             sizes.replyBytes));
    }
    const auto processorBefore = threadProcessorTime();
    const auto begin = std::chrono::steady_clock::now();
    context.run_for(length);
    const auto wall = std::chrono::steady_clock::now() - begin;
    return {client.exchanges, std::chrono::duration_cast<Duration>(wall),
            threadProcessorTime() - processorBefore};
}

} // namespace oleander::bench
