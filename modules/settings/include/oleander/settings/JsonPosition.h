#pragma once

#include <oleander/settings/Finding.h>

#include <cstddef>
#include <optional>
#include <string_view>

namespace oleander {

/// A place in a text; both numbers begin with one. Columns count bytes.
struct TextPosition
{
    std::size_t line = 1;
    std::size_t column = 1;

    bool operator==(const TextPosition &) const = default;
};

/// The place of a byte, counted from zero; the end when the text is shorter.
TextPosition positionAt(std::string_view text, std::size_t byte);

/// Where the member or element of a finding's path stands, such as "$.routes[2].prefix": the key of
/// a member, or the value of an element. Of a path that is not there, the part that is. Nothing
/// when the text is not valid JSON or the path is none.
std::optional<TextPosition> positionOf(std::string_view json, std::string_view path);

/// Checks what every document must meet: valid JSON of bounded size and depth in which no key
/// stands twice in an object. Adds what is wrong, with line and column of bad input.
bool checkJson(std::string_view text, Findings &findings);

} // namespace oleander
