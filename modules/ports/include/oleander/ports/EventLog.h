#pragma once

#include <oleander/core/Event.h>
#include <oleander/core/Ids.h>

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace oleander {

/// One named value of an event. Name and text are not copied; they must outlive the call to
/// EventLog::record().
struct EventField
{
    using Value = std::variant<std::int64_t, double, bool, std::string_view>;

    EventField(std::string_view fieldName, std::string_view text)
        : name(fieldName)
        , value(text)
    {
    }
    EventField(std::string_view fieldName, const char *text)
        : EventField(fieldName, std::string_view(text))
    {
    }
    EventField(std::string_view fieldName, const std::string &text)
        : EventField(fieldName, std::string_view(text))
    {
    }
    template <typename Number>
    requires std::integral<Number> || std::floating_point<Number>
    EventField(std::string_view fieldName, Number number)
        : name(fieldName)
    {
        if constexpr (std::same_as<Number, bool>)
            value = number;
        else if constexpr (std::floating_point<Number>)
            value = static_cast<double>(number);
        else
            value = static_cast<std::int64_t>(number);
    }

    std::string_view name;
    Value value;
};

/// Sink of the numbered log events. Neither texts nor fields may contain a payload.
class EventLog
{
public:
    using Fields = std::initializer_list<EventField>;

    virtual ~EventLog() = default;

    /// Records an event that belongs to no request.
    void record(EventId event, std::string_view text) { record(event, RequestId{}, text); }
    /// Records an event of one request.
    virtual void record(EventId event, const RequestId &request, std::string_view text) = 0;
    /// Records an event with named values. An empty request id means that it belongs to no request.
    virtual void record(EventId event, const RequestId &request, Fields fields);
};

/// Formats fields as "name=value name=value", for logs that write lines of text.
[[nodiscard]] std::string textOf(EventLog::Fields fields);

} // namespace oleander
