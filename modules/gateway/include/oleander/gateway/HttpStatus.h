#pragma once

namespace oleander::gateway {

// Statuses of HTTP that the gateway gives or judges (RFC 9110, section 15; RFC 6585 for 431).
constexpr int statusOk = 200;
constexpr int firstFailureStatus = 400;
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusGone = 410;
constexpr int statusTooLarge = 413;
constexpr int statusMisdirected = 421;
constexpr int statusHeaderTooLarge = 431;
constexpr int firstServerErrorStatus = 500;
/// The server's answer is unusable; it may have executed the request.
constexpr int statusBadGateway = 502;
/// Not executed, and never will be.
constexpr int statusUnavailable = 503;
constexpr int statusTimeout = 504;

} // namespace oleander::gateway
