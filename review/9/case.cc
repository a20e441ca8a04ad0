// Servers leave the store while the machine that reads it for the others starts again. The others
// must not send them requests later than drainMs after that.

#include "Rig2.h"

using namespace rig;

namespace {

constexpr int otherServers = 140;
constexpr int sameServiceServers = 6;
constexpr int leavingServers = 4;
constexpr int readers = 1;
constexpr int followers = 4;
constexpr int callersEach = 4;
constexpr long workMs = 100;
constexpr long drainMs = 3000;
/// How long a server that has left the store goes on: drainMs, and here many seconds more.
constexpr long servesOnMs = 12'000;

std::string configuration()
{
    return R"({"version":7,"routes":[{"name":"r-s4qmv29","host":"pupu76.example",)"
           R"("prefix":"/timi402/","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":800,)"
           R"("priority":2,"service":"kafi81c","maxAttempts":2}],"services":[{"name":"kafi81c",)"
           R"("healthPath":"/health","maxConns":244,"protocol":"h1","tls":false},)"
           R"({"name":"nylo40d","healthPath":"/health","maxConns":58,"protocol":"h1",)"
           R"("tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,)"
           R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

std::string numbered(const std::string &text, int number)
{
    const std::string digits = std::to_string(number);
    return text + std::string(3 - digits.size(), '0') + digits;
}

} // namespace

int main(int count, char **values)
{
    if (count < 3)
        return 2;
    raiseDescriptors();
    Record record(values[2]);
    Folder folder;
    // The same on all machines.
    const int peersPort = freePort("127.0.0.11");
    Store store;
    store.put("op/config", configuration());
    std::vector<std::unique_ptr<Server>> servers;
    std::vector<Server *> all;
    std::vector<Server *> leaving;
    std::mutex mutex;
    long leftAt = 0;
    std::map<std::string, int> late;
    int early = 0;
    const auto add = [&](const std::string &id, const std::string &service) {
        servers.push_back(std::make_unique<Server>(store, id, service, "cdmx-a", workMs));
        all.push_back(servers.back().get());
    };
    for (int number = 0; number < otherServers; ++number)
        add(numbered("i-1", number), "nylo40d");
    for (int number = 0; number < sameServiceServers; ++number)
        add(numbered("i-2", number), "kafi81c");
    for (int number = 0; number < leavingServers; ++number) {
        add(numbered("i-9", number), "kafi81c");
        leaving.push_back(all.back());
        all.back()->onRun = [&](const Server &server, const Message &request) {
            const std::lock_guard lock(mutex);
            if (leftAt == 0)
                return;
            const long since = nowMs() - leftAt;
            const bool isLate = since > drainMs;
            const std::string id = request.field("request-id");
            ++(isLate ? late[id.substr(0, id.rfind('-'))] : early);
            if (isLate)
                record.line("request " + id + " reaches " + server.id() + " "
                            + std::to_string(since) + " ms after its entry was removed");
        };
    }
    // The servers that leave write their entries at different times, like all others.
    for (std::size_t index = 0; index < leaving.size(); ++index)
        std::swap(all[index * all.size() / leaving.size()],
                  all[all.size() - leaving.size() + index]);
    int result = 0;
    {
        Heartbeats beats(all);
        std::vector<std::unique_ptr<Gateway>> gateways;
        for (int number = 0; number < readers + followers; ++number) {
            gateways.push_back(std::make_unique<Gateway>(
                values[1], folder.path(), "front-" + std::to_string(number + 1),
                "127.0.0." + std::to_string(11 + number), "cdmx-a", store.address(),
                std::vector<std::string>{"127.0.0.11"}, peersPort));
            gateways.back()->start();
        }
        for (const auto &gateway : gateways) {
            if (!gateway->awaitReady(15'000)) {
                record.line(gateway->name() + " is not ready: the case can not run");
                return 2;
            }
        }
        std::atomic<bool> isEnding = false;
        std::atomic<int> answered = 0;
        std::vector<std::thread> callers;
        std::atomic<int> lost = 0;
        for (int number = 0; number < followers * callersEach; ++number) {
            callers.emplace_back([&, number] {
                const Gateway &gateway =
                    *gateways[static_cast<std::size_t>(readers + number / callersEach)];
                const int fd = connectTo(gateway.number(), gateway.front());
                std::string buffer;
                for (int request = 0; !isEnding; ++request) {
                    const std::string id = gateway.name() + "-"
                                           + std::to_string(number % callersEach) + "."
                                           + std::to_string(request);
                    sendAll(fd, requestText("POST", "/timi402/" + std::to_string(request), id, 3000,
                                            "Content-Length: 0\r\n"));
                    const auto answer = readMessage(fd, buffer, 4000);
                    if (!answer)
                        break;
                    if (answer->status() == 200) {
                        ++answered;
                        continue;
                    }
                    record.line("request " + id + " is answered " + std::to_string(answer->status())
                                + ": " + answer->body);
                    lost += answer->status() == 502 ? 1 : 0;
                    sleepMs(100);
                }
                ::close(fd);
            });
        }
        // The machines are in touch after settleWindowMs, 4 s.
        sleepMs(7000);
        Gateway &reader = *gateways.front();
        const long begin = nowMs();
        std::atomic<bool> isFrozen = false;
        if (isTrouble()) {
            reader.kill();
            record.line("front-1, the seed, is killed");
            sleepMs(1150);
            store.onCall = [&](const std::string &target) {
                if (target.find("after=") != std::string::npos
                    && target.find("kv-range") != std::string::npos && !isFrozen.exchange(true)) {
                    reader.signal(SIGSTOP);
                    record.line("front-1 freezes while it reads the store: " + target);
                }
            };
            reader.start();
            record.line("front-1 is started again");
        }
        sleepMs(begin + 1720 - nowMs());
        {
            const std::lock_guard lock(mutex);
            for (Server *server : leaving)
                server->leaveTheStore();
            leftAt = nowMs();
        }
        record.line("the entries of " + std::to_string(leavingServers)
                    + " servers are removed; they go on for " + std::to_string(servesOnMs) + " ms");
        sleepMs(begin + 1850 - nowMs());
        if (isTrouble()) {
            reader.signal(SIGCONT);
            record.line("front-1 wakes");
        }
        sleepMs(leftAt + servesOnMs - nowMs());
        for (Server *server : leaving)
            server->close();
        record.line("the servers that left have ended");
        sleepMs(1500);
        isEnding = true;
        for (std::thread &thread : callers)
            thread.join();
        if (isTrouble() && !isFrozen) {
            record.line("front-1 did not read the store in pages: the case can not run");
            return 2;
        }
        int lateRequests = 0;
        const std::lock_guard lock(mutex);
        for (const auto &[machine, requests] : late) {
            lateRequests += requests;
            record.line(machine + " sent " + std::to_string(requests)
                        + " requests later than drainMs");
        }
        record.line(std::to_string(lost)
                    + " unsafe requests lost with the servers that ended (502, may have run)");
        record.line(std::to_string(answered) + " requests answered; " + std::to_string(early)
                    + " reached servers that had left within drainMs, "
                    + std::to_string(lateRequests) + " later");
        record.line(std::string("DRAIN: ") + (lateRequests > 0 ? "broken" : "held"));
        result = lateRequests > 0 ? 1 : 0;
    }
    for (const auto &server : servers)
        server->close();
    store.close();
    return result;
}
