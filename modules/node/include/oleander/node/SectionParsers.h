#pragma once

#include <oleander/core/FleetView.h>
#include <oleander/core/Reason.h>

#include <functional>
#include <optional>
#include <string_view>
#include <vector>

namespace oleander {

/// Parsers of the published sections. Each function validates the whole text. If the text is
/// invalid, it returns no value and sets the reason.
struct SectionParsers
{
    template <typename Value>
    using Parser =
        std::function<std::optional<Value>(std::string_view text, SectionVersion, Reason &)>;

    Parser<PolicySet> policySet;
    Parser<InstanceList> instanceList;
    Parser<std::vector<ServiceId>> serviceNames;
    Parser<PartitionMap> partitionMap;
};

} // namespace oleander
