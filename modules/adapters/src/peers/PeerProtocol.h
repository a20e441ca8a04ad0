#pragma once

#include <oleander/core/Units.h>

#include <cstddef>
#include <string_view>

namespace oleander::protocol {

// Constants of the HTTP/2 protocol between daemons, which docs/design/peer-protocol.md describes.

constexpr std::string_view version = "1";

constexpr std::string_view greetingPath = "/greeting";
constexpr std::string_view proofPath = "/proof";
constexpr std::string_view callPath = "/call";

constexpr std::string_view methodHeader = ":method";
constexpr std::string_view schemeHeader = ":scheme";
constexpr std::string_view authorityHeader = ":authority";
constexpr std::string_view pathHeader = ":path";
constexpr std::string_view statusHeader = ":status";
constexpr std::string_view versionHeader = "oleander-protocol";
constexpr std::string_view fleetHeader = "oleander-fleet";
constexpr std::string_view instanceHeader = "oleander-instance";
constexpr std::string_view nonceHeader = "oleander-nonce";
constexpr std::string_view proofHeader = "oleander-proof";

constexpr std::string_view method = "POST";
constexpr std::string_view scheme = "http";

constexpr std::string_view statusOk = "200";
constexpr std::string_view statusBadRequest = "400";
constexpr std::string_view statusForbidden = "403";

/// Maximum length in bytes of a header value; longer values are truncated.
constexpr std::size_t maximumHeaderBytes = 256;
/// Maximum length in bytes of the body of a reply that is not a call's result.
constexpr std::size_t maximumReasonBytes = 512;
/// Time limit from the connection to the end of the handshake.
constexpr Duration handshakeTimeout = seconds(2);
/// A session without calls is closed by the side that opened it after this time, and by the other
/// side after twice this time.
constexpr Duration idleTimeout = seconds(60);

} // namespace oleander::protocol
