#include "JsonText.h"

#include <oleander/settings/JsonPosition.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>

namespace oleander {

namespace {

/// Walks through well-formed JSON along a path.
class PathWalk
{
public:
    explicit PathWalk(std::string_view text)
        : m_text(text)
    {
    }

    /// The byte at which the last part of the path that exists begins.
    std::size_t follow(std::string_view path)
    {
        skipSpace();
        std::size_t place = m_at;
        while (!path.empty()) {
            const auto next = m_text[m_at] == '{'   ? enterMember(path)
                              : m_text[m_at] == '[' ? enterElement(path)
                                                    : std::nullopt;
            if (!next)
                break;
            place = *next;
        }
        return place;
    }

private:
    void skipSpace() { m_at = std::min(m_text.find_first_not_of(" \t\r\n", m_at), m_text.size()); }

    /// Moves past one character that is there in well-formed JSON, and past space.
    void skipMark()
    {
        ++m_at;
        skipSpace();
    }

    void skipString()
    {
        for (++m_at; m_text[m_at] != '"'; ++m_at) {
            if (m_text[m_at] == '\\')
                ++m_at;
        }
        ++m_at;
    }

    void skipValue()
    {
        int depth = 0;
        do {
            const char mark = m_text[m_at];
            if (mark == '"') {
                skipString();
            } else {
                depth += int{mark == '{' || mark == '['} - int{mark == '}' || mark == ']'};
                ++m_at;
                if (depth == 0 && mark != '}' && mark != ']')
                    m_at = std::min(m_text.find_first_of(",]} \t\r\n", m_at), m_text.size());
            }
        } while (depth > 0);
        skipSpace();
    }

    /// Moves to the value of the member that the path begins with; returns where its key stands.
    std::optional<std::size_t> enterMember(std::string_view &path)
    {
        for (skipMark(); m_text[m_at] == '"';) {
            const std::size_t place = m_at;
            skipString();
            const auto key =
                nlohmann::json::parse(m_text.substr(place, m_at - place)).get<std::string>();
            skipSpace();
            skipMark();
            const std::string step = memberPath("", key);
            const std::string_view rest =
                path.starts_with(step) ? path.substr(step.size()) : std::string_view();
            if (path.starts_with(step) && (rest.empty() || rest[0] == '.' || rest[0] == '[')) {
                path = rest;
                return place;
            }
            skipValue();
            if (m_text[m_at] == ',')
                skipMark();
        }
        return std::nullopt;
    }

    std::optional<std::size_t> enterElement(std::string_view &path)
    {
        skipMark();
        for (std::size_t index = 0; m_text[m_at] != ']'; ++index) {
            const std::string step = elementPath("", index);
            if (path.starts_with(step)) {
                path.remove_prefix(step.size());
                return m_at;
            }
            skipValue();
            if (m_text[m_at] == ',')
                skipMark();
        }
        return std::nullopt;
    }

    std::string_view m_text;
    std::size_t m_at = 0;
};

} // namespace

TextPosition positionAt(std::string_view text, std::size_t byte)
{
    const std::string_view before = text.substr(0, std::min(byte, text.size()));
    const std::size_t lineBegin = before.rfind('\n') + 1;
    return {1 + static_cast<std::size_t>(std::ranges::count(before, '\n')),
            1 + before.size() - lineBegin};
}

std::optional<TextPosition> positionOf(std::string_view json, std::string_view path)
{
    if (!path.starts_with('$') || !nlohmann::json::accept(json))
        return std::nullopt;
    return positionAt(json, PathWalk(json).follow(path.substr(1)));
}

bool checkJson(std::string_view text, Findings &findings)
{
    return readJson(text, findings).has_value();
}

} // namespace oleander
