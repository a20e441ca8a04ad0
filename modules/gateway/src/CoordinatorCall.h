#pragma once

#include <oleander/gateway/GatherDelegation.h>
#include <oleander/gateway/HttpMessage.h>

#include <functional>
#include <memory>
#include <optional>

namespace oleander::gateway {

/// How a call to a coordinator ended, or what became known of it meanwhile.
enum class CoordinatorResult {
    Replied,
    /// The coordinator has too much to do, and has executed nothing.
    Busy,
    /// The request has certainly not reached the coordinator.
    NotReached,
    /// The coordinator was lost and may have executed the request.
    Lost,
    /// The coordinator does not respond. The call continues.
    Unresponsive,
};

/// One call to one coordinator, which is probed while it does not reply. Sends the rules of the
/// route only if the coordinator does not know them.
class CoordinatorCall : public std::enable_shared_from_this<CoordinatorCall>
{
public:
    /// `reply` is set if and only if the result is Replied.
    using Callback = std::function<void(CoordinatorResult result, PeerGatherReply reply)>;

    /// `rules` must outlive the call.
    CoordinatorCall(GatherDelegation &delegation, TimerService &timer, const GatewayPolicy &policy,
                    const GatherRules &rules, Instance coordinator);
    CoordinatorCall(const CoordinatorCall &) = delete;
    CoordinatorCall &operator=(const CoordinatorCall &) = delete;
    ~CoordinatorCall() { cancel(); }

    /// Starts the call. `done` is called once, or twice if the first result is Unresponsive, and
    /// never synchronously from start().
    void start(PeerGather gather, Callback done);
    /// Ends the call. The coordinator treats it like a caller that has disconnected.
    void cancel();

    [[nodiscard]] const Instance &coordinator() const { return m_coordinator; }
    [[nodiscard]] bool isUnresponsive() const { return m_isUnresponsive; }
    /// Whether the coordinator may have asked a second server of a shard by now.
    [[nodiscard]] bool mayHaveHedged() const;

private:
    void send(bool withRules);
    void scheduleProbe();
    void probe();
    void onProbed(bool isResponsive);
    void onOutcome(bool withRules, PeerOutcome outcome);
    void finish(CoordinatorResult result, PeerGatherReply reply);

    GatherDelegation &m_delegation;
    TimerService &m_timer;
    const GatewayPolicy &m_policy;
    const GatherRules &m_rules;
    Instance m_coordinator;
    PeerGather m_gather;
    Callback m_done;
    PeerCallId m_call;
    TimePoint m_startedAt{};
    TimePoint m_sentAt{};
    bool m_isUnresponsive = false;
    Subscription m_probeTimer;
};

/// The request as handed to a coordinator now, without rules.
[[nodiscard]] PeerGather makeGather(const GatherDelegation &delegation,
                                    const CallerRequest &request, std::uint64_t rulesDigest,
                                    Duration timeLeft, Duration untilAnswerBy);

} // namespace oleander::gateway
