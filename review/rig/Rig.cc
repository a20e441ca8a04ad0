#include "Rig.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cstdlib>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

const auto programStart = std::chrono::steady_clock::now();

std::string toBase64(const std::string &bytes)
{
    static constexpr char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    text.reserve((bytes.size() + 2) / 3 * 4);
    for (std::size_t index = 0; index < bytes.size(); index += 3) {
        std::uint32_t group = 0;
        for (std::size_t part = 0; part < 3; ++part) {
            group <<= 8;
            if (index + part < bytes.size())
                group |= static_cast<unsigned char>(bytes[index + part]);
        }
        for (std::size_t part = 0; part < 4; ++part) {
            const bool isPadding = index + part > bytes.size();
            text += isPadding ? '=' : digits[(group >> (18 - 6 * part)) & 63];
        }
    }
    return text;
}

std::string queryParameter(const std::string &target, const std::string &name)
{
    const auto query = target.find('?');
    if (query == std::string::npos)
        return {};
    auto begin = query;
    while (begin != std::string::npos) {
        ++begin;
        if (target.compare(begin, name.size() + 1, name + "=") == 0)
            break;
        begin = target.find('&', begin);
    }
    if (begin == std::string::npos)
        return {};
    begin += name.size() + 1;
    const std::string encoded = target.substr(begin, target.find('&', begin) - begin);
    std::string value;
    for (std::size_t index = 0; index < encoded.size(); ++index) {
        if (encoded[index] == '%' && index + 2 < encoded.size()) {
            value += static_cast<char>(std::stoi(encoded.substr(index + 1, 2), nullptr, 16));
            index += 2;
        } else {
            value += encoded[index];
        }
    }
    return value;
}

std::string httpAnswer(int status, const std::string &reason, const std::string &fields,
                       const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n" + fields
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// An answer in chunks, as servers send it that write a body while they make it.
std::string chunkedAnswer(const std::string &body)
{
    constexpr std::size_t chunkBytes = 65536;
    std::string text = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n";
    for (std::size_t offset = 0; offset < body.size(); offset += chunkBytes) {
        const std::string chunk = body.substr(offset, chunkBytes);
        char size[32];
        std::snprintf(size, sizeof size, "%zx\r\n", chunk.size());
        text += size + chunk + "\r\n";
    }
    return text + "0\r\n\r\n";
}

int connectTo(int gateway, std::uint16_t port, int timeoutMs)
{
    constexpr std::uint32_t firstAddress = 10;
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr =
        htonl((INADDR_LOOPBACK & 0xffffff00) + firstAddress + static_cast<std::uint32_t>(gateway));
    timeval timeout{timeoutMs / 1000, (timeoutMs % 1000) * 1000};
    ::setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (::connect(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

void parseFields(const std::string &head, std::map<std::string, std::string> &fields)
{
    auto begin = head.find("\r\n");
    while (begin != std::string::npos && begin + 2 < head.size()) {
        begin += 2;
        const auto end = head.find("\r\n", begin);
        const std::string line = head.substr(begin, end - begin);
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            std::string name = line.substr(0, colon);
            std::ranges::transform(name, name.begin(),
                                   [](unsigned char letter) { return std::tolower(letter); });
            const auto value = line.find_first_not_of(' ', colon + 1);
            fields[name] = value == std::string::npos ? "" : line.substr(value);
        }
        begin = end;
    }
}

} // namespace

double nowMs()
{
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now()
                                                     - programStart)
        .count();
}

void sleepUntilMs(double time)
{
    std::this_thread::sleep_until(programStart
                                  + std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                                      std::chrono::duration<double, std::milli>(time)));
}

// Record

Record::Record(const std::string &path)
    : m_file(std::fopen(path.c_str(), "w"))
{
    if (!m_file) {
        std::perror(path.c_str());
        std::exit(2);
    }
}

Record::~Record()
{
    std::fclose(m_file);
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    std::fprintf(m_file, "%9.1f %s\n", nowMs(), text.c_str());
    std::fflush(m_file);
}

// Sockets

std::string HttpRequest::field(const std::string &name) const
{
    const auto found = fields.find(name);
    return found == fields.end() ? "" : found->second;
}

struct Listener::State
{
    std::mutex mutex;
    int descriptor = -1;
    bool isClosed = false;
    std::set<int> connections;
    Serve serve;
};

Listener::Listener(std::uint16_t port, Serve serve)
    : m_state(std::make_shared<State>())
{
    m_state->serve = std::move(serve);
    m_state->descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    ::setsockopt(m_state->descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    if (::bind(m_state->descriptor, reinterpret_cast<sockaddr *>(&address), size) != 0
        || ::listen(m_state->descriptor, 512) != 0) {
        std::perror("listen");
        std::exit(2);
    }
    ::getsockname(m_state->descriptor, reinterpret_cast<sockaddr *>(&address), &size);
    m_port = ntohs(address.sin_port);
    std::thread([state = m_state] {
        while (true) {
            const int connection = ::accept(state->descriptor, nullptr, nullptr);
            const std::lock_guard lock(state->mutex);
            if (connection < 0 || state->isClosed) {
                if (connection >= 0)
                    ::close(connection);
                return;
            }
            const int noDelay = 1;
            ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof noDelay);
            state->connections.insert(connection);
            std::thread([state, connection] {
                state->serve(connection);
                const std::lock_guard held(state->mutex);
                if (state->connections.erase(connection) > 0)
                    ::close(connection);
            }).detach();
        }
    }).detach();
}

Listener::~Listener()
{
    close(false);
}

void Listener::close(bool isAbrupt)
{
    const std::lock_guard lock(m_state->mutex);
    if (m_state->isClosed)
        return;
    m_state->isClosed = true;
    ::shutdown(m_state->descriptor, SHUT_RDWR);
    ::close(m_state->descriptor);
    for (const int connection : m_state->connections) {
        if (isAbrupt) {
            const linger reset{1, 0};
            ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        }
        ::shutdown(connection, SHUT_RDWR);
    }
}

std::size_t Listener::connections() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->connections.size();
}

bool writeAll(int descriptor, const std::string &bytes)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const auto written =
            ::send(descriptor, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (written <= 0)
            return false;
        done += static_cast<std::size_t>(written);
    }
    return true;
}

std::optional<HttpRequest> readRequest(int descriptor, std::string &rest)
{
    const auto readMore = [&] {
        char buffer[16384];
        const auto count = ::recv(descriptor, buffer, sizeof buffer, 0);
        if (count > 0)
            rest.append(buffer, static_cast<std::size_t>(count));
        return count > 0;
    };
    auto end = rest.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (!readMore())
            return std::nullopt;
        end = rest.find("\r\n\r\n");
    }
    HttpRequest request;
    const std::string head = rest.substr(0, end);
    rest.erase(0, end + 4);
    const auto first = head.find(' ');
    const auto second = head.find(' ', first + 1);
    request.method = head.substr(0, first);
    request.target = head.substr(first + 1, second - first - 1);
    parseFields(head, request.fields);
    const std::string length = request.field("content-length");
    const std::size_t size = length.empty() ? 0 : std::stoull(length);
    while (rest.size() < size) {
        if (!readMore())
            return std::nullopt;
    }
    request.body = rest.substr(0, size);
    rest.erase(0, size);
    return request;
}

// Store

Store::Store(std::uint16_t port, double historySeconds)
    : m_historyMs(historySeconds * 1000)
    , m_listener(std::make_unique<Listener>(port, [this](int descriptor) { serve(descriptor); }))
{
}

double Store::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    const std::string revision = std::to_string(m_revision + 1);
    std::string json = R"({"key":")" + key + R"(","value":")" + toBase64(value) + R"(","revision":)"
                       + revision + R"(,"created":)" + revision + R"(,"lease":0})";
    m_items[key] = json;
    append(key, std::move(json));
    return nowMs();
}

void Store::remove(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    if (m_items.erase(key) == 0)
        return;
    append(key, R"({"key":")" + key + R"(","revision":)" + std::to_string(m_revision + 1)
                    + R"(,"removed":true})");
}

void Store::append(const std::string &key, std::string json)
{
    m_history.push_back({++m_revision, nowMs(), key, std::move(json)});
    const double oldest = nowMs() - m_historyMs;
    const auto kept =
        std::ranges::find_if(m_history, [&](const Change &change) { return change.at >= oldest; });
    if (kept != m_history.begin())
        m_historyStart = std::prev(kept)->revision;
    m_history.erase(m_history.begin(), kept);
    m_changed.notify_all();
}

void Store::serve(int descriptor)
{
    std::string rest;
    while (const auto request = readRequest(descriptor, rest)) {
        if (!writeAll(descriptor, answer(request->target)))
            return;
    }
}

std::string Store::answer(const std::string &target)
{
    const std::string prefix = queryParameter(target, "prefix");
    if (target.starts_with("/-/kv-range"))
        return range(prefix, queryParameter(target, "after"));
    if (target.starts_with("/-/kv-watch"))
        return watch(prefix, std::stoull(queryParameter(target, "after")),
                     std::stoi(queryParameter(target, "waitMs")));
    return httpAnswer(404, "Not Found", "", "");
}

std::string Store::range(const std::string &prefix, const std::string &after)
{
    constexpr std::size_t maximumItems = 500;
    constexpr std::size_t maximumBytes = 1000000;
    const std::lock_guard lock(m_mutex);
    std::string items;
    std::size_t count = 0;
    bool isTruncated = false;
    for (auto item = m_items.upper_bound(after); item != m_items.end(); ++item) {
        if (!item->first.starts_with(prefix))
            continue;
        if (count == maximumItems
            || (count > 0 && items.size() + item->second.size() > maximumBytes)) {
            isTruncated = true;
            break;
        }
        items += (count++ > 0 ? "," : "") + item->second;
    }
    return chunkedAnswer(R"({"items":[)" + items + R"(],"truncated":)"
                         + (isTruncated ? "true" : "false") + R"(,"storeRevision":)"
                         + std::to_string(m_revision) + "}");
}

std::string Store::watch(const std::string &prefix, std::uint64_t after, int waitMs)
{
    std::unique_lock lock(m_mutex);
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(waitMs);
    while (true) {
        if (after < m_historyStart)
            return httpAnswer(410, "Gone", "", "");
        std::string events;
        for (const Change &change : m_history) {
            if (change.revision > after && change.key.starts_with(prefix))
                events += (events.empty() ? "" : ",") + change.json;
        }
        if (!events.empty() || std::chrono::steady_clock::now() >= until)
            return chunkedAnswer(R"({"events":[)" + events + R"(],"storeRevision":)"
                                 + std::to_string(m_revision) + "}");
        m_changed.wait_until(lock, until);
    }
}

// Servers

/// One start of a server.
class Servers::Server : public std::enable_shared_from_this<Servers::Server>
{
public:
    Server(Servers &owner, std::string id, ServerShape shape)
        : m_owner(owner)
        , m_id(std::move(id))
        , m_shape(std::move(shape))
        , m_born(std::chrono::duration_cast<std::chrono::milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count())
    {
    }

    void open()
    {
        m_listener = std::make_unique<Listener>(
            0, [self = shared_from_this()](int descriptor) { self->serve(descriptor); });
    }

    void end(bool isAbrupt)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_isEnded = true;
            m_freed.notify_all();
        }
        m_listener->close(isAbrupt);
    }

    std::string entry()
    {
        return R"({"service":")" + m_shape.service + R"(","address":"127.0.0.1:)"
               + std::to_string(m_listener->port()) + R"(","zone":")" + m_shape.zone
               + R"(","version":"v1","slots":)" + std::to_string(m_shape.slots) + R"(,"state":")"
               + (isDraining ? "draining" : "ready") + R"(","warmupLeftMs":0,"seq":)"
               + std::to_string(++m_sequence) + R"(,"born":)" + std::to_string(m_born) + "}";
    }

    [[nodiscard]] const std::string &id() const { return m_id; }
    [[nodiscard]] const ServerShape &shape() const { return m_shape; }

    std::atomic<bool> isDraining{false};

private:
    void serve(int descriptor)
    {
        if (static_cast<int>(m_listener->connections()) > m_shape.maximumConnections) {
            const linger reset{1, 0};
            ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
            return;
        }
        std::string rest;
        std::string secondAnswer;
        while (const auto request = readRequest(descriptor, rest)) {
            if (!secondAnswer.empty()) {
                m_owner.m_record.line("server " + m_id + " sends a second answer before "
                                      + request->field("request-id"));
                writeAll(descriptor, std::exchange(secondAnswer, {}));
            }
            if (!handle(descriptor, *request, secondAnswer))
                return;
        }
    }

    bool handle(int descriptor, const HttpRequest &request, std::string &secondAnswer)
    {
        const double arrivedAt = nowMs();
        const std::string requestId = request.field("request-id");
        if (request.target == "/health")
            return writeAll(descriptor, httpAnswer(isDraining ? 503 : 200, "Health",
                                                   "Instance-Id: " + m_id + "\r\n", ""));
        if (request.field("expect-instance") != m_id)
            return writeAll(descriptor, httpAnswer(421, "Misdirected Request",
                                                   "Instance-Id: " + m_id + "\r\n", ""));
        if (!takeSlot()) {
            if (m_isEnded)
                return false;
            const std::string rejection = "Not-Executed: 1\r\n";
            if (isNextSentTwice()) {
                secondAnswer = httpAnswer(503, "Service Unavailable",
                                          secondIdField(requestId) + rejection, "");
            }
            m_owner.m_record.line("shed " + requestId + " at " + m_id);
            return writeAll(descriptor, httpAnswer(503, "Service Unavailable",
                                                   idField(requestId) + rejection, ""));
        }
        const std::size_t run = noteRun(request, arrivedAt);
        if (!m_shape.crashing.empty()
            && request.target.find(m_shape.crashing) != std::string::npos) {
            m_owner.crash(shared_from_this());
            return false;
        }
        const bool isDone = work();
        freeSlot();
        if (!isDone)
            return false;
        noteDone(run);
        std::string body;
        while (body.size() < m_shape.bodyBytes)
            body += "record " + m_id.substr(m_id.size() - 4) + std::to_string(10000 + body.size());
        body.resize(m_shape.bodyBytes);
        const std::string fields = "Server-Stamp: " + m_id + "." + requestId + "\r\n" + load();
        if (isNextSentTwice())
            secondAnswer = httpAnswer(200, "OK", secondIdField(requestId) + fields, body);
        return writeAll(descriptor, httpAnswer(200, "OK", idField(requestId) + fields, body));
    }

    /// Counts the answers of this server.
    bool isNextSentTwice()
    {
        return m_shape.secondAnswers > 0 && ++m_answers % m_shape.secondAnswers == 0;
    }

    static std::string idField(const std::string &id)
    {
        return id.empty() ? "" : "Request-Id: " + id + "\r\n";
    }

    /// The field of a second answer, whose name has a wrong byte.
    static std::string secondIdField(const std::string &id)
    {
        return id.empty() ? "" : "Reqvest-Id: " + id + "\r\n";
    }

    std::string load()
    {
        const std::lock_guard lock(m_mutex);
        return "Server-Load: " + std::to_string(m_running) + "," + std::to_string(m_waiting) + ","
               + std::to_string(m_shape.slots) + "\r\n";
    }

    bool takeSlot()
    {
        std::unique_lock lock(m_mutex);
        if (m_running >= m_shape.slots && m_waiting >= m_shape.queue)
            return false;
        // First come, first served.
        const std::uint64_t turn = m_lastTurn++;
        ++m_waiting;
        m_freed.wait(lock, [this, turn] {
            return m_isEnded || (m_running < m_shape.slots && turn == m_nextTurn);
        });
        --m_waiting;
        if (m_isEnded)
            return false;
        ++m_nextTurn;
        ++m_running;
        m_freed.notify_all();
        return true;
    }

    void freeSlot()
    {
        const std::lock_guard lock(m_mutex);
        --m_running;
        m_freed.notify_all();
    }

    /// False if the server ended meanwhile.
    bool work()
    {
        std::unique_lock lock(m_mutex);
        const auto until = std::chrono::steady_clock::now()
                           + std::chrono::duration<double, std::milli>(m_shape.workMs);
        while (!m_isEnded && std::chrono::steady_clock::now() < until) {
            m_freed.wait_until(
                lock, std::chrono::time_point_cast<std::chrono::steady_clock::duration>(until));
        }
        return !m_isEnded;
    }

    std::size_t noteRun(const HttpRequest &request, double arrivedAt)
    {
        const std::string requestId = request.field("request-id");
        m_owner.m_record.line("run " + requestId + " at " + m_id + " of " + m_shape.service
                              + (isDraining ? " draining" : "") + " " + request.target
                              + " arrived at " + std::to_string(static_cast<int>(arrivedAt)));
        const std::lock_guard lock(m_owner.m_mutex);
        m_owner.m_runs.push_back(
            {arrivedAt, nowMs(), m_id, m_shape.service, requestId, request.target, false});
        return m_owner.m_runs.size() - 1;
    }

    void noteDone(std::size_t run)
    {
        const std::lock_guard lock(m_owner.m_mutex);
        m_owner.m_runs[run].isDone = true;
    }

    Servers &m_owner;
    const std::string m_id;
    const ServerShape m_shape;
    const std::int64_t m_born;
    std::mutex m_mutex;
    std::condition_variable m_freed;
    int m_running = 0;
    int m_waiting = 0;
    std::uint64_t m_lastTurn = 0;
    std::uint64_t m_nextTurn = 0;
    bool m_isEnded = false;
    int m_sequence = 0;
    std::atomic<int> m_answers{0};
    std::unique_ptr<Listener> m_listener;
};

Servers::Servers(Store &store, Record &record, double heartbeatMs)
    : m_store(store)
    , m_record(record)
    , m_leaseMs(3 * heartbeatMs)
    , m_beats([this, heartbeatMs] {
        std::unique_lock lock(m_mutex);
        double next = nowMs() + heartbeatMs;
        while (!m_isEnding) {
            m_ended.wait_for(lock, std::chrono::milliseconds(50));
            lock.unlock();
            restartCrashed();
            if (nowMs() >= next) {
                next += heartbeatMs;
                std::vector<std::shared_ptr<Server>> present;
                {
                    const std::lock_guard held(m_mutex);
                    for (const auto &[id, server] : m_servers)
                        present.push_back(server);
                }
                for (const auto &server : present)
                    m_store.put("servers/" + server->id(), server->entry());
            }
            lock.lock();
        }
    })
{
}

Servers::~Servers()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isEnding = true;
        m_ended.notify_all();
    }
    m_beats.join();
}

void Servers::restartCrashed()
{
    std::vector<ServerShape> due;
    std::vector<std::string> lapsed;
    {
        const std::lock_guard lock(m_mutex);
        std::erase_if(m_restarts, [&](const auto &restart) {
            const bool isDue = nowMs() >= restart.first;
            if (isDue)
                due.push_back(restart.second);
            return isDue;
        });
        std::erase_if(m_lapses, [&](const auto &lapse) {
            const bool isDue = nowMs() >= lapse.first;
            if (isDue)
                lapsed.push_back(lapse.second);
            return isDue;
        });
    }
    for (const std::string &id : lapsed)
        m_store.remove("servers/" + id);
    for (const ServerShape &shape : due)
        start(shape);
}

std::string Servers::start(const ServerShape &shape)
{
    std::shared_ptr<Server> server;
    {
        const std::lock_guard lock(m_mutex);
        char id[32];
        std::snprintf(id, sizeof id, "i-%04d", ++m_lastId);
        server = std::make_shared<Server>(*this, id, shape);
        server->open();
        m_servers[server->id()] = server;
    }
    m_store.put("servers/" + server->id(), server->entry());
    m_record.line("server " + server->id() + " of " + shape.service + " started");
    return server->id();
}

double Servers::drain(const std::string &id)
{
    std::shared_ptr<Server> server;
    {
        const std::lock_guard lock(m_mutex);
        server = m_servers.at(id);
    }
    server->isDraining = true;
    const double at = m_store.put("servers/" + id, server->entry());
    m_record.line("server " + id + " of " + server->shape().service + " is draining");
    return at;
}

void Servers::exit(const std::string &id)
{
    std::shared_ptr<Server> server;
    {
        const std::lock_guard lock(m_mutex);
        server = m_servers.at(id);
        m_servers.erase(id);
    }
    m_store.remove("servers/" + id);
    server->end(false);
    m_record.line("server " + id + " of " + server->shape().service + " has left");
}

void Servers::crash(const std::shared_ptr<Server> &server)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_servers.erase(server->id()) == 0)
            return;
        m_crashes.push_back(nowMs());
        m_restarts.emplace_back(nowMs() + server->shape().restartMs, server->shape());
        m_lapses.emplace_back(nowMs() + m_leaseMs, server->id());
    }
    m_record.line("server " + server->id() + " of " + server->shape().service + " crashed");
    server->end(true);
}

std::vector<Run> Servers::runs()
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

std::vector<double> Servers::crashes()
{
    const std::lock_guard lock(m_mutex);
    return m_crashes;
}

// Callers

Attempt call(const Fleet &fleet, int gateway, const std::string &host, const std::string &target,
             int deadlineMs, Record &record, const std::string &method)
{
    static std::atomic<int> lastId{0};
    char id[32];
    std::snprintf(id, sizeof id, "r%06d", ++lastId);
    Attempt attempt;
    attempt.id = id;
    attempt.gateway = gateway;
    attempt.sentAt = nowMs();
    record.line("sent " + attempt.id + " to gateway " + std::to_string(gateway) + " " + method + " "
                + target);
    const int descriptor = connectTo(gateway, fleet.callerPort, deadlineMs + 1000);
    std::string text;
    if (descriptor >= 0) {
        const std::string length = method == "GET" ? "" : "Content-Length: 0\r\n";
        writeAll(descriptor, method + " " + target + " HTTP/1.1\r\nHost: " + host
                                 + "\r\nRequest-Id: " + attempt.id
                                 + "\r\nDeadline-Ms: " + std::to_string(deadlineMs) + "\r\n"
                                 + length + "Connection: close\r\n\r\n");
        char buffer[16384];
        ssize_t count = 0;
        while ((count = ::recv(descriptor, buffer, sizeof buffer, 0)) > 0)
            text.append(buffer, static_cast<std::size_t>(count));
        ::close(descriptor);
    }
    const auto end = text.find("\r\n\r\n");
    if (end != std::string::npos) {
        std::map<std::string, std::string> fields;
        parseFields(text.substr(0, end), fields);
        const std::size_t length =
            fields["content-length"].empty() ? 0 : std::stoull(fields["content-length"]);
        if (text.size() - end - 4 >= length) {
            attempt.status = std::atoi(text.c_str() + std::strlen("HTTP/1.1 "));
            attempt.stamp = fields["server-stamp"];
        }
    }
    attempt.endedAt = nowMs();
    record.line("answered " + attempt.id + " with "
                + (attempt.status ? std::to_string(attempt.status) : "nothing") + " after "
                + std::to_string(static_cast<int>(attempt.endedAt - attempt.sentAt)) + " ms");
    return attempt;
}

bool awaitReady(const Fleet &fleet)
{
    const double until = nowMs() + 20000;
    for (int gateway = 1; gateway <= fleet.gateways; ++gateway) {
        bool isReady = false;
        while (!isReady && nowMs() < until) {
            const int descriptor = connectTo(gateway, fleet.readinessPort, 1000);
            if (descriptor >= 0) {
                writeAll(descriptor, "GET /-/ready HTTP/1.1\r\nHost: gateway\r\n"
                                     "Connection: close\r\n\r\n");
                char buffer[64] = {};
                isReady = ::recv(descriptor, buffer, sizeof buffer - 1, 0) > 12
                          && std::strncmp(buffer, "HTTP/1.1 200", 12) == 0;
                ::close(descriptor);
            }
            if (!isReady)
                std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
        if (!isReady)
            return false;
    }
    return true;
}

// Arguments

Arguments::Arguments(int count, char **values)
{
    for (int index = 1; index < count; ++index) {
        const std::string word = values[index];
        const auto equals = word.find('=');
        if (equals != std::string::npos)
            m_values[word.substr(0, equals)] = word.substr(equals + 1);
    }
}

std::string Arguments::text(const std::string &name) const
{
    const auto found = m_values.find(name);
    if (found == m_values.end()) {
        std::fprintf(stderr, "%s=VALUE is missing\n", name.c_str());
        std::exit(2);
    }
    return found->second;
}

int Arguments::number(const std::string &name) const
{
    return std::stoi(text(name));
}

std::uint16_t Arguments::port(const std::string &name) const
{
    return static_cast<std::uint16_t>(number(name));
}

Fleet Arguments::fleet() const
{
    return {number("gateways"), port("callerPort"), port("readinessPort")};
}

} // namespace review
