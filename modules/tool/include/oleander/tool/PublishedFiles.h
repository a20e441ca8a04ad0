#pragma once

#include <oleander/core/FleetView.h>
#include <oleander/settings/DaemonSettings.h>
#include <oleander/settings/Finding.h>
#include <oleander/settings/JsonPosition.h>
#include <oleander/tool/OperatorFormat.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oleander {

/// A fault and the file it stands in.
struct FileFinding
{
    std::string file;
    Finding finding;
    /// Where the finding's path stands in the file; nothing if that is not known.
    std::optional<TextPosition> position;
};

/// What was read from files that are, or are to be, published.
struct PublishedFiles
{
    template <typename T>
    struct Read
    {
        std::string file;
        T value;
    };

    std::optional<Read<PolicySet>> configuration;
    std::optional<Read<InstanceList>> instances;
    std::optional<Read<std::vector<ServiceId>>> services;
    std::vector<Read<PartitionMap>> partitions;
    std::vector<Read<DaemonSettings>> daemons;
    /// What an operator sends on the platform.
    std::optional<Read<OperatorDocument>> operatorDocument;
    /// Content of each file, for the positions of findings.
    std::map<std::string, std::string> texts;
    /// Files that were looked at.
    int fileCount = 0;
    /// Every fault of every file, in the order read.
    std::vector<FileFinding> findings;
};

/// What is needed to read documents of a platform; they are unknown files without a format.
struct DocumentReading
{
    const OperatorFormat *format = nullptr;
    DeploymentFacts facts;
};

/// Reads files and folders. A folder stands for all `.json` files below it. What a file holds is
/// told by its keys: "defaults", "instances", "services", "shards" or "platformAddresses". Nothing
/// when a path can not be read; faults inside a file are findings.
std::optional<PublishedFiles> readPublishedFiles(const std::vector<std::string> &paths,
                                                 Reason &reason,
                                                 const DocumentReading &reading = {});

/// Adds to each finding where its path stands.
void locateFindings(PublishedFiles &files);

/// Holds the parts against each other and adds what contradicts: names that no part knows, services
/// without map, servers whose connection caps are too small for all services they carry, more
/// coordinators than instances, and daemons' settings that the list of instances does not confirm.
void checkTogether(PublishedFiles &files);

/// Reads a whole file of bounded size.
std::optional<std::string> readFile(const std::string &path, Reason &reason);

} // namespace oleander
