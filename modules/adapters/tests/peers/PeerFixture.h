#pragma once

#include "concurrency/LoopThread.h"

#include <oleander/adapters/concurrency/EventLoop.h>
#include <oleander/adapters/peers/Http2PeerNetwork.h>
#include <oleander/adapters/time/AsioTimerService.h>

#include <gtest/gtest.h>

#include <future>
#include <memory>
#include <string>
#include <vector>

namespace oleander {

struct RecordingEventLog : EventLog
{
    using EventLog::record;
    void record(EventId event, const RequestId &, std::string_view text) override
    {
        lines.emplace_back(event, text);
    }
    std::vector<std::pair<EventId, std::string>> lines;
};

/// Replies to each query with an answer whose configuration version is the query's limit, unless
/// the request id is "hold", "refuse" or "drop".
struct ScriptedHandler : PeerHandler
{
    void onPeerRequest(PeerRequest request, std::shared_ptr<PeerResponder> responder) override
    {
        ++requests;
        if (std::holds_alternative<ViewExchange>(request)) {
            responder->reply(std::get<ViewExchange>(std::move(request)));
            return;
        }
        const auto &query = std::get<PeerQuery>(request);
        lastTimeLeft = query.timeLeft;
        const std::string &id = query.query.request.text();
        if (id == "hold") {
            responder->onCancel([this] { ++cancelled; });
            held.push_back(std::move(responder));
        } else if (id == "refuse") {
            responder->refuse();
        } else if (id != "drop") {
            responder->reply(replyTo(query));
        }
    }
    static PeerReply replyTo(const PeerQuery &query)
    {
        PeerAnswer answer;
        answer.answer.configuration = SectionVersion(query.query.limit);
        return answer;
    }

    std::vector<std::shared_ptr<PeerResponder>> held;
    int requests = 0;
    int cancelled = 0;
    Duration lastTimeLeft{};
};

inline PeerRequest queryNamed(const std::string &id, std::size_t limit = 0)
{
    PeerQuery query;
    query.query.request = RequestId(id);
    query.query.limit = limit;
    query.timeLeft = seconds(60);
    return query;
}

/// The peer network of one daemon, running on its own thread.
class PeerDaemon
{
public:
    explicit PeerDaemon(PeerIdentity identity, const std::string &address = "127.0.0.1:0")
        : m_identity(std::move(identity))
    {
        m_thread.run([&] {
            timers = std::make_unique<AsioTimerService>(m_thread.context());
            network =
                std::make_unique<Http2PeerNetwork>(m_thread.context(), *timers, log, m_identity);
            network->setHandler(&handler);
            Reason reason;
            m_port = network->listen(address, reason).value_or(0);
        });
    }
    explicit PeerDaemon(const std::string &name)
        : PeerDaemon(PeerIdentity{InstanceId(name), FleetId("fleet"), "key"})
    {
    }
    ~PeerDaemon()
    {
        m_thread.run([this] {
            handler.held.clear();
            network.reset();
            timers.reset();
        });
    }

    template <typename Function>
    auto run(Function function)
    {
        return m_thread.run(std::move(function));
    }

    /// Makes a call and waits for its outcome.
    PeerOutcome call(const Instance &peer, const PeerRequest &request,
                     Duration timeLeft = seconds(5))
    {
        return start(peer, request, timeLeft).get();
    }

    std::future<PeerOutcome> start(const Instance &peer, const PeerRequest &request,
                                   Duration timeLeft = seconds(5), PeerCallId *id = nullptr)
    {
        auto promise = std::make_shared<std::promise<PeerOutcome>>();
        run([&] {
            const auto isInCall = std::make_shared<bool>(true);
            const PeerCallId given =
                network->call(peer, request, timeLeft, [isInCall, promise](PeerOutcome outcome) {
                    EXPECT_FALSE(*isInCall);
                    promise->set_value(std::move(outcome));
                });
            *isInCall = false;
            if (id)
                *id = given;
        });
        return promise->get_future();
    }

    /// Waits until a condition holds on the daemon's thread.
    template <typename Condition>
    bool waitFor(Condition condition)
    {
        for (int attempt = 0; attempt < 1000; ++attempt) {
            if (run(condition))
                return true;
            std::this_thread::sleep_for(milliseconds(5));
        }
        return false;
    }

    [[nodiscard]] Instance instance() const
    {
        Instance instance;
        instance.id = m_identity.instance;
        instance.peerAddress = "127.0.0.1:" + std::to_string(m_port);
        return instance;
    }
    [[nodiscard]] std::uint16_t port() const { return m_port; }
    LoopThread &thread() { return m_thread; }

    RecordingEventLog log;
    ScriptedHandler handler;
    std::unique_ptr<AsioTimerService> timers;
    std::unique_ptr<Http2PeerNetwork> network;

private:
    PeerIdentity m_identity;
    std::uint16_t m_port = 0;
    LoopThread m_thread;
};

} // namespace oleander
