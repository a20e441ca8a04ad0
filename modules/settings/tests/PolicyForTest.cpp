#include <oleander/settings/PolicyFields.h>
#include <oleander/settings/PolicyFor.h>
#include <oleander/settings/PolicySetParser.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <fstream>
#include <set>
#include <sstream>

using namespace oleander;

namespace {

PolicyException exceptionFor(const Subject &covers, Duration tailLimit)
{
    PolicyException exception;
    exception.covers = covers;
    exception.values.tailLimit = tailLimit;
    exception.fields = {"tailLimitMs"};
    return exception;
}

/// A member of a subject that is often empty and often equal to another one.
template <typename Id>
Id anyId()
{
    return Id(*rc::gen::element(std::string(), std::string("a"), std::string("b")));
}

Subject anySubject()
{
    return {anyId<BackendId>(), anyId<ServiceId>(), anyId<CallerId>(), anyId<DataCentreId>(),
            anyId<InstanceId>()};
}

} // namespace

TEST(PolicyFor, LaterExceptionsGoBeforeEarlierOnes)
{
    Subject covers;
    covers.backend = BackendId("b");
    PolicySet set;
    set.exceptions = {exceptionFor(covers, milliseconds(1)), exceptionFor(covers, milliseconds(2))};
    EXPECT_EQ(policyFor(set, covers).tailLimit, milliseconds(2));
    EXPECT_EQ(policyFor(set, {}).tailLimit, set.defaults.tailLimit);
}

RC_GTEST_PROP(PolicyFor, TheLastCoveringExceptionDecides, ())
{
    PolicySet set;
    const int count = *rc::gen::inRange(0, 8);
    for (int index = 0; index < count; ++index)
        set.exceptions.push_back(exceptionFor(anySubject(), milliseconds(index + 1)));
    const Subject subject = anySubject();
    Duration expected = set.defaults.tailLimit;
    for (const PolicyException &exception : set.exceptions) {
        const Subject &covers = exception.covers;
        const bool isMatch =
            (covers.backend.isEmpty() || covers.backend == subject.backend)
            && (covers.service.isEmpty() || covers.service == subject.service)
            && (covers.caller.isEmpty() || covers.caller == subject.caller)
            && (covers.dataCentre.isEmpty() || covers.dataCentre == subject.dataCentre)
            && (covers.instance.isEmpty() || covers.instance == subject.instance);
        if (isMatch)
            expected = exception.values.tailLimit;
    }
    RC_ASSERT(policyFor(set, subject).tailLimit == expected);
}

TEST(PolicyFields, EveryNameIsUniqueAndEveryDefaultIsInRange)
{
    std::set<std::string_view> names;
    std::string values;
    for (const PolicyField &field : allPolicyFields()) {
        EXPECT_TRUE(names.insert(field.name).second) << field.name;
        EXPECT_EQ(policyFieldNamed(field.name), &field);
        values += values.empty() ? "" : ", ";
        values += "\"" + std::string(field.name) + "\": " + valueText(field, Policy{});
    }
    Reason reason;
    const auto set = parsePolicySet(R"({"fleet": "f", "defaults": {)" + values + "}}",
                                    SectionVersion(1), reason);
    ASSERT_TRUE(set) << reason.text;
    EXPECT_EQ(set->defaults, Policy{});
}

TEST(PolicyFields, TheTableNamesEveryMemberOfThePolicyOnce)
{
    for (const PolicyField &left : allPolicyFields()) {
        for (const PolicyField &right : allPolicyFields()) {
            if (left.name != right.name) {
                EXPECT_NE(left.member, right.member) << left.name << " " << right.name;
            }
        }
    }
}

TEST(PolicyFields, TheOperatorsPageShowsTheTable)
{
    std::ifstream file(OLEANDER_SOURCE_DIR "/docs/operators.md");
    std::stringstream text;
    text << file.rdbuf();
    for (const PolicyField &field : allPolicyFields()) {
        std::string row =
            "| `" + std::string(field.name) + "` | " + std::string(field.unit) + " | ";
        if (field.maximum > 1 && field.name != "urgentCallers")
            row += std::to_string(field.minimum) + " to " + std::to_string(field.maximum) + " | "
                   + valueText(field, Policy{}) + " | ";
        EXPECT_NE(text.str().find(row), std::string::npos) << row;
        EXPECT_NE(text.str().find("| " + std::string(field.meaning) + " |"), std::string::npos);
    }
}
