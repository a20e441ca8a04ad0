#pragma once

#include <oleander/core/FleetView.h>
#include <oleander/core/Query.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace oleander {

/// A query forwarded by an entry to a coordinator.
struct PeerQuery
{
    InstanceId from;
    Query query;
    Duration timeLeft{};
    /// Versions that the entry used, so that the side with the older one can catch up.
    SectionVersion instanceList;
    SectionVersion partitionMap;

    bool operator==(const PeerQuery &) const = default;
};

/// The coordinator's answer to a PeerQuery.
struct PeerAnswer
{
    Answer answer;
    SectionVersion instanceList;
    SectionVersion partitionMap;

    bool operator==(const PeerAnswer &) const = default;
};

/// Name, version and content hash of a published section, such as "config" or "partitions/x".
struct SectionSummary
{
    std::string name;
    SectionVersion version;
    std::uint64_t digest = 0;

    bool operator==(const SectionSummary &) const = default;
};

/// A published section as read from the platform, unparsed.
struct Section
{
    SectionSummary summary;
    std::string body;

    bool operator==(const Section &) const = default;
};

/// Evidence that a server was lost while it executed a query.
struct CrashNotice
{
    ServiceId service;
    Fingerprint fingerprint;
    ServerId server;
    /// How long ago the loss was seen when the notice was sent.
    Duration age{};

    bool operator==(const CrashNotice &) const = default;
};

/// Exchanged between peers each second and on each change. The reply carries the sections that the
/// sender holds in lower versions, and the replier's own summaries.
struct ViewExchange
{
    InstanceId from;
    /// Hash over all summaries that the sender holds, so that equal views need not be spelled out.
    std::uint64_t heldDigest = 0;
    /// False when `held` is left out and only the digest speaks.
    bool statesHeld = true;
    std::vector<SectionSummary> held;
    /// Sections that the sender found invalid. They are not sent to it again.
    std::vector<SectionSummary> refused;
    std::vector<Section> newer;
    std::vector<CrashNotice> crashes;
    /// True when the sender takes no new queries.
    bool isStopping = false;

    bool operator==(const ViewExchange &) const = default;
};

using PeerRequest = std::variant<PeerQuery, ViewExchange>;
using PeerReply = std::variant<PeerAnswer, ViewExchange>;

} // namespace oleander
