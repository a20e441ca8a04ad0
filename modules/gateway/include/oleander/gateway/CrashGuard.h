#pragma once

#include <oleander/decisions/request/CrashMemory.h>
#include <oleander/gateway/HttpMessage.h>
#include <oleander/ports/EventLog.h>
#include <oleander/ports/TimerService.h>

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace oleander::gateway {

/// Hash of what a request asks for: method, host, target and body. Requests that callers repeat
/// have equal fingerprints, although each attempt has an id of its own.
[[nodiscard]] Fingerprint fingerprintOf(const CallerRequest &request);
/// The same without the query of the target.
[[nodiscard]] Fingerprint resourceFingerprintOf(const CallerRequest &request);

/// All attempts in progress of requests with one fingerprint, as evidence of whether the request
/// crashes servers.
struct CrashTrial
{
    Fingerprint fingerprint;
    /// The trial of all requests that differ from these in the query only; null if these have no
    /// query.
    std::shared_ptr<CrashTrial> resource;
    /// Attempts that servers hold or wait for.
    int inFlight = 0;
    /// Servers that closed the connection under an attempt, and may have ended.
    int unverified = 0;
    TimePoint lastClosedAt{};
    /// A server executed the request and replied.
    bool hasSurvivor = false;
    /// The first server that ended since the request was last sent. Those that ended with it were
    /// sent the request before its loss was known, and count as one loss.
    std::optional<AttributedLoss> loss;
    /// Called once when the evidence changes.
    std::vector<std::function<void()>> waiting;

    /// The fingerprint of the resource; that of the request if it has no query.
    [[nodiscard]] Fingerprint resourceFingerprint() const
    {
        return resource ? resource->fingerprint : fingerprint;
    }

    /// Calls `apply` with this trial and that of the resource.
    template <typename Function>
    void forRequestAndResource(Function apply)
    {
        apply(*this);
        if (resource)
            apply(*resource);
    }
};

/// Whether a request may be sent to a server, or to one server more. The stricter decisions come
/// later.
enum class SendDecision {
    Send,
    /// To a server that executes nothing else, if there is one.
    SendAlone,
    /// An attempt in progress will show whether the request crashes servers.
    Wait,
    /// Servers were lost while they executed it.
    Refuse,
};

/// Keeps requests that crash each server that executes them away from servers.
///
/// A server is lost when it closes the connection under a request and then accepts no new one. Its
/// loss is attributed to all requests that it held, in equal shares, except those that another
/// server has survived. A request with a loss is sent to one server alone, until one survives it or
/// the limit of lost servers is reached; then it is refused. What instances attribute to a request
/// is exchanged between them.
///
/// The same is done for the resource of a request, which is the request without its query, since a
/// caller may repeat it with another query. The stricter decision holds. A server that survives any
/// query clears the resource, but not the other queries.
class CrashGuard
{
public:
    /// All arguments must outlive the guard.
    CrashGuard(TimerService &timer, EventLog &log, const CrashRules &rules);
    CrashGuard(const CrashGuard &) = delete;
    CrashGuard &operator=(const CrashGuard &) = delete;

    // Requests
    /// The trial of the request, which requests with the same fingerprint share.
    [[nodiscard]] std::shared_ptr<CrashTrial> trialOf(const CallerRequest &request);
    [[nodiscard]] SendDecision decide(const CrashTrial &trial) const;
    /// Time until a refused request may be sent again; zero for all others.
    [[nodiscard]] Duration refusalLeft(const CrashTrial &trial) const;
    /// Calls `callback` when the evidence about the request changes, and when that about its
    /// resource does.
    static void awaitEvidence(CrashTrial &trial, const std::function<void()> &callback);

    // Attempts
    static void onSubmitted(CrashTrial &trial);
    /// `server` replied with `status`. A failure need not come from an execution, and proves
    /// nothing.
    void onReplied(CrashTrial &trial, const ServerId &server, int status);
    /// The server closed the connection. onServerChecked() follows.
    void onConnectionClosed(CrashTrial &trial);
    /// The attempt ended otherwise, which shows nothing.
    void onEnded(CrashTrial &trial);
    /// Called with the trials of all attempts under which the server closed its connections, when
    /// it is known whether the server has ended.
    void onServerChecked(const std::vector<std::shared_ptr<CrashTrial>> &trials,
                         const ServerId &server, bool hasEnded);

    // Exchange with other instances
    /// `listener` is called when other instances should be told what this one knows. By then most
    /// requests that only shared a server with another one have been cleared.
    void setListener(std::function<void()> listener) { m_listener = std::move(listener); }
    [[nodiscard]] std::vector<CrashReport> reports() const;
    /// Calls the listener, too, if a loss was new.
    void onReports(const std::vector<CrashReport> &reports);

    /// Number of requests that are suspected or refused.
    [[nodiscard]] int suspectedRequests() const;

private:
    using Trials = std::unordered_map<Fingerprint, std::weak_ptr<CrashTrial>>;

    [[nodiscard]] std::shared_ptr<CrashTrial> trialOf(Fingerprint fingerprint);
    /// The decision by the evidence of this trial alone.
    [[nodiscard]] SendDecision decide(const CrashTrial &trial, DispatchDecision known) const;
    void attributeIfDone(CrashTrial &trial);
    void announceSoon();
    /// Calls those that wait for the trial, after the current event has been handled.
    void notify(CrashTrial &trial);

    TimerService &m_timer;
    EventLog &m_log;
    const CrashRules &m_rules;
    CrashMemory m_memory;
    /// Trials remove themselves, also after the guard has gone.
    std::shared_ptr<Trials> m_trials = std::make_shared<Trials>();
    std::function<void()> m_listener;
    bool m_isAnnouncing = false;
    Subscription m_announcement;
};

} // namespace oleander::gateway
