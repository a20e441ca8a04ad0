#include "commands/TextTable.h"

#include <oleander/tool/DocumentComparison.h>

#include <nlohmann/json.hpp>

namespace oleander {

namespace {

using nlohmann::json;
using FieldKey = std::pair<std::string, std::string>;
using Fields = std::map<FieldKey, std::string>;

Fields fieldsOf(const OperatorDocument &document)
{
    Fields fields;
    for (const DocumentEntry &entry : document.entries) {
        for (const auto &[field, value] : entry.values)
            fields.insert_or_assign({entry.name, field}, value);
    }
    return fields;
}

json valueJson(const std::string &text)
{
    return text.empty() ? json() : json::parse(text, nullptr, false);
}

} // namespace

std::vector<ChangedField> compareDocuments(const OperatorDocument &before,
                                           const OperatorDocument &after)
{
    const Fields old = fieldsOf(before);
    const Fields fresh = fieldsOf(after);
    std::map<FieldKey, ChangedField> changes;
    for (const auto &[key, value] : old) {
        const auto found = fresh.find(key);
        if (found == fresh.end() || found->second != value)
            changes[key] = {key.first, key.second, value,
                            found == fresh.end() ? "" : found->second};
    }
    for (const auto &[key, value] : fresh) {
        if (!old.contains(key))
            changes[key] = {key.first, key.second, "", value};
    }
    std::vector<ChangedField> result;
    result.reserve(changes.size());
    for (auto &[key, change] : changes)
        result.push_back(std::move(change));
    return result;
}

void writeChanges(const std::vector<ChangedField> &changes, std::ostream &out)
{
    if (changes.empty()) {
        out << "nothing changes\n";
        return;
    }
    std::vector<std::vector<std::string>> rows{{"ENTRY", "FIELD", "OLD", "NEW"}};
    rows.reserve(changes.size() + 1);
    for (const ChangedField &change : changes)
        rows.push_back({change.entry, change.field, change.before.empty() ? "-" : change.before,
                        change.after.empty() ? "-" : change.after});
    writeTable(out, rows);
}

json changesJson(const std::vector<ChangedField> &changes)
{
    json list = json::array();
    for (const ChangedField &change : changes) {
        list.push_back({{"entry", change.entry},
                        {"field", change.field},
                        {"old", valueJson(change.before)},
                        {"new", valueJson(change.after)}});
    }
    return list;
}

} // namespace oleander
