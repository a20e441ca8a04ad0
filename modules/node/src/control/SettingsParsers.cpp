#include <oleander/node/SettingsParsers.h>
#include <oleander/settings/InstanceListParser.h>
#include <oleander/settings/PartitionMapParser.h>
#include <oleander/settings/PolicySetParser.h>

namespace oleander {

SectionParsers settingsParsers()
{
    SectionParsers parsers;
    parsers.policySet = parsePolicySet;
    parsers.instanceList = parseInstanceList;
    parsers.serviceNames = [](std::string_view text, SectionVersion, Reason &reason) {
        return parseServiceNames(text, reason);
    };
    parsers.partitionMap = parsePartitionMap;
    return parsers;
}

} // namespace oleander
