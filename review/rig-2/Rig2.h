#pragma once

// Stand-ins and helpers of the second review's scripts: the platform's store, backend servers,
// gateway processes and clients, on loopback addresses. Plain POSIX sockets, one thread a
// connection.

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <signal.h>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace rig {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline Clock::time_point startOfRun()
{
    static const Clock::time_point start = Clock::now();
    return start;
}

inline long nowMs()
{
    return static_cast<long>(
        std::chrono::duration_cast<milliseconds>(Clock::now() - startOfRun()).count());
}

inline void sleepMs(long time)
{
    std::this_thread::sleep_for(milliseconds(time));
}

// Record

/// Lines of the run, with the time since its start in milliseconds.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path, std::ios::trunc)
    {
        startOfRun();
    }
    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        m_file << nowMs() << " " << text << '\n';
        m_file.flush();
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

// Sockets

inline sockaddr_in addressOf(const std::string &number, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, number.c_str(), &address.sin_addr);
    return address;
}

/// What the other side of a listener's connections may send at a time; 0 for the system's default.
/// Loopback has segments of 64 KB, where a network has 1,460 bytes and small windows.
struct Windows
{
    int segmentBytes = 0;
    int receiveBytes = 0;
};

/// Returns a listening socket and its port; -1 if there is none.
inline int listenOn(const std::string &number, int &port, const Windows &windows = {})
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (windows.segmentBytes > 0)
        ::setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &windows.segmentBytes,
                     sizeof windows.segmentBytes);
    if (windows.receiveBytes > 0)
        ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &windows.receiveBytes, sizeof windows.receiveBytes);
    sockaddr_in address = addressOf(number, port);
    if (::bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
        || ::listen(fd, 1024) != 0) {
        ::close(fd);
        return -1;
    }
    socklen_t size = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    port = ntohs(address.sin_port);
    return fd;
}

inline int freePort(const std::string &number = "127.0.0.1")
{
    int port = 0;
    const int fd = listenOn(number, port);
    ::close(fd);
    return port;
}

inline int connectTo(const std::string &number, int port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = addressOf(number, port);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(fd);
        return -1;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline bool sendAll(int fd, const std::string &text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t count = ::send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/// Reads some bytes; false at the end of the connection or after `timeoutMs`.
inline bool readSome(int fd, std::string &buffer, long timeoutMs)
{
    pollfd waiting{fd, POLLIN, 0};
    if (::poll(&waiting, 1, static_cast<int>(std::max(0L, timeoutMs))) <= 0)
        return false;
    char bytes[16384];
    const ssize_t count = ::recv(fd, bytes, sizeof bytes, 0);
    if (count <= 0)
        return false;
    buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
}

struct Message
{
    std::string first;
    std::map<std::string, std::string> fields;
    std::string body;

    [[nodiscard]] std::string field(const std::string &name) const
    {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }
    [[nodiscard]] int status() const
    {
        return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0;
    }
    /// The part of a request's first line between its spaces.
    [[nodiscard]] std::string target() const
    {
        const auto begin = first.find(' ') + 1;
        return first.substr(begin, first.find(' ', begin) - begin);
    }
};

/// Reads the head of a message; nothing if the connection ends or the time is over.
inline std::optional<Message> readHead(int fd, std::string &buffer, long timeoutMs)
{
    const long end = nowMs() + timeoutMs;
    std::size_t headEnd = 0;
    while ((headEnd = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!readSome(fd, buffer, end - nowMs()))
            return std::nullopt;
    }
    Message message;
    std::istringstream head(buffer.substr(0, headEnd));
    std::string text;
    while (std::getline(head, text)) {
        if (!text.empty() && text.back() == '\r')
            text.pop_back();
        if (message.first.empty()) {
            message.first = text;
            continue;
        }
        const auto colon = text.find(':');
        if (colon == std::string::npos)
            continue;
        std::string name = text.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), ::tolower);
        const auto value = text.find_first_not_of(' ', colon + 1);
        message.fields[name] = value == std::string::npos ? "" : text.substr(value);
    }
    buffer.erase(0, headEnd + 4);
    return message;
}

/// Reads the body of a message, of the stated length. False if it does not come.
inline bool readBody(int fd, std::string &buffer, Message &message, long timeoutMs)
{
    const long end = nowMs() + timeoutMs;
    const auto length =
        static_cast<std::size_t>(std::atol(message.field("content-length").c_str()));
    while (buffer.size() < length) {
        if (!readSome(fd, buffer, end - nowMs()))
            return false;
    }
    message.body = buffer.substr(0, length);
    buffer.erase(0, length);
    return true;
}

/// Reads a message with a stated length; nothing if the connection ends or the time is over.
inline std::optional<Message> readMessage(int fd, std::string &buffer, long timeoutMs)
{
    const long end = nowMs() + timeoutMs;
    auto message = readHead(fd, buffer, timeoutMs);
    if (!message || !readBody(fd, buffer, *message, end - nowMs()))
        return std::nullopt;
    return message;
}

// Listening stand-ins

/// Accepts connections and hands each to `serve` in a thread of its own.
class Listener
{
public:
    Listener(std::string number, std::function<void(int)> serve, const Windows &windows = {})
        : m_number(std::move(number))
        , m_serve(std::move(serve))
    {
        m_fd = listenOn(m_number, m_port, windows);
        m_thread = std::thread([this] { accept(); });
    }
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;
    ~Listener() { close(); }

    /// Ends the listener and all its connections.
    void close()
    {
        if (m_isClosed.exchange(true))
            return;
        ::shutdown(m_fd, SHUT_RDWR);
        m_thread.join();
        ::close(m_fd);
        {
            const std::lock_guard lock(m_mutex);
            for (const int fd : m_open)
                ::shutdown(fd, SHUT_RDWR);
        }
        for (int tries = 0; tries < 200 && m_active > 0; ++tries)
            sleepMs(10);
    }
    [[nodiscard]] int port() const { return m_port; }
    [[nodiscard]] std::string address() const { return m_number + ":" + std::to_string(m_port); }

private:
    void accept()
    {
        while (!m_isClosed) {
            const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (m_isClosed)
                    return;
                sleepMs(5);
                continue;
            }
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            {
                const std::lock_guard lock(m_mutex);
                m_open.insert(fd);
            }
            ++m_active;
            std::thread([this, fd] {
                m_serve(fd);
                {
                    const std::lock_guard lock(m_mutex);
                    m_open.erase(fd);
                    ::close(fd);
                }
                --m_active;
            }).detach();
        }
    }

    std::string m_number;
    std::function<void(int)> m_serve;
    int m_port = 0;
    int m_fd = -1;
    std::atomic<bool> m_isClosed = false;
    std::atomic<int> m_active = 0;
    std::mutex m_mutex;
    std::set<int> m_open;
    std::thread m_thread;
};

inline std::string base64(const std::string &bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t index = 0; index < 3; ++index)
            group =
                group << 8
                | (at + index < bytes.size() ? static_cast<unsigned char>(bytes[at + index]) : 0U);
        text += digits[group >> 18 & 63];
        text += digits[group >> 12 & 63];
        text += at + 1 < bytes.size() ? digits[group >> 6 & 63] : '=';
        text += at + 2 < bytes.size() ? digits[group & 63] : '=';
    }
    return text;
}

/// The platform's store, to be read only: linearizable answers, 4 ms each.
class Store
{
public:
    Store()
        : m_listener("127.0.0.1", [this](int fd) { serve(fd); })
    {
    }

    /// Called before an answer, with the peer's port number of the connection and the target.
    std::function<void(const std::string &target)> onCall;
    /// Items of one page, at most 500.
    std::size_t pageItems = 50;

    void put(const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        const std::string item = "{\"key\":\"" + key + "\",\"value\":\"" + base64(value)
                                 + "\",\"revision\":" + std::to_string(++m_revision)
                                 + ",\"created\":1,\"lease\":0}";
        m_items[key] = item;
        m_changes.emplace_back(m_revision, item);
        m_changed.notify_all();
    }
    void remove(const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        m_items.erase(key);
        ++m_revision;
        m_changes.emplace_back(m_revision, "{\"key\":\"" + key + "\",\"revision\":"
                                               + std::to_string(m_revision) + ",\"removed\":true}");
        m_changed.notify_all();
    }
    [[nodiscard]] std::string address() const { return m_listener.address(); }
    void close()
    {
        m_isClosing = true;
        m_changed.notify_all();
        m_listener.close();
    }

private:
    static std::string parameter(const std::string &target, const std::string &name)
    {
        const auto begin = target.find(name + "=");
        if (begin == std::string::npos)
            return {};
        const std::string encoded = target.substr(
            begin + name.size() + 1, target.find('&', begin) - begin - name.size() - 1);
        std::string value;
        for (std::size_t at = 0; at < encoded.size(); ++at) {
            if (encoded[at] == '%') {
                value += static_cast<char>(std::stoi(encoded.substr(at + 1, 2), nullptr, 16));
                at += 2;
            } else {
                value += encoded[at];
            }
        }
        return value;
    }

    void serve(int fd)
    {
        std::string buffer;
        while (const auto request = readMessage(fd, buffer, 120'000)) {
            const std::string target = request->target();
            if (onCall)
                onCall(target);
            sleepMs(4);
            const std::string body =
                target.find("kv-watch") == std::string::npos ? list(target) : watch(target);
            if (!sendAll(fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
                             "Content-Length: "
                                 + std::to_string(body.size()) + "\r\n\r\n" + body))
                return;
        }
    }

    std::string list(const std::string &target)
    {
        const std::string prefix = parameter(target, "prefix");
        const std::string after = parameter(target, "after");
        const std::lock_guard lock(m_mutex);
        std::string items;
        std::size_t count = 0;
        bool isTruncated = false;
        for (auto at = m_items.upper_bound(after); at != m_items.end(); ++at) {
            if (!at->first.starts_with(prefix))
                continue;
            if (count == pageItems) {
                isTruncated = true;
                break;
            }
            items += (count++ > 0 ? "," : "") + at->second;
        }
        return "{\"items\":[" + items + "],\"truncated\":" + (isTruncated ? "true" : "false")
               + ",\"storeRevision\":" + std::to_string(m_revision) + "}";
    }

    std::string watch(const std::string &target)
    {
        const std::string prefix = parameter(target, "prefix");
        const auto after = std::stoull(parameter(target, "after"));
        const auto end = Clock::now() + milliseconds(std::stol(parameter(target, "waitMs")));
        std::unique_lock lock(m_mutex);
        m_changed.wait_until(lock, end, [&] { return m_isClosing || m_revision > after; });
        std::string events;
        const auto first =
            std::partition_point(m_changes.begin(), m_changes.end(),
                                 [after](const auto &change) { return change.first <= after; });
        for (auto at = first; at != m_changes.end(); ++at)
            events += (events.empty() ? "" : ",") + at->second;
        return "{\"events\":[" + events + "],\"storeRevision\":" + std::to_string(m_revision) + "}";
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::atomic<bool> m_isClosing = false;
    std::uint64_t m_revision = 10;
    std::map<std::string, std::string> m_items;
    std::vector<std::pair<std::uint64_t, std::string>> m_changes;
    Listener m_listener;
};

/// A sound backend server. Writes its entry in the store every 1,200 ms until told otherwise.
class Server
{
public:
    Server(Store &store, std::string id, std::string service, std::string zone, long workMs,
           std::string number = "127.0.0.1")
        : m_store(store)
        , m_id(std::move(id))
        , m_service(std::move(service))
        , m_zone(std::move(zone))
        , m_workMs(workMs)
        , m_listener(std::move(number), [this](int fd) { serve(fd); })
    {
        beat();
    }

    /// Called with each request that begins to run, before the work.
    std::function<void(const Server &server, const Message &request)> onRun;

    /// Writes the entry again, as a sound server does at each liveness report.
    void beat()
    {
        const std::lock_guard lock(m_mutex);
        if (m_isRegistered)
            m_store.put("servers/" + m_id, entry());
    }
    /// Takes the entry away without having reported `draining`; the server goes on.
    void leaveTheStore()
    {
        const std::lock_guard lock(m_mutex);
        m_isRegistered = false;
        m_store.remove("servers/" + m_id);
    }
    /// Reports `draining`, and says in all answers from now on that it is leaving.
    void drain()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_isDraining = true;
        }
        beat();
    }
    void close() { m_listener.close(); }
    [[nodiscard]] const std::string &id() const { return m_id; }
    [[nodiscard]] std::string address() const { return m_listener.address(); }
    [[nodiscard]] std::size_t runs() const { return m_runs; }

private:
    std::string entry()
    {
        return "{\"service\":\"" + m_service + "\",\"address\":\"" + m_listener.address()
               + "\",\"zone\":\"" + m_zone + "\",\"version\":\"v1\",\"slots\":4,\"state\":\""
               + (m_isDraining ? "draining" : "ready") + "\",\"warmupLeftMs\":0,\"seq\":"
               + std::to_string(++m_sequence) + ",\"born\":1700000000000}";
    }

    void serve(int fd)
    {
        std::string buffer;
        while (const auto request = readMessage(fd, buffer, 120'000)) {
            const std::string id = request->field("request-id");
            std::string answer;
            if (request->field("expect-instance") != m_id) {
                answer = "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + m_id
                         + "\r\nRequest-Id: " + id + "\r\nContent-Length: 0\r\n\r\n";
            } else {
                ++m_runs;
                if (onRun)
                    onRun(*this, *request);
                sleepMs(m_workMs);
                const std::string body(64, 'a');
                answer = "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: " + m_id + "."
                         + id + "\r\nServer-Load: 1,0,4\r\n"
                         + (m_isDraining ? "Server-Leaving: 1\r\n" : "")
                         + "Content-Length: 64\r\n\r\n" + body;
            }
            if (!sendAll(fd, answer))
                return;
        }
    }

    Store &m_store;
    std::string m_id;
    std::string m_service;
    std::string m_zone;
    long m_workMs;
    std::mutex m_mutex;
    bool m_isRegistered = true;
    std::atomic<bool> m_isDraining = false;
    long m_sequence = 0;
    std::atomic<std::size_t> m_runs = 0;
    Listener m_listener;
};

/// Lets the servers write their entries, each every 1,200 ms, spread over that time.
class Heartbeats
{
public:
    explicit Heartbeats(std::vector<Server *> servers)
        : m_servers(std::move(servers))
        , m_thread([this] { run(); })
    {
    }
    Heartbeats(const Heartbeats &) = delete;
    Heartbeats &operator=(const Heartbeats &) = delete;
    ~Heartbeats()
    {
        m_isEnding = true;
        m_thread.join();
    }

private:
    void run()
    {
        const auto pause = std::chrono::microseconds(1'200'000 / m_servers.size());
        for (std::size_t next = 0; !m_isEnding; next = (next + 1) % m_servers.size()) {
            m_servers[next]->beat();
            std::this_thread::sleep_for(pause);
        }
    }

    std::vector<Server *> m_servers;
    std::atomic<bool> m_isEnding = false;
    std::thread m_thread;
};

// Gateways

/// One process of the deployed program on one machine of a small deployment.
class Gateway
{
public:
    /// Each machine has a loopback number of its own. `seeds` are numbers of machines.
    Gateway(std::string program, std::string folder, std::string name, std::string number,
            std::string zone, std::string storeAddress, std::vector<std::string> seeds, int peers)
        : m_program(std::move(program))
        , m_path(folder + "/" + name + ".json")
        , m_log(folder + "/" + name + ".log")
        , m_number(std::move(number))
        , m_name(std::move(name))
        , m_front(freePort(m_number))
        , m_readiness(freePort(m_number))
    {
        std::string seedList;
        for (const std::string &seed : seeds)
            seedList +=
                (seedList.empty() ? "\"" : ",\"") + seed + ":" + std::to_string(peers) + "\"";
        const auto at = [this](int port) {
            return "\"" + m_number + ":" + std::to_string(port) + "\"";
        };
        // As deploy/settings.json.in makes it on a machine of sites/amms-cola.toml.
        std::ofstream(m_path) << "{\"instance\":\"" << m_name << "\",\"dataCentre\":\"" << zone
                              << "\",\"callerAddress\":" << at(m_front)
                              << ",\"readinessAddress\":" << at(m_readiness)
                              << ",\"metricsAddress\":" << at(freePort(m_number))
                              << ",\"registryAddress\":\"" << storeAddress
                              << "\",\"peerAddress\":" << at(peers)
                              << ",\"fleetKey\":\"oleanderway on this platform\",\"seeds\":["
                              << seedList
                              << "],\"stopSeconds\":6,\"heartbeatMs\":1200,\"descriptors\":2870,"
                                 "\"memoryMb\":182,\"processorShare\":0.17,\"linkMbps\":700.0,"
                                 "\"extraLoad\":{\"share\":0.2,\"allowance\":129,"
                                 "\"windowSeconds\":10}}";
    }
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;
    ~Gateway() { kill(); }

    static constexpr double memoryMb = 182;

    void start()
    {
        const pid_t process = ::fork();
        if (process == 0) {
            // Not to outlive the script, however it ends.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int log = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(log, 1);
            ::dup2(log, 2);
            const std::string variable = "OLEANDERWAY_CONFIG=" + m_path;
            char *const variables[] = {const_cast<char *>(variable.c_str()), nullptr};
            char option[] = "--platform";
            char *const arguments[] = {m_program.data(), option, nullptr};
            ::execve(m_program.c_str(), arguments, variables);
            ::_exit(127);
        }
        m_process = process;
    }
    void signal(int number) const
    {
        if (m_process > 0)
            ::kill(m_process, number);
    }
    void kill()
    {
        if (m_process <= 0)
            return;
        ::kill(m_process, SIGKILL);
        ::waitpid(m_process, nullptr, 0);
        m_process = -1;
    }
    /// True if the process has ended by itself, or was never started.
    [[nodiscard]] bool hasEnded()
    {
        if (m_process > 0 && ::waitpid(m_process, nullptr, WNOHANG) != 0)
            m_process = -1;
        return m_process <= 0;
    }
    /// Memory of the process alone, without what the system holds for its connections.
    [[nodiscard]] double residentMb() const
    {
        std::ifstream file("/proc/" + std::to_string(m_process) + "/statm");
        long total = 0;
        long resident = 0;
        file >> total >> resident;
        return static_cast<double>(resident) * static_cast<double>(::sysconf(_SC_PAGESIZE))
               / 1'048'576;
    }
    /// The status of one question at the readiness address; 0 without an answer in a second.
    [[nodiscard]] int readiness() const
    {
        const int fd = connectTo(m_number, m_readiness);
        if (fd < 0)
            return 0;
        std::string buffer;
        sendAll(fd, "GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        const auto answer = readMessage(fd, buffer, 1000);
        ::close(fd);
        return answer ? answer->status() : 0;
    }
    [[nodiscard]] bool awaitReady(long timeoutMs) const
    {
        for (const long end = nowMs() + timeoutMs; nowMs() < end; sleepMs(20)) {
            if (readiness() == 200)
                return true;
        }
        return false;
    }
    [[nodiscard]] const std::string &name() const { return m_name; }
    [[nodiscard]] const std::string &number() const { return m_number; }
    [[nodiscard]] int front() const { return m_front; }
    [[nodiscard]] const std::string &log() const { return m_log; }

private:
    std::string m_program;
    std::string m_path;
    std::string m_log;
    std::string m_number;
    std::string m_name;
    int m_front;
    int m_readiness;
    std::atomic<pid_t> m_process = -1;
};

/// A temporary folder that is removed at the end.
class Folder
{
public:
    Folder()
    {
        std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        m_path = ::mkdtemp(name.data());
    }
    Folder(const Folder &) = delete;
    Folder &operator=(const Folder &) = delete;
    ~Folder()
    {
        std::error_code ignored;
        if (!std::getenv("KEEP"))
            std::filesystem::remove_all(m_path, ignored);
    }
    [[nodiscard]] const std::string &path() const { return m_path; }

private:
    std::string m_path;
};

inline std::string requestText(const std::string &method, const std::string &path,
                               const std::string &id, int deadlineMs,
                               const std::string &fields = {})
{
    return method + " " + path + " HTTP/1.1\r\nHost: pupu76.example\r\nRequest-Id: " + id
           + "\r\nDeadline-Ms: " + std::to_string(deadlineMs) + "\r\n" + fields + "\r\n";
}

inline bool isTrouble()
{
    const char *const value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

/// Lets this process hold as many sockets as the system permits it.
inline void raiseDescriptors()
{
    rlimit files{};
    ::getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = files.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &files);
}

} // namespace rig
