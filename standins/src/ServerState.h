#pragma once

#include "Asio.h"

#include <oleander/adapters/servers/ServerCodec.h>
#include <oleander/standins/ServerStandin.h>

#include <chrono>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>

namespace oleander::standins {

/// One sub-request at a server, waiting or running.
struct Execution
{
    using Clock = std::chrono::steady_clock;

    Execution(asio::io_context &context, ReceivedSubRequest sent, HttpResponder responder);

    asio::steady_timer timer;
    ReceivedSubRequest received;
    HttpResponder respond;
    Clock::time_point deadline;
    bool isRunning = false;
    /// Set when nobody waits for the end any more.
    bool isDone = false;
};

/// The insides of ServerStandin.
struct ServerStandin::State : std::enable_shared_from_this<State>
{
    using Clock = Execution::Clock;
    using ExecutionPointer = std::shared_ptr<Execution>;

    State(asio::io_context &io, Server described, const ServerShape &behaviour,
          ExecutionLedger &record);

    // Requests
    void onRequest(const HttpRequest &request, const HttpResponder &respond);
    void onShard(const HttpRequest &request, const HttpResponder &respond);
    void onCancel(const HttpRequest &request, const HttpResponder &respond);

    // Admission
    void admit(const ExecutionPointer &execution);
    [[nodiscard]] std::optional<ReplyKind> refusalOf(const SubRequest &request);

    // Execution
    void begin(const ExecutionPointer &execution);
    void end(const ExecutionPointer &execution, ReplyKind kind);
    void beginNext();
    /// By value: the lists that hold the execution give it up meanwhile.
    void stopExecution(const ExecutionPointer &execution);
    [[nodiscard]] Duration drawServiceTime();

    // Replies
    void reply(Execution &execution, ReplyKind kind);
    void send(const SubReply &reply, const HttpResponder &respond);
    [[nodiscard]] int reportedLoad();
    [[nodiscard]] int load() const;

    void kill();

    asio::io_context &context;
    Server server;
    ServerShape shape;
    ExecutionLedger &ledger;
    ServerFaults faults;
    ServerCounts counts;
    std::unique_ptr<HttpListener> listener;
    std::mt19937_64 random;
    std::deque<ExecutionPointer> queue;
    std::set<ExecutionPointer> running;
    /// Non-idempotent requests that this server executed since its start.
    std::set<std::string> remembered;
    /// End of the cold time after a revival.
    Clock::time_point warmFrom;
    Clock::time_point drainStarted;
    /// Load by time, for the lagging report.
    std::deque<std::pair<Clock::time_point, int>> pastLoad;
};

} // namespace oleander::standins
