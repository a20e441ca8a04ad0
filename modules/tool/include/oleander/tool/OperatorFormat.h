#pragma once

#include <oleander/core/Ids.h>
#include <oleander/core/Reason.h>
#include <oleander/settings/Finding.h>

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oleander {

/// A named part of an operator's document, such as a route, with all values that are in force for
/// it, defaults included.
struct DocumentEntry
{
    /// "route sweeps", "service s-1", "limits".
    std::string name;
    /// JSON text by name of the field.
    std::map<std::string, std::string> values;

    bool operator==(const DocumentEntry &) const = default;
};

/// What an operator sends on a platform, as the gateway reads it.
struct OperatorDocument
{
    SectionVersion version;
    std::vector<DocumentEntry> entries;
};

/// What a document is held against, as far as it is known.
struct DeploymentFacts
{
    /// Registered servers of each service; empty when unknown.
    std::optional<std::map<ServiceId, int>> servers;
    std::optional<std::size_t> memoryBytes;
};

/// What a platform holds now.
struct DeployedDocument
{
    std::string text;
    std::map<ServiceId, int> servers;
};

/// Translates the documents of one platform for the commands, which know no platform.
struct OperatorFormat
{
    /// Whether the text looks like such a document.
    std::function<bool(const std::string &text)> recognises;
    /// Reads a document and adds every fault to the findings. Nothing if it can't be read.
    std::function<std::optional<OperatorDocument>(const std::string &text,
                                                  const DeploymentFacts &facts, Findings &findings)>
        read;
    /// Reads what is in force from the platform at an address. Nothing if it does not answer.
    std::function<std::optional<DeployedDocument>(const std::string &address, Reason &reason)>
        fetch;
};

} // namespace oleander
