#pragma once

#include <oleander/core/Units.h>

#include <cstddef>
#include <string_view>

namespace oleander::protocol {

// What daemons say to each other over HTTP/2; docs/design/peer-protocol.md is its description.

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

/// Longest header value of a greeting that is kept, in bytes.
constexpr std::size_t maximumHeaderBytes = 256;
/// Longest reason in a refusal that is kept, in bytes.
constexpr std::size_t maximumReasonBytes = 512;
/// From the connection to the end of the greeting.
constexpr Duration greetingTime = seconds(2);
/// A session without calls is closed by the side that opened it after this, by the other one after
/// twice this.
constexpr Duration idleTime = seconds(60);

} // namespace oleander::protocol
