#include <oleander/settings/PartitionMapParser.h>
#include <oleander/settings/PolicyFor.h>
#include <oleander/tool/PublishedFiles.h>

#include <algorithm>
#include <set>

namespace oleander {

namespace {

void report(PublishedFiles &files, const std::string &file, std::string path, std::string text)
{
    files.findings.push_back({file, {std::move(path), std::move(text)}, std::nullopt});
}

void checkServices(PublishedFiles &files)
{
    std::set<ServiceId> mapped;
    for (const auto &map : files.partitions) {
        if (!mapped.insert(map.value.service).second)
            report(files, map.file, "$.service", "another file maps the same service");
    }
    if (!files.services)
        return;
    const std::vector<ServiceId> &listed = files.services->value;
    for (const ServiceId &service : listed) {
        if (!mapped.contains(service))
            report(files, files.services->file, "$.services",
                   "\"" + service.text() + "\" has no partition map");
    }
    for (const auto &map : files.partitions) {
        if (std::ranges::find(listed, map.value.service) == listed.end())
            report(files, map.file, "$.service",
                   "\"" + map.value.service.text() + "\" is not in the list of services");
    }
}

/// Names that exceptions may use; an empty set means that no part given tells.
struct KnownNames
{
    std::set<BackendId> backends;
    std::set<ServiceId> services;
    std::set<DataCentreId> dataCentres;
    std::set<InstanceId> instances;
};

KnownNames knownNames(const PublishedFiles &files)
{
    KnownNames names;
    for (const auto &map : files.partitions) {
        names.backends.insert(map.value.backend);
        names.services.insert(map.value.service);
    }
    if (!files.instances)
        return names;
    for (const Instance &instance : files.instances->value.instances) {
        names.instances.insert(instance.id);
        names.dataCentres.insert(instance.dataCentre);
    }
    return names;
}

template <typename Id>
void checkName(PublishedFiles &files, const Id &id, const std::set<Id> &known,
               const std::string &path, std::string_view kind)
{
    if (id.isEmpty() || known.empty() || known.contains(id))
        return;
    report(files, files.configuration->file, path,
           "no " + std::string(kind) + " \"" + id.text() + "\" is published");
}

void checkCoveredNames(PublishedFiles &files)
{
    const KnownNames names = knownNames(files);
    const std::vector<PolicyException> &exceptions = files.configuration->value.exceptions;
    for (std::size_t index = 0; index < exceptions.size(); ++index) {
        const Subject &covers = exceptions[index].covers;
        const std::string path = "$.exceptions[" + std::to_string(index) + "].covers.";
        checkName(files, covers.backend, names.backends, path + "backend", "backend");
        checkName(files, covers.service, names.services, path + "service", "service");
        checkName(files, covers.dataCentre, names.dataCentres, path + "dataCentre", "data centre");
        checkName(files, covers.instance, names.instances, path + "instance", "instance");
    }
}

/// Names that are published, but not together.
void checkEmptyCovers(PublishedFiles &files)
{
    const std::vector<PolicyException> &exceptions = files.configuration->value.exceptions;
    for (std::size_t index = 0; index < exceptions.size(); ++index) {
        const Subject &covers = exceptions[index].covers;
        const std::string path = "$.exceptions[" + std::to_string(index) + "].covers";
        const auto map = std::ranges::find_if(files.partitions, [&](const auto &entry) {
            return entry.value.service == covers.service;
        });
        if (!covers.backend.isEmpty() && map != files.partitions.end()
            && map->value.backend != covers.backend)
            report(files, files.configuration->file, path,
                   "covers nothing: service \"" + covers.service.text() + "\" belongs to backend \""
                       + map->value.backend.text() + "\"");
        if (!files.instances || covers.dataCentre.isEmpty())
            continue;
        const std::vector<Instance> &instances = files.instances->value.instances;
        const auto instance = std::ranges::find(instances, covers.instance, &Instance::id);
        if (instance != instances.end() && instance->dataCentre != covers.dataCentre)
            report(files, files.configuration->file, path,
                   "covers nothing: instance \"" + covers.instance.text()
                       + "\" is in data centre \"" + instance->dataCentre.text() + "\"");
    }
}

/// Whether later exceptions that cover at least as much set the field.
bool isOverruled(const std::vector<PolicyException> &exceptions, std::size_t index,
                 const std::string &field)
{
    return std::any_of(exceptions.begin() + static_cast<std::ptrdiff_t>(index) + 1,
                       exceptions.end(), [&](const PolicyException &later) {
                           return isCovered(later.covers, exceptions[index].covers)
                                  && std::ranges::find(later.fields, field) != later.fields.end();
                       });
}

void checkOverruled(PublishedFiles &files)
{
    const std::vector<PolicyException> &exceptions = files.configuration->value.exceptions;
    for (std::size_t index = 0; index < exceptions.size(); ++index) {
        const std::vector<std::string> &fields = exceptions[index].fields;
        const bool isNeverInForce =
            !fields.empty() && std::ranges::all_of(fields, [&](const std::string &field) {
                return isOverruled(exceptions, index, field);
            });
        if (isNeverInForce)
            report(files, files.configuration->file, "$.exceptions[" + std::to_string(index) + "]",
                   "is never in force: later exceptions cover at least as much and set all its "
                   "values");
    }
}

void checkCaps(PublishedFiles &files)
{
    std::vector<PartitionMap> maps;
    for (const auto &map : files.partitions)
        maps.push_back(map.value);
    Findings findings;
    checkConnectionCaps(files.configuration->value, maps, findings);
    for (const Finding &finding : findings)
        report(files, files.configuration->file, finding.path, finding.text);
}

void checkCoordinators(PublishedFiles &files)
{
    const std::size_t count = files.instances->value.instances.size();
    for (const auto &map : files.partitions) {
        Subject subject;
        subject.backend = map.value.backend;
        subject.service = map.value.service;
        const int wanted = policyFor(files.configuration->value, subject).coordinators;
        if (static_cast<std::size_t>(wanted) > count)
            report(files, files.configuration->file, "coordinators",
                   "service \"" + map.value.service.text() + "\" wants " + std::to_string(wanted)
                       + " coordinators, but only " + std::to_string(count)
                       + " instances are listed");
    }
}

void checkDaemon(PublishedFiles &files, const PublishedFiles::Read<DaemonSettings> &daemon)
{
    const DaemonSettings &settings = daemon.value;
    if (files.configuration && files.configuration->value.fleet != settings.fleet)
        report(files, daemon.file, "$.fleet",
               "is \"" + settings.fleet.text() + "\", but the configuration is for \""
                   + files.configuration->value.fleet.text() + "\"");
    if (!files.instances)
        return;
    const std::vector<Instance> &instances = files.instances->value.instances;
    const auto listed = std::ranges::find(instances, settings.instance, &Instance::id);
    if (listed == instances.end()) {
        report(files, daemon.file, "$.instance", "is not in the list of instances");
        return;
    }
    if (listed->dataCentre != settings.dataCentre)
        report(files, daemon.file, "$.dataCentre", "differs from the list of instances");
    if (listed->peerAddress != settings.peerAddress)
        report(files, daemon.file, "$.peerAddress", "differs from the list of instances");
    if (listed->operatorAddress != settings.operatorAddress)
        report(files, daemon.file, "$.operatorAddress", "differs from the list of instances");
}

} // namespace

void checkTogether(PublishedFiles &files)
{
    checkServices(files);
    if (files.configuration) {
        checkCoveredNames(files);
        checkEmptyCovers(files);
        checkOverruled(files);
        checkCaps(files);
    }
    if (files.configuration && files.instances)
        checkCoordinators(files);
    for (const auto &daemon : files.daemons)
        checkDaemon(files, daemon);
}

} // namespace oleander
