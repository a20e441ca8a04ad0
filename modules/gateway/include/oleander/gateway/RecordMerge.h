#pragma once

#include <span>
#include <string>
#include <string_view>

namespace oleander::gateway {

/// Size of one record in bytes.
constexpr std::size_t recordBytes = 16;

/// Merges the records of all parts and returns the `limit` greatest in descending byte order.
/// Duplicates are kept. An incomplete record at the end of a part is ignored.
[[nodiscard]] std::string greatestRecords(std::span<const std::string_view> parts,
                                          std::size_t limit);

} // namespace oleander::gateway
