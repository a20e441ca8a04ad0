#pragma once

#include <oleander/core/FleetView.h>
#include <oleander/core/Query.h>
#include <oleander/core/Section.h>

#include <cstdint>
#include <optional>
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

/// Exchanged between peers each second and on each change, as request and as reply.
///
/// A message says what its sender holds, by one digest or in full, and may ask for the texts of
/// sections. A side that learns of a newer value asks for it, so that texts travel only when
/// wanted.
struct ViewExchange
{
    InstanceId from;
    /// Hash over all summaries that the sender holds, so that equal views need not be spelled out.
    std::uint64_t heldDigest = 0;
    /// False when `held` is left out and only the digest speaks.
    bool statesHeld = true;
    std::vector<SectionSummary> held;
    /// Names of sections whose texts the reply shall carry.
    std::vector<std::string> wanted;
    /// The texts that were asked for.
    std::vector<Section> newer;
    std::vector<CrashNotice> crashes;
    /// How long ago the platform last answered a daemon that the sender has heard of.
    Duration platformAge = Duration::max();
    /// True when the sender takes no new queries.
    bool isStopping = false;

    bool operator==(const ViewExchange &) const = default;
};

/// Asks an instance that reads the platform's registry what has changed in it.
struct RegistryQuestion
{
    /// Changes after this revision are wanted; without it, the whole content.
    std::optional<std::uint64_t> after;
    /// How long the answer may wait for a change. Ignored when the whole content is wanted.
    Duration wait{};

    bool operator==(const RegistryQuestion &) const = default;
};

/// One item of the platform's registry, or the news that it is gone.
struct RegistryItem
{
    std::string key;
    std::string value;
    bool isRemoved = false;

    bool operator==(const RegistryItem &) const = default;
};

/// The answer to a RegistryQuestion.
struct RegistryNews
{
    /// False when the changes after the asked revision are not known; the items are then empty.
    bool isKnown = true;
    std::vector<RegistryItem> items;
    /// The revision that the asker then holds. May lie below the one that it asked from, when the
    /// asker has read later than the instance that answers.
    std::uint64_t revision = 0;
    /// How long ago the registry last answered the instance that answers.
    Duration age{};

    bool operator==(const RegistryNews &) const = default;
};

using PeerRequest = std::variant<PeerQuery, ViewExchange, RegistryQuestion>;
using PeerReply = std::variant<PeerAnswer, ViewExchange, RegistryNews>;

} // namespace oleander
