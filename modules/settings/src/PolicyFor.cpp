#include <oleander/settings/PolicyFields.h>
#include <oleander/settings/PolicyFor.h>

#include <cassert>

namespace oleander {

namespace {

template <typename Id>
bool matches(const Id &covered, const Id &asked)
{
    return covered.isEmpty() || covered == asked;
}

} // namespace

bool isCovered(const Subject &covers, const Subject &subject)
{
    return matches(covers.backend, subject.backend) && matches(covers.service, subject.service)
           && matches(covers.caller, subject.caller)
           && matches(covers.dataCentre, subject.dataCentre)
           && matches(covers.instance, subject.instance);
}

Policy policyFor(const PolicySet &set, const Subject &subject)
{
    Policy policy = set.defaults;
    for (const PolicyException &exception : set.exceptions) {
        if (!isCovered(exception.covers, subject))
            continue;
        for (const std::string &name : exception.fields) {
            const PolicyField *field = policyFieldNamed(name);
            // The set was not made by parsePolicySet(): it names a field that does not exist.
            assert(field != nullptr);
            copyField(*field, exception.values, policy);
        }
    }
    return policy;
}

} // namespace oleander
