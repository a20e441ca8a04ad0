#include <oleander/settings/PolicyFields.h>
#include <oleander/settings/PolicyFor.h>
#include <oleander/settings/PolicySetParser.h>
#include <oleander/settings/Subjects.h>

#include <algorithm>
#include <array>

namespace oleander {

namespace {

/// A value that must not be larger than another one, for any subject.
struct OrderRule
{
    std::string_view smaller;
    Duration Policy::*smallerMember;
    std::string_view larger;
    Duration Policy::*largerMember;
};

constexpr std::array orderRules{
    OrderRule{"defaultDeadlineMs", &Policy::defaultDeadline, "maximumDeadlineMs",
              &Policy::maximumDeadline},
    OrderRule{"tailLimitMs", &Policy::tailLimit, "maximumDeadlineMs", &Policy::maximumDeadline},
    OrderRule{"queueLimitMs", &Policy::queueLimit, "maximumDeadlineMs", &Policy::maximumDeadline},
    OrderRule{"latencyObjectiveMs", &Policy::latencyObjective, "maximumDeadlineMs",
              &Policy::maximumDeadline},
    OrderRule{"hedgeDelayMinimumUs", &Policy::hedgeDelayMinimum, "maximumDeadlineMs",
              &Policy::maximumDeadline},
};

bool isSetBy(const PolicyException &exception, std::string_view field)
{
    return std::ranges::find(exception.fields, field) != exception.fields.end();
}

bool isInSomeRule(const PolicyException &exception)
{
    return std::ranges::any_of(orderRules, [&](const OrderRule &rule) {
        return isSetBy(exception, rule.smaller) || isSetBy(exception, rule.larger);
    });
}

std::string withUnit(std::string_view name, const Policy &policy)
{
    const PolicyField &field = *policyFieldNamed(name);
    return std::string(name) + " " + valueText(field, policy) + " (" + std::string(field.unit)
           + ")";
}

void checkOrder(const Policy &policy, const std::string &path, const std::string &where,
                Findings &findings)
{
    for (const OrderRule &rule : orderRules) {
        if (policy.*rule.smallerMember <= policy.*rule.largerMember)
            continue;
        Finding finding{path, withUnit(rule.smaller, policy) + " must not be larger than "
                                  + withUnit(rule.larger, policy) + " " + where};
        if (std::ranges::find(findings, finding) == findings.end())
            findings.push_back(std::move(finding));
    }
}

void checkPair(const PolicySet &set, std::size_t earlier, std::size_t later, Findings &findings)
{
    const PolicyException &first = set.exceptions[earlier];
    const PolicyException &second = set.exceptions[later];
    const std::optional<Subject> subject = commonSubject(first.covers, second.covers);
    if (!subject)
        return;
    const std::string path = "$.exceptions[" + std::to_string(later) + "]";
    const std::string where = earlier == later ? "where exception \"" + second.name + "\" applies"
                                               : "where exceptions \"" + first.name + "\" and \""
                                                     + second.name + "\" meet";
    checkOrder(policyFor(set, *subject), path, where, findings);
}

} // namespace

/// A rule joins two values, each of which comes from the defaults or from the last exception that
/// sets it. So every contradiction that a subject can meet shows at the defaults, at one exception
/// or at the widest subject that two exceptions have in common.
void checkAcrossFields(const PolicySet &set, Findings &findings)
{
    const std::size_t before = findings.size();
    checkOrder(set.defaults, "$.defaults", "in the defaults", findings);
    if (findings.size() != before)
        return;
    std::vector<std::size_t> concerned;
    for (std::size_t index = 0; index < set.exceptions.size(); ++index) {
        if (isInSomeRule(set.exceptions[index]))
            concerned.push_back(index);
    }
    for (const std::size_t index : concerned)
        checkPair(set, index, index, findings);
    if (findings.size() != before)
        return;
    for (const std::size_t later : concerned) {
        for (const std::size_t earlier : concerned) {
            if (earlier < later)
                checkPair(set, earlier, later, findings);
        }
    }
}

} // namespace oleander
