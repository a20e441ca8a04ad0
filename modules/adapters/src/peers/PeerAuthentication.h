#pragma once

#include <oleander/core/Ids.h>

#include <string>
#include <string_view>

namespace oleander {

/// The side of a session that makes a proof. A proof made by one side is not valid for the other
/// side.
enum class PeerSide { Client, Server };

/// Handshake data of a new session, which the proofs of both sides authenticate.
struct PeerGreeting
{
    FleetId fleet;
    InstanceId client;
    InstanceId server;
    std::string clientNonce;
    std::string serverNonce;
};

/// Returns new random bytes in hexadecimal, for one handshake.
std::string makePeerNonce();

/// Whether a text has the format of a nonce from makePeerNonce().
bool isPeerNonce(std::string_view text);

/// Returns the HMAC-SHA-256 of the greeting, in hexadecimal, computed with the fleet's shared key.
std::string makePeerProof(PeerSide side, const PeerGreeting &greeting, const std::string &key);

/// Compares proofs in constant time.
bool isSameProof(std::string_view one, std::string_view other);

} // namespace oleander
