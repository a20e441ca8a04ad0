#include <oleander/adapters/log/EventLine.h>

namespace oleander {

namespace {

constexpr unsigned char firstPrintable = 0x20;
constexpr unsigned char deleteCharacter = 0x7f;

void appendPrintable(std::string &line, std::string_view text)
{
    for (const char character : text.substr(0, maximumEventTextBytes)) {
        const auto byte = static_cast<unsigned char>(character);
        const bool isControl = byte < firstPrintable || byte == deleteCharacter;
        line += isControl ? '?' : character;
    }
}

} // namespace

std::string eventLine(EventId event, const RequestId &request, std::string_view text)
{
    const EventInfo &info = eventInfo(event);
    std::string line = std::to_string(static_cast<int>(event)) + " " + std::string(info.name) + " ";
    if (!request.isEmpty()) {
        line += "[";
        appendPrintable(line, request.text());
        line += "] ";
    }
    appendPrintable(line, text);
    return line;
}

} // namespace oleander
