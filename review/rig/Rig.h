#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

/// Stand-ins of the users' platform for the cases of this review: the store, backend servers and
/// callers, over blocking sockets on loopback. One thread serves one connection.
namespace review {

/// Milliseconds since the program started, on the steady clock.
double nowMs();
void sleepUntilMs(double time);

/// The file with what was sent, answered and run. Safe to use from any thread.
class Record
{
public:
    explicit Record(const std::string &path);
    Record(const Record &) = delete;
    Record &operator=(const Record &) = delete;
    ~Record();

    /// Writes one line that begins with the present time.
    void line(const std::string &text);

private:
    std::mutex m_mutex;
    std::FILE *m_file;
};

struct HttpRequest
{
    std::string method;
    std::string target;
    /// Names are in lower case.
    std::map<std::string, std::string> fields;
    std::string body;

    [[nodiscard]] std::string field(const std::string &name) const;
};

/// Listens on a port of 127.0.0.1 and serves each connection in a thread of its own.
class Listener
{
public:
    /// Called with the descriptor of a connection, which is closed after the call.
    using Serve = std::function<void(int descriptor)>;

    /// Port 0 lets the system choose one. Ends the program if the port can't be had.
    Listener(std::uint16_t port, Serve serve);
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;
    ~Listener();

    /// Stops listening and ends all connections: with a reset if `isAbrupt`.
    void close(bool isAbrupt);
    [[nodiscard]] std::uint16_t port() const { return m_port; }
    [[nodiscard]] std::size_t connections() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
    std::uint16_t m_port = 0;
};

/// Reads one request. `rest` keeps bytes beyond it. Nothing when the connection has ended.
std::optional<HttpRequest> readRequest(int descriptor, std::string &rest);
bool writeAll(int descriptor, const std::string &bytes);

/// The store: items, the history of their changes, and watches. Only reading calls are served over
/// HTTP; the operator and the servers write through put() and remove().
class Store
{
public:
    explicit Store(std::uint16_t port, double historySeconds);

    /// Returns when the store has acknowledged the change, in milliseconds.
    double put(const std::string &key, const std::string &value);
    void remove(const std::string &key);

private:
    struct Change
    {
        std::uint64_t revision = 0;
        double at = 0;
        std::string key;
        std::string json;
    };

    void serve(int descriptor);
    std::string answer(const std::string &target);
    std::string range(const std::string &prefix, const std::string &after);
    std::string watch(const std::string &prefix, std::uint64_t after, int waitMs);
    void append(const std::string &key, std::string json);

    const double m_historyMs;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::string> m_items;
    std::vector<Change> m_history;
    /// The history is whole after this revision.
    std::uint64_t m_historyStart = 0;
    std::uint64_t m_revision = 100;
    std::unique_ptr<Listener> m_listener;
};

/// What a backend server began to run.
struct Run
{
    /// When the whole request had reached the server, and when the server began to run it.
    double arrivedAt = 0;
    double at = 0;
    std::string server;
    std::string service;
    std::string requestId;
    std::string target;
    /// The server's end of the run: it was done, or the server ended before.
    bool isDone = false;
};

struct ServerShape
{
    std::string service;
    std::string zone;
    int slots = 2;
    int queue = 12;
    int maximumConnections = 58;
    double workMs = 10;
    /// Bytes of an answer.
    std::size_t bodyBytes = 96;
    /// Requests with this text in their target crash the server that begins to run them.
    std::string crashing;
    /// One answer of so many is sent a second time, late and damaged; 0 for none. The second answer
    /// comes where the answer to the connection's next request is expected, and the name of its
    /// Request-Id field has a wrong byte.
    int secondAnswers = 0;
    /// Time until a server that crashed is back, with another id at another port.
    double restartMs = 3000;
};

/// All backend servers. Each registers in the store and renews its entry.
class Servers
{
public:
    Servers(Store &store, Record &record, double heartbeatMs);
    ~Servers();

    /// Starts a server and returns its id.
    std::string start(const ServerShape &shape);
    /// Says that the server is draining; returns when the store has acknowledged it.
    double drain(const std::string &id);
    /// Ends a server as a planned stop does: the entry goes, connections end.
    void exit(const std::string &id);

    [[nodiscard]] std::vector<Run> runs();
    [[nodiscard]] std::vector<double> crashes();

private:
    class Server;
    void crash(const std::shared_ptr<Server> &server);
    /// Removes entries that have lapsed and starts servers that are back.
    void restartCrashed();

    Store &m_store;
    Record &m_record;
    /// Time after which the entry of a server that crashed lapses.
    const double m_leaseMs;
    std::mutex m_mutex;
    std::condition_variable m_ended;
    bool m_isEnding = false;
    int m_lastId = 0;
    std::map<std::string, std::shared_ptr<Server>> m_servers;
    std::vector<std::pair<double, ServerShape>> m_restarts;
    std::vector<std::pair<double, std::string>> m_lapses;
    std::vector<Run> m_runs;
    std::vector<double> m_crashes;
    std::thread m_beats;
};

/// One attempt of a caller.
struct Attempt
{
    double sentAt = 0;
    double endedAt = 0;
    std::string id;
    int gateway = 0;
    /// 0 when the connection ended without a complete answer.
    int status = 0;
    std::string stamp;
};

/// The gateways of a fleet: gateway N listens at 127.0.0.(10 + N), all at the same ports.
struct Fleet
{
    int gateways = 1;
    std::uint16_t callerPort = 0;
    std::uint16_t readinessPort = 0;
};

/// Sends one request on a connection of its own and reads the answer.
Attempt call(const Fleet &fleet, int gateway, const std::string &host, const std::string &target,
             int deadlineMs, Record &record, const std::string &method = "GET");

/// Waits until all gateways say that they are ready; false after 20 s.
bool awaitReady(const Fleet &fleet);

/// The case's arguments: NAME=VALUE, from the command line.
class Arguments
{
public:
    Arguments(int count, char **values);
    [[nodiscard]] std::string text(const std::string &name) const;
    [[nodiscard]] int number(const std::string &name) const;
    [[nodiscard]] std::uint16_t port(const std::string &name) const;
    /// From the arguments gateways, callerPort and readinessPort.
    [[nodiscard]] Fleet fleet() const;

private:
    std::map<std::string, std::string> m_values;
};

} // namespace review
