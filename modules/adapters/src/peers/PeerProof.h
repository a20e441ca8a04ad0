#pragma once

#include <oleander/core/Ids.h>

#include <string>
#include <string_view>

namespace oleander {

/// Which side of a session makes a proof. A proof of one side never serves as one of the other.
enum class PeerSide { Client, Server };

/// What both sides of a new session have said and what their proofs cover.
struct PeerGreeting
{
    FleetId fleet;
    InstanceId client;
    InstanceId server;
    std::string clientNonce;
    std::string serverNonce;
};

/// Fresh random bytes in hexadecimal, for one greeting.
std::string makePeerNonce();

/// Whether a text is what makePeerNonce() gives, by its form.
bool isPeerNonce(std::string_view text);

/// HMAC-SHA-256 over the greeting, in hexadecimal, with the key that the fleet shares.
std::string makePeerProof(PeerSide side, const PeerGreeting &greeting, const std::string &key);

/// Compares proofs in constant time.
bool isSameProof(std::string_view one, std::string_view other);

} // namespace oleander
