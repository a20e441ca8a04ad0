#pragma once

#include <oleander/settings/Finding.h>

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <optional>
#include <string_view>

namespace oleander {

/// Largest document that is read, in bytes: what the platform holds for one key.
constexpr std::size_t maximumDocumentBytes = 1048576;
/// Deepest nesting of objects and arrays that is read.
constexpr std::size_t maximumDocumentDepth = 8;

/// Reads JSON text of bounded size and depth in which no key stands twice in an object.
std::optional<nlohmann::json> readJson(std::string_view text, Findings &findings);

/// The path of a member: "$.defaults" and "patience" give "$.defaults.patience".
std::string memberPath(std::string_view path, std::string_view key);

/// The path of an element: "$.shards" and 3 give "$.shards[3]".
std::string elementPath(std::string_view path, std::size_t index);

} // namespace oleander
