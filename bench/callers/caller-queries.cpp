// Queries a second through one CallerServer on one thread, over loopback; the handler answers at
// once, so that only HTTP and JSON are measured.
//
//   caller-queries [seconds] [connections] [documents in an answer]

#include <oleander/adapters/callers/CallerServer.h>
#include <oleander/adapters/callers/QueryCodec.h>
#include <oleander/adapters/concurrency/EventLoop.h>
#include <oleander/adapters/time/SteadyTime.h>

#include <arpa/inet.h>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <netinet/tcp.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace oleander;

namespace {

constexpr std::size_t payloadBytes = 200;
constexpr std::size_t documentBytes = 100;
constexpr int askedShards = 64;
constexpr std::size_t readBytes = 65536;

struct NoLog : EventLog
{
    using EventLog::record;
    void record(EventId, const RequestId &, std::string_view) override {}
};

struct FixedHandler : QueryHandler
{
    QueryTicket submit(Query, std::function<void(Answer)> done) override
    {
        done(answer);
        return QueryTicket(1);
    }
    void abandon(QueryTicket) override {}

    Answer answer;
};

int connectTo(std::uint16_t port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const auto *generic = reinterpret_cast<const sockaddr *>(&address);
    return ::connect(descriptor, generic, sizeof address) == 0 ? descriptor : -1;
}

std::string requestText()
{
    Query query;
    query.caller = CallerId("bench");
    query.request = RequestId("request-1234567890");
    query.backend = BackendId("notes");
    query.payload = std::string(payloadBytes, 'p');
    query.deadline = milliseconds(100);
    const std::string body = queryToJson(query);
    return "POST /v1/query HTTP/1.1\r\nHost: bench\r\nContent-Type: application/json\r\n"
           "Content-Length: "
           + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// One query after the other on one connection; returns how many were answered.
std::size_t sendQueries(std::uint16_t port, std::size_t responseBytes,
                        const std::atomic<bool> &isStopping)
{
    const int descriptor = connectTo(port);
    const std::string request = requestText();
    std::vector<char> buffer(readBytes);
    std::size_t answered = 0;
    while (!isStopping) {
        if (::send(descriptor, request.data(), request.size(), MSG_NOSIGNAL) < 0)
            break;
        std::size_t received = 0;
        while (received < responseBytes) {
            const auto size = ::recv(descriptor, buffer.data(), buffer.size(), 0);
            if (size <= 0)
                break;
            received += static_cast<std::size_t>(size);
        }
        answered += received == responseBytes ? 1 : 0;
    }
    ::close(descriptor);
    return answered;
}

/// Size of the one response that every query gets.
std::size_t measureResponse(std::uint16_t port)
{
    const int descriptor = connectTo(port);
    std::string request = requestText();
    request.insert(request.find("Host"), "Connection: close\r\n");
    (void)::send(descriptor, request.data(), request.size(), MSG_NOSIGNAL);
    std::vector<char> buffer(readBytes);
    std::size_t total = 0;
    for (;;) {
        const auto size = ::recv(descriptor, buffer.data(), buffer.size(), 0);
        if (size <= 0)
            break;
        total += static_cast<std::size_t>(size);
    }
    ::close(descriptor);
    constexpr std::size_t closeHeaderBytes = std::string_view("Connection: close\r\n").size();
    return total - closeHeaderBytes;
}

int argument(int count, char **values, int place, int otherwise)
{
    return count > place ? std::atoi(values[place]) : otherwise;
}

} // namespace

int main(int count, char **values)
{
    const int time = argument(count, values, 1, 3);
    const int connections = argument(count, values, 2, 8);
    const int documents = argument(count, values, 3, 20);
    FixedHandler handler;
    handler.answer.outcome = Outcome::Answered;
    handler.answer.ran = ExecutionState::Ran;
    handler.answer.coverage = {askedShards, askedShards, {}};
    for (int number = 0; number < documents; ++number) {
        handler.answer.documents.push_back({DocumentId("document-" + std::to_string(number)),
                                            1.0 / (1 + number), std::string(documentBytes, 'd')});
    }
    NoLog log;
    EventLoop loop;
    CallerServer server(loop.context(), handler, log);
    Reason reason;
    const std::uint16_t port = server.listen("127.0.0.1:0", reason).value_or(0);
    timespec processorTime{};
    std::thread serving([&] {
        loop.run();
        ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &processorTime);
    });
    const std::size_t responseBytes = measureResponse(port);
    std::atomic<bool> isStopping = false;
    std::atomic<std::size_t> answered = 0;
    std::vector<std::thread> clients;
    clients.reserve(static_cast<std::size_t>(connections));
    for (int client = 0; client < connections; ++client)
        clients.emplace_back([&] { answered += sendQueries(port, responseBytes, isStopping); });
    std::this_thread::sleep_for(seconds(time));
    isStopping = true;
    for (std::thread &client : clients)
        client.join();
    loop.stop();
    serving.join();

    const auto queries = static_cast<double>(answered);
    const double processorUs = static_cast<double>(processorTime.tv_sec) * 1e6
                               + static_cast<double>(processorTime.tv_nsec) / 1e3;
    std::printf("queries/s %.0f  connections %d  documents %d  response %zu B  processor us a "
                "query %.1f\n",
                queries / time, connections, documents, responseBytes, processorUs / queries);
    return answered > 0 ? 0 : 1;
}
