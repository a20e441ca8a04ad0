#pragma once

#include <oleander/core/Reason.h>

#include <string>
#include <vector>

namespace oleander {

/// One fault of a document: where it stands and what is wrong.
struct Finding
{
    /// Path of the offending value, such as "$.defaults.tailLimitMs".
    std::string path;
    /// What is wrong, with the unit and the allowed range where there is one.
    std::string text;

    bool operator==(const Finding &) const = default;
};

/// Every fault found, in the order of the document where possible.
using Findings = std::vector<Finding>;

/// "path: text".
std::string toText(const Finding &finding);

/// Puts the first finding into a reason, and how many more there are.
void setReason(const Findings &findings, Reason &reason);

} // namespace oleander
