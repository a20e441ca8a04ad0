#pragma once

#include <oleander/core/FleetView.h>
#include <oleander/core/Reason.h>

#include <functional>
#include <optional>
#include <string_view>
#include <vector>

namespace oleander {

/// How the published texts become values. Each function checks the whole text and writes the reason
/// when its result is empty.
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
