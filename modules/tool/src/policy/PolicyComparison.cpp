#include <oleander/settings/PolicyFor.h>
#include <oleander/settings/Subjects.h>
#include <oleander/tool/PolicyComparison.h>

#include <algorithm>

namespace oleander {

namespace {

bool isSetBy(const PolicyException &exception, std::string_view field)
{
    return std::ranges::find(exception.fields, field) != exception.fields.end();
}

int namedMembers(const Subject &subject)
{
    return int{!subject.backend.isEmpty()} + int{!subject.service.isEmpty()}
           + int{!subject.caller.isEmpty()} + int{!subject.dataCentre.isEmpty()}
           + int{!subject.instance.isEmpty()};
}

void addSubject(std::vector<Subject> &subjects, const Subject &subject)
{
    if (std::ranges::find(subjects, subject) == subjects.end())
        subjects.push_back(subject);
}

/// The subjects to look at, widest first.
std::vector<Subject> subjectsOf(const PolicySet &before, const PolicySet &after)
{
    std::vector<Subject> covers;
    for (const PolicySet *set : {&before, &after}) {
        for (const PolicyException &exception : set->exceptions)
            addSubject(covers, exception.covers);
    }
    std::vector<Subject> subjects{Subject{}};
    for (const Subject &left : covers) {
        for (const Subject &right : covers) {
            if (const std::optional<Subject> common = commonSubject(left, right))
                addSubject(subjects, *common);
        }
    }
    std::ranges::stable_sort(subjects, {}, namedMembers);
    return subjects;
}

/// Whether a wider subject already shows the same change.
bool isShown(const std::vector<ChangedValue> &shown, const ChangedValue &change)
{
    return std::ranges::any_of(shown, [&](const ChangedValue &wider) {
        return wider.field == change.field && wider.before == change.before
               && wider.after == change.after && isCovered(wider.subject, change.subject);
    });
}

void compareFor(const Subject &subject, const PolicySet &before, const PolicySet &after,
                std::vector<ChangedValue> &changes)
{
    const Policy old = policyFor(before, subject);
    const Policy fresh = policyFor(after, subject);
    for (const PolicyField &field : allPolicyFields()) {
        if (isEqualIn(field, old, fresh))
            continue;
        ChangedValue change{subject, &field, valueText(field, old), valueText(field, fresh)};
        if (!isShown(changes, change))
            changes.push_back(std::move(change));
    }
}

const PolicyException *exceptionNamed(const PolicySet &set, const std::string &name)
{
    const auto found = std::ranges::find(set.exceptions, name, &PolicyException::name);
    return found == set.exceptions.end() ? nullptr : &*found;
}

void compareExceptions(const PolicySet &before, const PolicySet &after, PolicyComparison &result)
{
    for (const PolicyException &exception : after.exceptions) {
        const PolicyException *old = exceptionNamed(before, exception.name);
        if (!old)
            result.added.push_back(exception.name);
        else if (old->reason != exception.reason)
            result.reworded.push_back(exception.name);
    }
    for (const PolicyException &exception : before.exceptions) {
        if (!exceptionNamed(after, exception.name))
            result.removed.push_back(exception.name);
    }
}

template <typename Id>
void appendMember(std::string &text, std::string_view label, const Id &id)
{
    if (id.isEmpty())
        return;
    text += text.empty() ? "" : ", ";
    text += label;
    text += " " + id.text();
}

} // namespace

std::vector<ExplainedValue> explainPolicy(const PolicySet &set, const Subject &subject)
{
    const Policy policy = policyFor(set, subject);
    std::vector<ExplainedValue> values;
    for (const PolicyField &field : allPolicyFields()) {
        ExplainedValue value{&field, valueText(field, policy), nullptr, {}};
        for (const PolicyException &exception : set.exceptions) {
            if (!isCovered(exception.covers, subject) || !isSetBy(exception, field.name))
                continue;
            if (value.source)
                value.overruled.push_back(value.source);
            value.source = &exception;
        }
        values.push_back(std::move(value));
    }
    return values;
}

PolicyComparison comparePolicies(const PolicySet &before, const PolicySet &after)
{
    PolicyComparison result;
    for (const Subject &subject : subjectsOf(before, after))
        compareFor(subject, before, after, result.values);
    compareExceptions(before, after, result);
    return result;
}

std::string subjectText(const Subject &subject)
{
    std::string text;
    appendMember(text, "backend", subject.backend);
    appendMember(text, "service", subject.service);
    appendMember(text, "caller", subject.caller);
    appendMember(text, "data centre", subject.dataCentre);
    appendMember(text, "instance", subject.instance);
    return text.empty() ? "the whole fleet" : text;
}

} // namespace oleander
