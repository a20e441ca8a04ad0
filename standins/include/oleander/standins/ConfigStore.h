#pragma once

#include <oleander/core/Ids.h>
#include <oleander/core/Reason.h>

#include <map>
#include <optional>
#include <string>

namespace oleander::standins {

/// One published value and the one before it, which a stale service serves.
struct ConfigValue
{
    SectionVersion version;
    std::string body;
    SectionVersion previousVersion;
    std::string previousBody;
};

/// The keys of the configuration service, by name.
struct ConfigStore
{
    std::map<std::string, ConfigValue> values;
};

/// Sets a key and raises its version.
void putValue(ConfigStore &store, const std::string &key, std::string body);

/// Puts each file of the folder whose text differs from the held value: config.json,
/// instances.json, services.json and partitions/<service>.json. Returns how many changed.
std::optional<int> loadFolder(ConfigStore &store, const std::string &folder, Reason &reason);

/// The value to serve; the previous one when the service is stale and there is one.
std::optional<std::pair<SectionVersion, std::string>>
servedValue(const ConfigStore &store, const std::string &key, bool isStale);

} // namespace oleander::standins
