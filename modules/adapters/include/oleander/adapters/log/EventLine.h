#pragma once

#include <oleander/core/Event.h>
#include <oleander/core/Ids.h>

#include <string>
#include <string_view>

namespace oleander {

/// Maximum length in bytes of a text in a log line; longer texts are truncated.
constexpr std::size_t maximumEventTextBytes = 400;

/// Formats one log line from the event's number and name, the request id (unless empty) and the
/// text, such as "301 QueryPartial [r-17] 19 of 20 shards". Control characters are replaced by "?",
/// since ids and texts may contain data sent by a caller.
std::string eventLine(EventId event, const RequestId &request, std::string_view text);

} // namespace oleander
