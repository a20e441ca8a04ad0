#pragma once

#include <oleander/core/Event.h>
#include <oleander/core/Ids.h>

#include <string_view>

namespace oleander {

/// Where numbered events go. The text must never hold a payload.
class EventLog
{
public:
    virtual ~EventLog() = default;

    /// An event of the process as a whole.
    void record(EventId event, std::string_view text) { record(event, RequestId{}, text); }
    /// An event of one request.
    virtual void record(EventId event, const RequestId &request, std::string_view text) = 0;
};

} // namespace oleander
