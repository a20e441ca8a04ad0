#include <oleander/ports/EventLog.h>

#include <sstream>

namespace oleander {

void EventLog::record(EventId event, const RequestId &request, Fields fields)
{
    record(event, request, std::string_view(textOf(fields)));
}

std::string textOf(EventLog::Fields fields)
{
    std::ostringstream text;
    text << std::boolalpha;
    const char *separator = "";
    for (const EventField &field : fields) {
        text << separator << field.name << '=';
        std::visit([&text](const auto &value) { text << value; }, field.value);
        separator = " ";
    }
    return text.str();
}

} // namespace oleander
