#include <oleander/settings/GatewaySettings.h>
#include <oleander/settings/InstanceListParser.h>
#include <oleander/settings/PartitionMapParser.h>
#include <oleander/settings/PolicySetParser.h>
#include <oleander/tool/PublishedFiles.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>

namespace oleander {

namespace {

namespace fs = std::filesystem;

/// One byte more than what the parsers accept, so that a longer file is refused by them.
constexpr std::size_t maximumFileBytes = 1048577;

/// Files have no version of the platform's.
constexpr SectionVersion fileVersion{1};

enum class FileKind {
    Configuration,
    Instances,
    Services,
    Partitions,
    Daemon,
    Gateway,
    Operator,
    Unknown
};

FileKind kindOf(const std::string &text, const DocumentReading &reading)
{
    if (reading.format && reading.format->recognises(text))
        return FileKind::Operator;
    const nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object())
        return FileKind::Unknown;
    if (document.contains("shards") || document.contains("servers"))
        return FileKind::Partitions;
    if (document.contains("platformAddresses") || document.contains("peerKey"))
        return FileKind::Daemon;
    if (document.contains("registryAddress") || document.contains("fleetKey"))
        return FileKind::Gateway;
    if (document.contains("instances"))
        return FileKind::Instances;
    if (document.contains("services"))
        return FileKind::Services;
    if (document.contains("defaults") || document.contains("exceptions"))
        return FileKind::Configuration;
    return FileKind::Unknown;
}

void report(PublishedFiles &files, const std::string &file, const Findings &findings)
{
    for (const Finding &finding : findings)
        files.findings.push_back({file, finding, std::nullopt});
}

/// Keeps the value of a kind that stands once in a set of files.
template <typename T>
void keepOnce(std::optional<PublishedFiles::Read<T>> &place, const std::string &file,
              std::optional<T> value, Findings &findings)
{
    if (!value)
        return;
    if (place)
        findings.push_back({"$", "holds the same as " + place->file + "; only one may be given"});
    else
        place = PublishedFiles::Read<T>{file, std::move(*value)};
}

void readConfigurationFile(PublishedFiles &files, const std::string &file, const std::string &text,
                           Findings &findings)
{
    keepOnce(files.configuration, file, readPolicySet(text, fileVersion, findings), findings);
}

void readPartitionFile(PublishedFiles &files, const std::string &file, const std::string &text,
                       Findings &findings)
{
    std::optional<PartitionMap> map = readPartitionMap(text, fileVersion, findings);
    if (!map)
        return;
    if (map->service.text() != fs::path(file).stem().string())
        findings.push_back({"$.service", "is \"" + map->service.text()
                                             + "\", but the file is named for another service"});
    files.partitions.push_back({file, std::move(*map)});
}

void readDaemonFile(PublishedFiles &files, const std::string &file, const std::string &text,
                    Findings &findings)
{
    std::optional<DaemonSettings> settings = readDaemonSettings(text, findings);
    if (settings)
        files.daemons.push_back({file, std::move(*settings)});
}

void readOperatorFile(PublishedFiles &files, const std::string &file, const std::string &text,
                      const DocumentReading &reading, Findings &findings)
{
    if (checkJson(text, findings))
        keepOnce(files.operatorDocument, file, reading.format->read(text, reading.facts, findings),
                 findings);
}

void readText(PublishedFiles &files, const std::string &file, const std::string &text,
              const DocumentReading &reading)
{
    Findings findings;
    files.texts[file] = text;
    switch (kindOf(text, reading)) {
    case FileKind::Configuration:
        readConfigurationFile(files, file, text, findings);
        break;
    case FileKind::Instances:
        keepOnce(files.instances, file, readInstanceList(text, fileVersion, findings), findings);
        break;
    case FileKind::Services:
        keepOnce(files.services, file, readServiceNames(text, findings), findings);
        break;
    case FileKind::Partitions:
        readPartitionFile(files, file, text, findings);
        break;
    case FileKind::Daemon:
        readDaemonFile(files, file, text, findings);
        break;
    case FileKind::Gateway:
        static_cast<void>(readGatewaySettings(text, findings));
        break;
    case FileKind::Operator:
        readOperatorFile(files, file, text, reading, findings);
        break;
    case FileKind::Unknown:
        checkJson(text, findings);
        findings.push_back({"$", "is no configuration, list of instances, list of services, "
                                 "partition map, daemon's or gateway's settings file"});
        break;
    }
    report(files, file, findings);
    ++files.fileCount;
}

/// All JSON files below a folder in order of name, or the path itself.
std::vector<std::string> filesAt(const std::string &path)
{
    std::error_code error;
    if (!fs::is_directory(path, error))
        return {path};
    std::vector<std::string> found;
    for (const fs::directory_entry &entry : fs::recursive_directory_iterator(path, error)) {
        if (entry.is_regular_file() && entry.path().extension() == ".json")
            found.push_back(entry.path().string());
    }
    std::ranges::sort(found);
    return found;
}

} // namespace

std::optional<std::string> readFile(const std::string &path, Reason &reason)
{
    std::ifstream stream(path, std::ios::binary);
    std::string text(maximumFileBytes, '\0');
    stream.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (!stream.is_open() || stream.bad()) {
        reason.set(ErrorKind::BadRequest, path + ": can not be read");
        return std::nullopt;
    }
    text.resize(static_cast<std::size_t>(stream.gcount()));
    return text;
}

std::optional<PublishedFiles> readPublishedFiles(const std::vector<std::string> &paths,
                                                 Reason &reason, const DocumentReading &reading)
{
    PublishedFiles files;
    for (const std::string &path : paths) {
        for (const std::string &file : filesAt(path)) {
            const std::optional<std::string> text = readFile(file, reason);
            if (!text)
                return std::nullopt;
            readText(files, file, *text, reading);
        }
    }
    if (files.fileCount == 0) {
        reason.set(ErrorKind::BadRequest, "no .json file at the given paths");
        return std::nullopt;
    }
    return files;
}

void locateFindings(PublishedFiles &files)
{
    for (FileFinding &entry : files.findings) {
        const auto text = files.texts.find(entry.file);
        if (text != files.texts.end())
            entry.position = positionOf(text->second, entry.finding.path);
    }
}

} // namespace oleander
