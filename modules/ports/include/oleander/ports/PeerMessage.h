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

/// A query that the entry instance forwards to a coordinator.
struct PeerQuery
{
    InstanceId from;
    Query query;
    Duration timeLeft{};
    /// Versions that the entry instance used. The side with the older version fetches the newer
    /// one.
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
    /// Time between the loss of the server and the sending of the notice.
    Duration age{};

    bool operator==(const CrashNotice &) const = default;
};

/// Request and reply with which peers compare their sections, once a second and on each change.
///
/// A message describes the sections of its sender, by one digest or by their summaries, and may
/// request the bodies of sections. A side that learns of a newer section requests it, so bodies are
/// sent only on request.
struct ViewExchange
{
    InstanceId from;
    /// Hash over the summaries of all sections of the sender. When it equals that of the receiver,
    /// the summaries need not be sent.
    std::uint64_t heldDigest = 0;
    /// False when `held` is omitted and only heldDigest describes the sections.
    bool statesHeld = true;
    std::vector<SectionSummary> held;
    /// Names of the sections whose bodies the reply should contain.
    std::vector<std::string> wanted;
    /// The requested sections.
    std::vector<Section> newer;
    std::vector<CrashNotice> crashes;
    /// Time since the platform last answered any daemon, as far as the sender knows.
    Duration platformAge = Duration::max();
    /// True when the sender accepts no new queries.
    bool isStopping = false;

    bool operator==(const ViewExchange &) const = default;
};

/// Requests changes of the platform's registry from an instance that reads it.
struct RegistryChangesRequest
{
    /// Requests the changes after this revision; if empty, the whole content.
    std::optional<std::uint64_t> after;
    /// Longest time to wait for a change before the reply. Ignored when the whole content is
    /// requested.
    Duration wait{};

    bool operator==(const RegistryChangesRequest &) const = default;
};

/// One entry of the platform's registry, or its removal.
struct RegistryItem
{
    std::string key;
    std::string value;
    bool isRemoved = false;

    bool operator==(const RegistryItem &) const = default;
};

/// The reply to a RegistryChangesRequest.
struct RegistryChanges
{
    /// False when the changes after the requested revision are not known; `items` is then empty.
    bool isKnown = true;
    std::vector<RegistryItem> items;
    /// The revision up to which `items` is complete. It may be lower than the requested one when
    /// the requesting instance has read the registry more recently than the replying one.
    std::uint64_t revision = 0;
    /// Time since the registry last answered the replying instance.
    Duration age{};

    bool operator==(const RegistryChanges &) const = default;
};

using PeerRequest = std::variant<PeerQuery, ViewExchange, RegistryChangesRequest>;
using PeerReply = std::variant<PeerAnswer, ViewExchange, RegistryChanges>;

} // namespace oleander
