#pragma once

#include <oleander/core/Policy.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace oleander {

/// How narrow the subject of an exception may be that changes a field.
enum class FieldScope {
    /// All members of a subject.
    Any,
    /// Backend and service only: every daemon must come to the same value.
    Service,
    /// Backend only: the value is reported for a backend as a whole.
    Backend,
};

/// The member of Policy that a field stands for.
using PolicyMember =
    std::variant<Duration Policy::*, int Policy::*, std::size_t Policy::*, PerMille Policy::*,
                 bool Policy::*, Patience Policy::*, std::vector<CallerId> Policy::*>;

/// One value that a default or an exception may set.
///
/// The table of fields is the only place that knows JSON names, units and ranges; the parser,
/// `check`, `diff`, `explain` and the operators' page are made from it.
struct PolicyField
{
    /// Name in JSON, ending with the unit where there is one.
    std::string_view name;
    /// Unit of the value in JSON, for messages.
    std::string_view unit;
    /// Smallest and largest value in that unit; without meaning for fields that hold no number.
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
    FieldScope scope = FieldScope::Any;
    /// One line for the operator.
    std::string_view meaning;
    PolicyMember member;
};

/// All fields, in the order in which they are shown.
std::span<const PolicyField> allPolicyFields();

/// The field with this JSON name, or null.
const PolicyField *policyFieldNamed(std::string_view name);

/// Copies one field's value.
void copyField(const PolicyField &field, const Policy &from, Policy &to);

/// Whether two policies agree in one field.
bool isEqualIn(const PolicyField &field, const Policy &left, const Policy &right);

/// The field's value as JSON text, in the field's unit.
std::string valueText(const PolicyField &field, const Policy &policy);

/// Microseconds in the unit of a duration field; 1 for every other field.
std::int64_t microsecondsInUnit(const PolicyField &field);

} // namespace oleander
