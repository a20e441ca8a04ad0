#pragma once

#include <span>
#include <string>
#include <string_view>

namespace oleander::gateway {

/// Size of one record of a part, in bytes.
constexpr std::size_t recordBytes = 16;

/// The greatest `limit` records of all parts, compared byte by byte, greatest first. Equal records
/// all count. A remainder at the end of a part that is shorter than a record is left out.
[[nodiscard]] std::string greatestRecords(std::span<const std::string_view> parts,
                                          std::size_t limit);

} // namespace oleander::gateway
