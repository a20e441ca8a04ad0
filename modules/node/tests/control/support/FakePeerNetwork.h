#pragma once

#include <oleander/ports/PeerNetwork.h>

#include <control/support/MessageSize.h>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <support/VirtualTimer.h>
#include <utility>

namespace oleander::testing {

class FakePeerNetwork;

/// Network between the daemons of one test. Simulates latency and loss, and counts messages and
/// bytes.
struct FakeNetwork
{
    explicit FakeNetwork(VirtualScheduler &sharedScheduler)
        : scheduler(sharedScheduler)
    {
    }

    VirtualScheduler &scheduler;
    /// Listening daemons by peer address.
    std::map<std::string, std::weak_ptr<FakePeerNetwork>> listeners;
    /// One-way latency between two daemons.
    std::function<Duration(const Instance &, const Instance &)> latency =
        [](const Instance &, const Instance &) { return milliseconds(1); };
    /// Whether messages between two daemons are currently lost.
    std::function<bool(const Instance &, const Instance &)> isCut =
        [](const Instance &, const Instance &) { return false; };
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;

    void count(const ViewExchange &message)
    {
        ++messages;
        bytes += encodedSize(message) + messageOverheadBytes;
    }
};

/// Peer network of one daemon. Calls to a stopped daemon are refused, calls across a network
/// partition time out, and messages to a paused daemon are deferred until the pause ends.
class FakePeerNetwork final : public PeerNetwork,
                              public std::enable_shared_from_this<FakePeerNetwork>
{
public:
    FakePeerNetwork(FakeNetwork &network, Instance self, std::shared_ptr<VirtualTimer> timer)
        : m_network(network)
        , m_self(std::move(self))
        , m_timer(std::move(timer))
    {
    }

    void listen() { m_network.listeners[m_self.peerAddress] = weak_from_this(); }

    PeerCallId call(const Instance &peer, PeerRequest request, Duration timeLeft,
                    PeerCallback callback) override
    {
        const PeerCallId id(++m_lastCall);
        m_calls[id] = std::move(callback);
        m_timer->deliverAt(m_timer->now() + timeLeft, [this, id] {
            end(id, {PeerCallStatus::MaybeProcessed, std::nullopt});
        });
        const auto *exchange = std::get_if<ViewExchange>(&request);
        if (!exchange)
            return id;
        m_network.count(*exchange);
        if (!m_network.isCut(m_self, peer))
            deliver(peer, *exchange, id);
        return id;
    }

    void cancel(PeerCallId call) override { m_calls.erase(call); }
    void setHandler(PeerHandler *handler) override { m_handler = handler; }
    void beginStop() override { m_isStopping = true; }

private:
    /// Sends the reply back to the caller.
    struct Responder final : PeerResponder
    {
        FakeNetwork &network;
        Instance from;
        std::weak_ptr<FakePeerNetwork> caller;
        PeerCallId call;

        Responder(FakeNetwork &fakeNetwork, Instance sender,
                  std::weak_ptr<FakePeerNetwork> theCaller, PeerCallId theCall)
            : network(fakeNetwork)
            , from(std::move(sender))
            , caller(std::move(theCaller))
            , call(theCall)
        {
        }

        void reply(PeerReply reply) override
        {
            if (const auto *exchange = std::get_if<ViewExchange>(&reply))
                network.count(*exchange);
            sendBack({PeerCallStatus::Replied, std::move(reply)});
        }
        void refuse() override { sendBack({PeerCallStatus::NotProcessed, std::nullopt}); }
        void onCancel(std::function<void()> /*callback*/) override {}

        void sendBack(PeerOutcome outcome)
        {
            const auto target = caller.lock();
            if (!target || network.isCut(from, target->m_self))
                return;
            const TimePoint when = network.scheduler.now() + network.latency(from, target->m_self);
            target->m_timer->deliverAt(when,
                                       [weak = caller, id = call, outcome = std::move(outcome)] {
                                           if (const auto alive = weak.lock())
                                               alive->end(id, outcome);
                                       });
        }
    };

    void deliver(const Instance &peer, const ViewExchange &request, PeerCallId id)
    {
        const TimePoint when = m_timer->now() + m_network.latency(m_self, peer);
        auto responder = std::make_shared<Responder>(m_network, peer, weak_from_this(), id);
        m_network.scheduler.schedule(when, [&network = m_network, peer, request, responder] {
            const auto target = network.listeners[peer.peerAddress].lock();
            if (!target || target->m_isStopping || !target->m_handler) {
                responder->refuse();
                return;
            }
            target->m_timer->deliverAt(target->m_timer->now(),
                                       [weak = std::weak_ptr(target), request, responder] {
                                           const auto alive = weak.lock();
                                           if (alive && alive->m_handler)
                                               alive->m_handler->onPeerRequest(request, responder);
                                       });
        });
    }

    void end(PeerCallId id, const PeerOutcome &outcome)
    {
        auto call = m_calls.extract(id);
        if (!call.empty())
            call.mapped()(outcome);
    }

    FakeNetwork &m_network;
    Instance m_self;
    std::shared_ptr<VirtualTimer> m_timer;
    PeerHandler *m_handler = nullptr;
    std::map<PeerCallId, PeerCallback> m_calls;
    std::uint64_t m_lastCall = 0;
    bool m_isStopping = false;
};

} // namespace oleander::testing
