#pragma once

#include <oleander/core/Reason.h>
#include <oleander/ports/PeerMessage.h>

#include <optional>
#include <string>
#include <string_view>

namespace oleander {

/// Largest encoded message between daemons, in bytes.
constexpr std::size_t maximumPeerMessageBytes = 4194304;

/// Writes a message between daemons as MessagePack: a map with one entry that names the kind of
/// message and holds a map of its members.
///
/// Members that a reader does not know are skipped, so that a later release may add some. Members
/// of this release are required. Durations are whole microseconds, enumerations their wire names.
std::string encodePeerRequest(const PeerRequest &request);
std::string encodePeerReply(const PeerReply &reply);

/// Reads a message. Sizes of lists, depth and the whole are bounded; what is cut, has a wrong type,
/// an unknown kind or lacks a member is refused.
std::optional<PeerRequest> decodePeerRequest(std::string_view bytes, Reason &reason);
std::optional<PeerReply> decodePeerReply(std::string_view bytes, Reason &reason);

} // namespace oleander
