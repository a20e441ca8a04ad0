#include <oleander/gateway/RecordMerge.h>

#include <algorithm>
#include <cstring>
#include <vector>

namespace oleander::gateway {

std::string greatestRecords(std::span<const std::string_view> parts, std::size_t limit)
{
    std::vector<const char *> records;
    for (const std::string_view part : parts) {
        for (std::size_t offset = 0; offset + recordBytes <= part.size(); offset += recordBytes)
            records.push_back(part.data() + offset);
    }
    const std::size_t count = std::min(limit, records.size());
    const auto isGreater = [](const char *left, const char *right) {
        return std::memcmp(left, right, recordBytes) > 0;
    };
    std::partial_sort(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(count),
                      records.end(), isGreater);
    std::string body;
    body.reserve(count * recordBytes);
    for (std::size_t index = 0; index < count; ++index)
        body.append(records[index], recordBytes);
    return body;
}

} // namespace oleander::gateway
