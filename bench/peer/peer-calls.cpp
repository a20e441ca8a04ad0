// Calls a second between two peer networks, each on a thread of its own, over loopback.
//
//   peer-calls [seconds] [calls under way] [documents in a reply]

#include <oleander/adapters/concurrency/EventLoop.h>
#include <oleander/adapters/peers/Http2PeerNetwork.h>
#include <oleander/adapters/time/AsioTimerService.h>
#include <oleander/adapters/time/SteadyTime.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <future>
#include <thread>
#include <vector>

using namespace oleander;

namespace {

constexpr std::size_t payloadBytes = 200;
constexpr std::size_t documentBytes = 100;
constexpr int askedShards = 64;

struct NoLog : EventLog
{
    using EventLog::record;
    void record(EventId, const RequestId &, std::string_view) override {}
};

/// Answers each query at once with the same documents.
class FixedHandler : public PeerHandler
{
public:
    explicit FixedHandler(int documents)
    {
        m_answer.answer.outcome = Outcome::Answered;
        m_answer.answer.coverage = {askedShards, askedShards, {}};
        for (int number = 0; number < documents; ++number) {
            m_answer.answer.documents.push_back({DocumentId("document-" + std::to_string(number)),
                                                 1.0 / (1 + number),
                                                 std::string(documentBytes, 'd')});
        }
    }
    void onPeerRequest(PeerRequest, std::shared_ptr<PeerResponder> responder) override
    {
        responder->reply(m_answer);
    }

private:
    PeerAnswer m_answer;
};

/// One daemon's peer network and its thread.
class Side
{
public:
    Side(const std::string &name, PeerHandler *handler)
        : m_timers(m_loop.context())
        , m_network(m_loop.context(), m_timers, m_log,
                    {InstanceId(name), FleetId("bench"), "bench key"})
    {
        m_network.setHandler(handler);
        Reason reason;
        m_port = m_network.listen("127.0.0.1:0", reason).value_or(0);
        m_instance.id = InstanceId(name);
        m_instance.peerAddress = "127.0.0.1:" + std::to_string(m_port);
        m_thread = std::thread([this] { m_loop.run(); });
    }
    Side(const Side &) = delete;
    Side &operator=(const Side &) = delete;
    ~Side()
    {
        m_loop.stop();
        m_thread.join();
    }

    [[nodiscard]] const Instance &instance() const { return m_instance; }
    EventLoop &loop() { return m_loop; }
    Http2PeerNetwork &network() { return m_network; }

    /// Processor time of the side's thread so far.
    Duration processorTime()
    {
        std::promise<Duration> result;
        m_loop.post([&] {
            timespec time{};
            ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
            result.set_value(seconds(time.tv_sec) + microseconds(time.tv_nsec / 1000));
        });
        return result.get_future().get();
    }

private:
    NoLog m_log;
    EventLoop m_loop;
    AsioTimerService m_timers;
    Http2PeerNetwork m_network;
    std::uint16_t m_port = 0;
    Instance m_instance;
    std::thread m_thread;
};

/// Keeps a number of calls under way until told to stop.
class Load
{
public:
    Load(Side &from, const Side &to)
        : m_from(from)
        , m_to(to.instance())
    {
        m_query.from = from.instance().id;
        m_query.query.caller = CallerId("bench");
        m_query.query.request = RequestId("request-1234567890");
        m_query.query.backend = BackendId("notes");
        m_query.query.payload = std::string(payloadBytes, 'p');
        m_query.timeLeft = seconds(1);
    }

    void callOnce()
    {
        const TimePoint begun = steadyNow();
        m_from.network().call(m_to, m_query, seconds(1), [this, begun](const PeerOutcome &outcome) {
            m_failures += outcome.callStatus == PeerCallStatus::Replied ? 0 : 1;
            latencies.push_back(steadyNow() - begun);
            if (!isStopping)
                callOnce();
        });
    }

    std::vector<Duration> latencies;
    bool isStopping = false;
    [[nodiscard]] std::size_t failures() const { return m_failures; }

private:
    Side &m_from;
    Instance m_to;
    PeerQuery m_query;
    std::size_t m_failures = 0;
};

double quantile(std::vector<Duration> &values, double part)
{
    const auto place = static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
    std::ranges::nth_element(values, values.begin() + static_cast<std::ptrdiff_t>(place));
    return inMilliseconds(values[place]);
}

int argument(int count, char **values, int place, int otherwise)
{
    return count > place ? std::atoi(values[place]) : otherwise;
}

} // namespace

int main(int count, char **values)
{
    const int time = argument(count, values, 1, 3);
    const int window = argument(count, values, 2, 64);
    const int documents = argument(count, values, 3, 20);
    FixedHandler handler(documents);
    Side entry("entry", nullptr);
    Side coordinator("coordinator", &handler);
    Load load(entry, coordinator);
    const Duration entryBefore = entry.processorTime();
    const Duration coordinatorBefore = coordinator.processorTime();
    entry.loop().post([&] {
        for (int call = 0; call < window; ++call)
            load.callOnce();
    });
    std::this_thread::sleep_for(seconds(time));
    std::promise<void> ended;
    entry.loop().post([&] {
        load.isStopping = true;
        ended.set_value();
    });
    ended.get_future().wait();
    const auto entryTime = entry.processorTime() - entryBefore;
    const auto coordinatorTime = coordinator.processorTime() - coordinatorBefore;
    std::this_thread::sleep_for(milliseconds(100));

    const auto calls = static_cast<double>(load.latencies.size());
    std::printf("calls/s %.0f  window %d  documents %d  failures %zu\n", calls / time, window,
                documents, load.failures());
    std::printf("latency ms: median %.3f  p99 %.3f  largest %.3f\n", quantile(load.latencies, 0.5),
                quantile(load.latencies, 0.99), quantile(load.latencies, 1.0));
    std::printf("processor us a call: entry %.1f  coordinator %.1f\n",
                static_cast<double>(entryTime.count()) / calls,
                static_cast<double>(coordinatorTime.count()) / calls);
    return load.failures() == 0 ? 0 : 1;
}
