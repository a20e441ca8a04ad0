#pragma once

#include <oleander/core/Ids.h>
#include <oleander/core/Policy.h>
#include <oleander/core/Units.h>

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace oleander {

/// What is known of one fingerprint's effect on servers.
struct CrashRecord
{
    /// Blame in thousandths of a server: a lost server is shared by the fingerprints that it was
    /// executing, so servers that die with many requests in flight blame none of them fully.
    std::int64_t blame = 0;
    std::vector<ServerId> servers;
    TimePoint lastLoss{};
    /// A server executed it and lived, until then.
    TimePoint harmlessUntil{};
};

/// Which queries are suspected of crashing servers, for one service.
struct CrashMemory
{
    std::unordered_map<Fingerprint, CrashRecord> records;
    TimePoint lastCleanUp{};
};

/// How a query may be sent, given what its fingerprint has done.
enum class CrashVerdict {
    /// Known to be harmless, or the policy asks for no canary: to all shards at once.
    SendToAll,
    /// Unknown: to one server first.
    CanaryFirst,
    /// Lost a server together with others: to one server that executes nothing else.
    CanaryAlone,
    /// It has cost as many servers as the policy allows: refuse.
    Refuse,
};

CrashVerdict judgeFingerprint(const CrashMemory &memory, Fingerprint fingerprint, TimePoint now,
                              const Policy &policy);

/// A server was lost while it executed `suspects`; each distinct fingerprint gets an equal share of
/// the blame. Returns the share of each in thousandths. A fingerprint that other servers survived
/// is blamed for one server of those that are lost at about the same time: they died of something
/// else.
std::int64_t noteServerLost(CrashMemory &memory, const ServerId &server,
                            const std::vector<Fingerprint> &suspects, TimePoint now);

/// A peer saw a server lost to this fingerprint `age` ago. The same server counts once.
void notePeerLoss(CrashMemory &memory, Fingerprint fingerprint, const ServerId &server,
                  Duration age, TimePoint now);

/// A server executed the query and replied. Clears a suspicion that was shared with others.
void noteHarmless(CrashMemory &memory, Fingerprint fingerprint, TimePoint now,
                  const Policy &policy);

/// Fingerprints with blame that has not expired, for operators.
int openSuspicions(const CrashMemory &memory, TimePoint now, const Policy &policy);

/// Drops what has expired. Cheap when called often.
void forgetOldCrashes(CrashMemory &memory, TimePoint now, const Policy &policy);

} // namespace oleander
