#include "Asio.h"
#include "ServerAction.h"
#include "Target.h"

#include <oleander/standins/HttpListener.h>
#include <oleander/standins/ServerFleet.h>
#include <oleander/standins/ServerStandin.h>

#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <future>
#include <thread>

namespace oleander::standins {

namespace {

using nlohmann::json;

constexpr int badRequest = 400;
constexpr int notFound = 404;

/// One thread with its context.
struct Worker
{
    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> guard =
        asio::make_work_guard(context);
    std::thread thread;
};

/// Runs a task on a worker and waits for its result.
template <typename Task>
auto callOn(asio::io_context &context, Task task)
{
    std::packaged_task<decltype(task())()> packaged(std::move(task));
    auto result = packaged.get_future();
    asio::post(context, [&packaged]() { packaged(); });
    return result.get();
}

Server serverOf(const json &described)
{
    Server server;
    server.id = ServerId(described.at("id").get<std::string>());
    server.address = described.at("address").get<std::string>();
    server.slots = described.at("slots").get<int>();
    server.connectionCap = described.at("connectionCap").get<int>();
    return server;
}

/// Connection costs by server from the folder's servers.json; empty when there is no such file.
json costsOfFolder(const std::string &folder)
{
    std::ifstream file(std::filesystem::path(folder) / "servers.json");
    auto costs = json::parse(file, nullptr, false);
    return costs.is_object() ? costs : json::object();
}

std::optional<std::vector<Server>> serversOfFile(const std::filesystem::path &path, Reason &reason)
{
    std::vector<Server> servers;
    try {
        std::ifstream file(path);
        const auto map = json::parse(file);
        for (const auto &described : map.at("servers"))
            servers.push_back(serverOf(described));
    } catch (const json::exception &error) {
        reason.set(ErrorKind::BadRequest, path.string() + ": " + error.what());
        return std::nullopt;
    }
    return servers;
}

json describe(const ServerStandin &server)
{
    const auto counts = server.counts();
    const auto connections = server.connections();
    return {{"received", counts.received},
            {"executed", counts.executed},
            {"shed", counts.shed},
            {"drainRefusals", counts.drainRefusals},
            {"wrongSnapshot", counts.wrongSnapshot},
            {"expired", counts.expired},
            {"cancelCalls", counts.cancelCalls},
            {"cancelled", counts.cancelled},
            {"crashes", counts.crashes},
            {"lastDrainArrivalMs", inMilliseconds(counts.lastDrainArrival)},
            {"connections", connections.open},
            {"peakConnections", connections.peak},
            {"acceptedConnections", connections.accepted},
            {"refusedAtCap", connections.refusedAtCap}};
}

} // namespace

struct ServerFleet::State
{
    struct Entry
    {
        asio::io_context *context = nullptr;
        std::unique_ptr<ServerStandin> server;
    };

    void onAdmin(const HttpRequest &request, const HttpResponder &respond);
    HttpResponse adminResponse(const HttpRequest &request);
    HttpResponse executedResponse(const std::string &body);
    [[nodiscard]] ServerShape shapeOf(const std::string &server) const;

    ServerFleet *fleet = nullptr;
    ServerShape shape;
    ExecutionLedger ledger;
    std::vector<std::unique_ptr<Worker>> workers;
    /// Runs the admin address; waits for the workers.
    Worker adminWorker;
    std::unique_ptr<HttpListener> admin;
    std::mutex mutex;
    std::map<std::string, Entry> servers;
    std::string folder;
    /// By server: {"connectionUs": cost of a new connection}.
    json costs = json::object();
};

ServerShape ServerFleet::State::shapeOf(const std::string &server) const
{
    auto result = shape;
    if (costs.contains(server))
        result.connectionCost = Duration(costs[server].value("connectionUs", 0));
    return result;
}

void ServerFleet::State::onAdmin(const HttpRequest &request, const HttpResponder &respond)
{
    respond(adminResponse(request));
}

HttpResponse ServerFleet::State::adminResponse(const HttpRequest &request)
{
    HttpResponse response;
    Reason reason;
    const auto slash = request.target.rfind('/');
    if (request.target == "/counts")
        response.body = fleet->countsText();
    else if (request.target == "/executed")
        return executedResponse(request.body);
    else if (request.target == "/reload" && fleet->addFolder(folder, reason))
        response.body = "{}";
    else if (const auto rest = tailOf(request.target, "/servers/"); rest && slash > 8) {
        const auto name = request.target.substr(9, slash - 9);
        response.status = fleet->act(name, request.target.substr(slash + 1)) ? 200 : notFound;
    } else
        response.status = notFound;
    return response;
}

HttpResponse ServerFleet::State::executedResponse(const std::string &body)
{
    HttpResponse response;
    json executed = json::array();
    try {
        const auto asked = json::parse(body);
        for (std::size_t index = 0; index < asked.size(); ++index) {
            const CallerId caller(asked[index].at(0).get<std::string>());
            const RequestId request(asked[index].at(1).get<std::string>());
            if (ledger.hasRun(caller, request))
                executed.push_back(index);
        }
        response.body = json{{"executed", executed}}.dump();
    } catch (const json::exception &) {
        response.status = badRequest;
    }
    return response;
}

ServerFleet::ServerFleet(const ServerShape &shape, int threads)
    : m_state(std::make_unique<State>())
{
    m_state->fleet = this;
    m_state->shape = shape;
    for (int number = 0; number < std::max(threads, 1); ++number) {
        auto worker = std::make_unique<Worker>();
        worker->thread = std::thread([raw = worker.get()]() { raw->context.run(); });
        m_state->workers.push_back(std::move(worker));
    }
    auto &admin = m_state->adminWorker;
    admin.thread = std::thread([&admin]() { admin.context.run(); });
}

ServerFleet::~ServerFleet()
{
    auto &admin = m_state->adminWorker;
    admin.context.stop();
    admin.thread.join();
    m_state->admin.reset();
    for (auto &worker : m_state->workers) {
        worker->context.stop();
        worker->thread.join();
    }
    m_state->servers.clear();
}

std::optional<std::uint16_t> ServerFleet::addServer(const Server &server, Reason &reason)
{
    const std::lock_guard lock(m_state->mutex);
    auto &entry = m_state->servers[server.id.text()];
    auto &worker = m_state->workers[m_state->servers.size() % m_state->workers.size()];
    entry.context = &worker->context;
    return callOn(*entry.context, [&]() {
        entry.server = std::make_unique<ServerStandin>(
            *entry.context, server, m_state->shapeOf(server.id.text()), m_state->ledger);
        return entry.server->listen(reason);
    });
}

std::optional<int> ServerFleet::addFolder(const std::string &folder, Reason &reason)
{
    m_state->folder = folder;
    m_state->costs = costsOfFolder(folder);
    int added = 0;
    std::error_code error;
    const auto maps = std::filesystem::path(folder) / "partitions";
    for (const auto &entry : std::filesystem::directory_iterator(maps, error)) {
        const auto servers = serversOfFile(entry.path(), reason);
        if (!servers)
            return std::nullopt;
        for (const auto &server : *servers) {
            if (m_state->servers.contains(server.id.text()))
                continue;
            if (!addServer(server, reason))
                return std::nullopt;
            ++added;
        }
    }
    if (error) {
        reason.set(ErrorKind::BadRequest, maps.string() + ": " + error.message());
        return std::nullopt;
    }
    return added;
}

std::optional<std::uint16_t> ServerFleet::listenAdmin(const std::string &address, Reason &reason)
{
    auto &context = m_state->adminWorker.context;
    return callOn(context, [&]() {
        m_state->admin = std::make_unique<HttpListener>(
            context, HttpListenerLimits{},
            [state = m_state.get()](const HttpRequest &request, const HttpResponder &respond) {
                state->onAdmin(request, respond);
            });
        return m_state->admin->listen(address, reason);
    });
}

std::string ServerFleet::countsText()
{
    const std::lock_guard lock(m_state->mutex);
    json servers = json::object();
    for (const auto &[name, entry] : m_state->servers)
        servers[name] =
            callOn(*entry.context, [&server = entry.server]() { return describe(*server); });
    const json counts{{"servers", servers},
                      {"executions", m_state->ledger.executions()},
                      {"doubledRuns", m_state->ledger.doubledRuns()}};
    return counts.dump();
}

bool ServerFleet::act(const std::string &server, const std::string &action)
{
    const auto wanted = serverAction(splitTarget(action));
    if (!wanted)
        return false;
    const std::lock_guard lock(m_state->mutex);
    bool found = false;
    for (const auto &[name, entry] : m_state->servers) {
        if (server != "*" && server != name)
            continue;
        found = true;
        callOn(*entry.context, [&wanted, &standin = *entry.server]() { (*wanted)(standin); });
    }
    return found;
}

} // namespace oleander::standins
