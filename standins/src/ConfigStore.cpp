#include <oleander/standins/ConfigStore.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace oleander::standins {

namespace {

namespace fs = std::filesystem;

std::string contentOf(const fs::path &path)
{
    const std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

bool putFile(ConfigStore &store, const std::string &key, const fs::path &path)
{
    auto body = contentOf(path);
    const auto held = store.values.find(key);
    if (held != store.values.end() && held->second.body == body)
        return false;
    putValue(store, key, std::move(body));
    return true;
}

} // namespace

void putValue(ConfigStore &store, const std::string &key, std::string body)
{
    auto &value = store.values[key];
    value.previousVersion = value.version;
    value.previousBody = std::move(value.body);
    value.version = SectionVersion(value.version.value() + 1);
    value.body = std::move(body);
}

std::optional<int> loadFolder(ConfigStore &store, const std::string &folder, Reason &reason)
{
    int changed = 0;
    for (const std::string key : {"config", "instances", "services"}) {
        const auto path = fs::path(folder) / (key + ".json");
        if (!fs::is_regular_file(path)) {
            reason.set(ErrorKind::BadRequest, path.string() + ": no such file");
            return std::nullopt;
        }
        changed += putFile(store, key, path) ? 1 : 0;
    }
    std::error_code error;
    for (const auto &entry : fs::directory_iterator(fs::path(folder) / "partitions", error)) {
        if (entry.path().extension() == ".json")
            changed += putFile(store, "partitions/" + entry.path().stem().string(), entry.path());
    }
    return changed;
}

std::optional<std::pair<SectionVersion, std::string>>
servedValue(const ConfigStore &store, const std::string &key, bool isStale)
{
    const auto found = store.values.find(key);
    if (found == store.values.end())
        return std::nullopt;
    const auto &value = found->second;
    if (isStale && !value.previousVersion.isNone())
        return std::pair(value.previousVersion, value.previousBody);
    return std::pair(value.version, value.body);
}

} // namespace oleander::standins
