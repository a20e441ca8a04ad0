#pragma once

#include <oleander/core/Ids.h>

#include <cstdint>
#include <string>

namespace oleander {

/// Name, version and content hash of a published section, such as "config" or "partitions/x".
struct SectionSummary
{
    std::string name;
    SectionVersion version;
    std::uint64_t digest = 0;

    bool operator==(const SectionSummary &) const = default;
};

/// A published section as read from the platform, not yet parsed.
struct Section
{
    SectionSummary summary;
    std::string body;

    bool operator==(const Section &) const = default;
};

} // namespace oleander
