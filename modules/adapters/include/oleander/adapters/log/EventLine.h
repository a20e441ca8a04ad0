#pragma once

#include <oleander/core/Event.h>
#include <oleander/core/Ids.h>

#include <string>
#include <string_view>

namespace oleander {

/// Longest text of a line, in bytes; the rest is cut off.
constexpr std::size_t maximumEventTextBytes = 400;

/// One log line: the event's number and name, the request's id if there is one, and the text.
/// "301 QueryPartial [r-17] 19 of 20 shards". Bytes that could end a line or confuse a terminal
/// are shown as "?", since ids and texts may hold what a caller sent.
std::string eventLine(EventId event, const RequestId &request, std::string_view text);

} // namespace oleander
