#include <oleander/settings/Subjects.h>

namespace oleander {

namespace {

/// Joins one member of two subjects; false when both name different things.
template <typename Id>
bool join(Id &into, const Id &other)
{
    if (into.isEmpty())
        into = other;
    return other.isEmpty() || into == other;
}

} // namespace

std::optional<Subject> commonSubject(const Subject &left, const Subject &right)
{
    Subject common = left;
    const bool isCommon = join(common.backend, right.backend) && join(common.service, right.service)
                          && join(common.caller, right.caller)
                          && join(common.dataCentre, right.dataCentre)
                          && join(common.instance, right.instance);
    if (!isCommon)
        return std::nullopt;
    return common;
}

} // namespace oleander
