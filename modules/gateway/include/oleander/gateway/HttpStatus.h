#pragma once

namespace oleander::gateway {

// HTTP status codes that the gateway sends or checks (RFC 9110, section 15; RFC 6585 for 431).
constexpr int firstStatus = 100;
constexpr int firstFinalStatus = 200;
constexpr int statusOk = 200;
constexpr int firstClientErrorStatus = 400;
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusGone = 410;
constexpr int statusTooLarge = 413;
constexpr int statusMisdirected = 421;
constexpr int statusHeaderTooLarge = 431;
constexpr int firstServerErrorStatus = 500;
/// The server's reply is unusable; the request may have been executed.
constexpr int statusBadGateway = 502;
/// The request was not executed and will not be.
constexpr int statusUnavailable = 503;
constexpr int statusTimeout = 504;
constexpr int lastStatus = 599;

/// Whether a status belongs to one of the protocol's classes. A message with any other is no reply.
[[nodiscard]] constexpr bool isStatus(int status)
{
    return status >= firstStatus && status <= lastStatus;
}

} // namespace oleander::gateway
