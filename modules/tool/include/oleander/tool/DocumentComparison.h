#pragma once

#include <oleander/tool/OperatorFormat.h>

#include <nlohmann/json_fwd.hpp>

#include <ostream>
#include <string>
#include <vector>

namespace oleander {

/// One field that differs. A side is empty where it does not have the entry or the field.
struct ChangedField
{
    std::string entry;
    std::string field;
    std::string before;
    std::string after;

    bool operator==(const ChangedField &) const = default;
};

/// Compares two documents by what they mean: neither the order of entries nor whether a default is
/// written out makes a difference. In order of entry and field.
std::vector<ChangedField> compareDocuments(const OperatorDocument &before,
                                           const OperatorDocument &after);

/// A table, or a line that nothing changes.
void writeChanges(const std::vector<ChangedField> &changes, std::ostream &out);
nlohmann::json changesJson(const std::vector<ChangedField> &changes);

} // namespace oleander
