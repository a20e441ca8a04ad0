#pragma once

#include <oleander/core/Reason.h>
#include <oleander/ports/PeerMessage.h>

#include <optional>
#include <string>
#include <string_view>

namespace oleander {

/// Largest encoded message between daemons, in bytes.
constexpr std::size_t maximumPeerMessageBytes = 4194304;

/// Encodes a message between daemons as MessagePack: a map with one entry, whose key is the kind of
/// message and whose value is a map of the message's members.
///
/// Decoders skip unknown members, so that a later release can add members. All members of this
/// release are required. Durations are encoded as whole microseconds, enumeration values as their
/// wire names.
std::string encodePeerRequest(const PeerRequest &request);
std::string encodePeerReply(const PeerReply &reply);

/// Decodes a message. List sizes, nesting depth and total size are limited. A message that is
/// truncated, has a member of the wrong type, is of an unknown kind or lacks a member is rejected.
std::optional<PeerRequest> decodePeerRequest(std::string_view bytes, Reason &reason);
std::optional<PeerReply> decodePeerReply(std::string_view bytes, Reason &reason);

} // namespace oleander
