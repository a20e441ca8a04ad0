#pragma once

#include <oleander/core/Ids.h>
#include <oleander/core/Policy.h>
#include <oleander/core/Units.h>

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace oleander {

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
};

/// The queries of one service that are suspected of crashing servers.
struct CrashMemory
{
    std::unordered_map<Fingerprint, CrashRecord> records;
    TimePoint lastCleanUp{};
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
                                const Policy &policy);

/// Records that a server was lost while it executed `suspects`. The loss is divided equally among
/// the distinct fingerprints; returns the share of each in thousandths. When several servers are
/// lost at about the same time, a fingerprint that counts as harmless is held responsible for one
/// of them only, because they probably have another cause in common.
std::int64_t noteServerLost(CrashMemory &memory, const ServerId &server,
                            const std::vector<Fingerprint> &suspects, TimePoint now);

/// Records that a peer attributed the loss of a server to this fingerprint, `age` ago. Each server
/// counts once.
void notePeerLoss(CrashMemory &memory, Fingerprint fingerprint, const ServerId &server,
                  Duration age, TimePoint now);

/// Records that a server executed the query and replied. Clears attributed losses unless they
/// amount to a whole server.
void noteHarmless(CrashMemory &memory, Fingerprint fingerprint, TimePoint now,
                  const Policy &policy);

/// Number of currently suspected fingerprints, for operators.
int countSuspectedFingerprints(const CrashMemory &memory, TimePoint now, const Policy &policy);

/// Removes expired records. Does nothing if called again within ten seconds.
void expireCrashRecords(CrashMemory &memory, TimePoint now, const Policy &policy);

} // namespace oleander
