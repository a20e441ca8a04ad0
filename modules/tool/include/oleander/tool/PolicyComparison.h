#pragma once

#include <oleander/core/Policy.h>
#include <oleander/settings/PolicyFields.h>

#include <string>
#include <vector>

namespace oleander {

/// One value in force for a subject, and where it comes from.
struct ExplainedValue
{
    const PolicyField *field = nullptr;
    /// As JSON text in the field's unit.
    std::string value;
    /// The exception that decides, or null for the defaults. Points into the explained set.
    const PolicyException *source = nullptr;
    /// Exceptions that cover the subject and set the value, but come before the one that decides.
    std::vector<const PolicyException *> overruled;
};

/// Every value in force for a subject, in the order of the table of fields.
std::vector<ExplainedValue> explainPolicy(const PolicySet &set, const Subject &subject);

/// One value that is in force differently after a change.
struct ChangedValue
{
    Subject subject;
    const PolicyField *field = nullptr;
    std::string before;
    std::string after;
};

/// What a change of the configuration touches.
struct PolicyComparison
{
    /// Subjects and values. A narrower subject is left out where it changes like a wider one.
    std::vector<ChangedValue> values;
    /// Names of exceptions that came, went, or stand for another reason than before.
    std::vector<std::string> added;
    std::vector<std::string> removed;
    std::vector<std::string> reworded;

    [[nodiscard]] bool isEmpty() const
    {
        return values.empty() && added.empty() && removed.empty() && reworded.empty();
    }
};

/// Compares what is in force before and after for the whole fleet, for each subject that an
/// exception of either names, and for what each two of them have in common.
PolicyComparison comparePolicies(const PolicySet &before, const PolicySet &after);

/// "backend photo-desk, caller live-desk", or "the whole fleet".
std::string subjectText(const Subject &subject);

} // namespace oleander
