#pragma once

#include <oleander/core/Ids.h>
#include <oleander/core/Policy.h>
#include <oleander/core/Units.h>

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace oleander {

/// When a query is taken to crash servers, and what follows from that.
struct CrashRules
{
    /// Whether a query with an unknown fingerprint is first sent to one server only.
    bool canary = true;
    /// How long a fingerprint counts as harmless after a server has executed it without crashing.
    Duration harmlessMemory = seconds(600);
    /// How long a fingerprint is treated as suspected after the last server loss attributed to it.
    Duration refusal = seconds(60);
    /// How long all queries for one resource are refused after the last loss attributed to it. Then
    /// one at a time is sent alone, since most of them may be harmless.
    Duration resourceRefusal = seconds(60);
    /// Number of lost servers after which a fingerprint is refused.
    int serverLimit = 2;
    /// The same for a fingerprint that a server has survived recently: it may have been at servers
    /// that another one crashed, perhaps one that another instance sent.
    int harmlessServerLimit = 5;
};

/// The rules that the policy of a query contains.
[[nodiscard]] CrashRules crashRulesOf(const Policy &policy);

/// The loss of a whole server, in the unit of attributed losses.
constexpr std::int64_t wholeServer = 1000;

/// The loss of a server as far as it is attributed to one fingerprint.
struct AttributedLoss
{
    Fingerprint fingerprint;
    ServerId server;
    /// In thousandths of a server.
    std::int64_t share = wholeServer;

    bool operator==(const AttributedLoss &) const = default;
};

/// The server losses attributed to one fingerprint.
struct CrashRecord
{
    /// Number of lost servers attributed to the fingerprint, in thousandths. The loss of a server
    /// is divided among the fingerprints that it was executing, so that none of many is held fully
    /// responsible.
    std::int64_t attributedLoss = 0;
    std::vector<ServerId> servers;
    TimePoint lastLoss{};
    /// The fingerprint counts as harmless until then, because a server has executed it without
    /// crashing.
    TimePoint harmlessUntil{};
    /// When a server last survived the execution. Earlier losses are not attributed any more.
    std::optional<TimePoint> survivedAt;
};

/// The queries of one service that are suspected of crashing servers.
struct CrashMemory
{
    std::unordered_map<Fingerprint, CrashRecord> records;
    /// When a server last survived the execution, of at most maximumSurvivals fingerprints.
    std::unordered_map<Fingerprint, TimePoint> survivals;
    TimePoint lastCleanUp{};

    static constexpr std::size_t maximumSurvivals = 4096;
};

/// How a query may be sent to servers, depending on the history of its fingerprint.
enum class DispatchDecision {
    /// Send to all shards at once: known to be harmless, or canaries are disabled by the policy.
    SendToAll,
    /// Send to one server first: the fingerprint is unknown, or suspected although it counts as
    /// harmless.
    CanaryFirst,
    /// Send to one server that executes nothing else: the fingerprint is suspected.
    CanaryAlone,
    /// Refuse: as many servers were lost as the policy allows.
    Refuse,
};

DispatchDecision decideDispatch(const CrashMemory &memory, Fingerprint fingerprint, TimePoint now,
                                const CrashRules &rules);

/// The decision for all requests for one resource, which differ in their queries. `resource` is the
/// fingerprint of what they have in common.
DispatchDecision decideResourceDispatch(const CrashMemory &memory, Fingerprint resource,
                                        TimePoint now, const CrashRules &rules);

/// Records that a server was lost while it executed `suspects`. The loss is divided equally among
/// the distinct fingerprints; returns the share of each in thousandths. When several servers are
/// lost at about the same time, a fingerprint that counts as harmless is held responsible for one
/// of them only, because they probably have another cause in common.
std::int64_t noteServerLost(CrashMemory &memory, const ServerId &server,
                            const std::vector<Fingerprint> &suspects, TimePoint now);

/// Attributes the loss of a server at `when` to one fingerprint. Each server counts once, and none
/// that was lost before another survived the execution. Returns true if the loss counts.
bool noteLoss(CrashMemory &memory, const AttributedLoss &loss, TimePoint when);

/// Records that a peer attributed the loss of a server to this fingerprint, `age` ago. Each server
/// counts once.
void notePeerLoss(CrashMemory &memory, Fingerprint fingerprint, const ServerId &server,
                  Duration age, TimePoint now);

/// Records that a server executed the query and replied. Clears attributed losses unless they
/// amount to a whole server.
void noteHarmless(CrashMemory &memory, Fingerprint fingerprint, TimePoint now,
                  const CrashRules &rules);

/// Records that a server executed a query and replied, where all servers execute the whole query:
/// one that survives shows that the query does not crash servers. Clears what was attributed to the
/// fingerprint. Returns true if anything was.
bool noteSurvived(CrashMemory &memory, Fingerprint fingerprint, TimePoint when);

/// Whether a server has executed the query without crashing recently.
[[nodiscard]] bool isKnownHarmless(const CrashMemory &memory, Fingerprint fingerprint,
                                   TimePoint now);

/// What one instance tells another of a fingerprint.
struct CrashReport
{
    /// A loss attributed to the fingerprint. Without a server: a server survived the execution.
    AttributedLoss loss;
    /// Time since the last loss attributed to the fingerprint, or since it was survived.
    Duration age{};

    [[nodiscard]] bool hasSurvived() const { return loss.server.isEmpty(); }
    bool operator==(const CrashReport &) const = default;
};

/// What other instances need to know: the losses attributed to suspected fingerprints, of each the
/// last ones, as many as the limit needs, and the fingerprints that have been cleared. Only the
/// `maximum` fingerprints with the newest evidence.
[[nodiscard]] std::vector<CrashReport> crashReports(const CrashMemory &memory, TimePoint now,
                                                    const CrashRules &rules, std::size_t maximum);

/// Records what another instance has reported. Returns true if it was a loss that was not known.
bool noteReport(CrashMemory &memory, const CrashReport &report, TimePoint now);

/// Time until a refused fingerprint may be sent to a server again.
[[nodiscard]] Duration refusalLeft(const CrashMemory &memory, Fingerprint fingerprint,
                                   TimePoint now, const CrashRules &rules);

/// The same for all requests for one resource.
[[nodiscard]] Duration resourceRefusalLeft(const CrashMemory &memory, Fingerprint resource,
                                           TimePoint now, const CrashRules &rules);

/// Number of currently suspected fingerprints, for operators.
int countSuspectedFingerprints(const CrashMemory &memory, TimePoint now, const CrashRules &rules);

/// Removes expired records. Does nothing if called again within ten seconds.
void expireCrashRecords(CrashMemory &memory, TimePoint now, const CrashRules &rules);

} // namespace oleander
