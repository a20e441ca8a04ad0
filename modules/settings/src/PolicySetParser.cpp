#include "JsonText.h"
#include "ObjectReader.h"

#include <oleander/core/Query.h>
#include <oleander/settings/PolicyFields.h>
#include <oleander/settings/PolicySetParser.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace oleander {

namespace {

using nlohmann::json;

constexpr std::size_t maximumExceptions = 256;
constexpr std::size_t maximumReasonBytes = 1000;

/// Puts a JSON value into one member of a policy. False after a fault was reported.
class ValueReader
{
public:
    ValueReader(const PolicyField &field, const json &value, std::string path, Policy &policy,
                Findings &findings)
        : m_field(field)
        , m_value(value)
        , m_path(std::move(path))
        , m_policy(policy)
        , m_findings(findings)
    {
    }

    bool operator()(Duration Policy::*member)
    {
        const auto value = number();
        if (value)
            m_policy.*member = Duration(*value * microsecondsInUnit(m_field));
        return value.has_value();
    }

    bool operator()(int Policy::*member)
    {
        const auto value = number();
        if (value)
            m_policy.*member = static_cast<int>(*value);
        return value.has_value();
    }

    bool operator()(std::size_t Policy::*member)
    {
        const auto value = number();
        if (value)
            m_policy.*member = static_cast<std::size_t>(*value);
        return value.has_value();
    }

    bool operator()(PerMille Policy::*member)
    {
        const auto value = number();
        if (value)
            m_policy.*member = PerMille{static_cast<std::uint32_t>(*value)};
        return value.has_value();
    }

    bool operator()(bool Policy::*member)
    {
        if (!m_value.is_boolean())
            return refuse();
        m_policy.*member = m_value.get<bool>();
        return true;
    }

    bool operator()(Patience Policy::*member)
    {
        if (!m_value.is_string())
            return refuse();
        const std::optional<Patience> patience = patienceNamed(m_value.get<std::string>());
        if (!patience)
            return refuse();
        m_policy.*member = *patience;
        return true;
    }

    bool operator()(std::vector<CallerId> Policy::*member)
    {
        const auto maximum = static_cast<std::size_t>(m_field.maximum);
        if (!m_value.is_array() || m_value.size() > maximum)
            return refuse();
        std::vector<CallerId> callers;
        for (const json &element : m_value) {
            if (!element.is_string() || !isName(element.get<std::string>()))
                return refuse();
            callers.emplace_back(element.get<std::string>());
        }
        m_policy.*member = std::move(callers);
        return true;
    }

private:
    std::optional<std::int64_t> number()
    {
        return integerIn(m_value, {m_field.minimum, m_field.maximum, m_field.unit}, m_path,
                         m_findings);
    }

    bool refuse()
    {
        m_findings.push_back({m_path, "must be " + std::string(m_field.unit) + ", not "
                                          + std::string(typeText(m_value))});
        return false;
    }

    const PolicyField &m_field;
    const json &m_value;
    std::string m_path;
    Policy &m_policy;
    Findings &m_findings;
};

/// Reads an object of policy values; returns the names of the fields that it sets.
std::vector<std::string> readValues(const json &values, const std::string &path, Policy &policy,
                                    Findings &findings)
{
    std::vector<std::string> fields;
    for (const auto &[key, value] : values.items()) {
        const std::string valuePath = memberPath(path, key);
        const PolicyField *field = policyFieldNamed(key);
        if (!field) {
            findings.push_back({valuePath, "is not a known value"});
            continue;
        }
        if (std::visit(ValueReader(*field, value, valuePath, policy, findings), field->member))
            fields.push_back(key);
    }
    return fields;
}

Subject readSubject(const json &covers, const std::string &path, Findings &findings)
{
    ObjectReader reader(covers, path, findings);
    Subject subject;
    subject.backend = reader.id<BackendId>("backend", Presence::Optional);
    subject.service = reader.id<ServiceId>("service", Presence::Optional);
    subject.caller = reader.id<CallerId>("caller", Presence::Optional);
    subject.dataCentre = reader.id<DataCentreId>("dataCentre", Presence::Optional);
    subject.instance = reader.id<InstanceId>("instance", Presence::Optional);
    reader.finish();
    if (covers.empty())
        findings.push_back({path, "covers everything; such values belong in the defaults"});
    return subject;
}

bool isBlank(std::string_view text)
{
    return text.find_first_not_of(" \t\r\n") == std::string_view::npos;
}

std::string readReason(ObjectReader &reader)
{
    const std::optional<std::string> text = reader.string("reason", Presence::Required);
    if (!text)
        return {};
    if (isBlank(*text))
        reader.report("reason", "must say why the exception stands; it is blank");
    if (text->size() > maximumReasonBytes)
        reader.report("reason", "must have at most " + std::to_string(maximumReasonBytes)
                                    + " bytes, not " + std::to_string(text->size()));
    return *text;
}

bool isScopeKept(FieldScope scope, const Subject &covers)
{
    const bool isNarrow =
        !covers.caller.isEmpty() || !covers.dataCentre.isEmpty() || !covers.instance.isEmpty();
    if (scope == FieldScope::Service)
        return !isNarrow;
    if (scope == FieldScope::Backend)
        return !isNarrow && covers.service.isEmpty();
    return true;
}

void checkScopes(const PolicyException &exception, const std::string &path, Findings &findings)
{
    for (const std::string &name : exception.fields) {
        const FieldScope scope = policyFieldNamed(name)->scope;
        if (isScopeKept(scope, exception.covers))
            continue;
        const std::string allowed =
            scope == FieldScope::Backend ? "a backend" : "a backend or a service";
        findings.push_back({memberPath(path, "values." + name),
                            "may only be changed for " + allowed
                                + ", since every daemon must come to the same value"});
    }
}

PolicyException readException(const json &value, const std::string &path, const Policy &defaults,
                              Findings &findings)
{
    ObjectReader reader(value, path, findings);
    PolicyException exception;
    exception.values = defaults;
    exception.name = reader.name("name", Presence::Required);
    exception.reason = readReason(reader);
    if (const json *covers = reader.object("covers", Presence::Required))
        exception.covers = readSubject(*covers, reader.pathOf("covers"), findings);
    if (const json *values = reader.object("values", Presence::Required)) {
        exception.fields = readValues(*values, reader.pathOf("values"), exception.values, findings);
        if (values->empty())
            reader.report("values", "must change at least one value");
    }
    reader.finish();
    checkScopes(exception, path, findings);
    return exception;
}

/// Two exceptions with one name, or with one subject and a value that both change.
void checkConflict(const PolicyException &earlier, const PolicyException &later,
                   const std::string &path, Findings &findings)
{
    if (!later.name.empty() && earlier.name == later.name)
        findings.push_back({memberPath(path, "name"),
                            "\"" + later.name + "\" is the name of an earlier exception"});
    if (earlier.covers != later.covers)
        return;
    for (const std::string &field : later.fields) {
        if (std::ranges::find(earlier.fields, field) != earlier.fields.end())
            findings.push_back({memberPath(path, "values." + field),
                                "conflicts with exception \"" + earlier.name
                                    + "\", which covers the same and sets the same value"});
    }
}

void readExceptions(const json &list, const std::string &path, PolicySet &set, Findings &findings)
{
    for (std::size_t index = 0; index < list.size(); ++index) {
        const std::string exceptionPath = elementPath(path, index);
        PolicyException exception =
            readException(list[index], exceptionPath, set.defaults, findings);
        for (const PolicyException &earlier : set.exceptions)
            checkConflict(earlier, exception, exceptionPath, findings);
        set.exceptions.push_back(std::move(exception));
    }
}

} // namespace

std::optional<PolicySet> readPolicySet(std::string_view text, SectionVersion version,
                                       Findings &findings)
{
    const std::size_t before = findings.size();
    const std::optional<json> document = readJson(text, findings);
    if (!document)
        return std::nullopt;
    ObjectReader reader(*document, "$", findings);
    PolicySet set;
    set.version = version;
    set.fleet = reader.id<FleetId>("fleet");
    if (const json *defaults = reader.object("defaults", Presence::Required))
        readValues(*defaults, reader.pathOf("defaults"), set.defaults, findings);
    const json *exceptions = reader.list("exceptions", 0, maximumExceptions, Presence::Optional);
    if (exceptions)
        readExceptions(*exceptions, reader.pathOf("exceptions"), set, findings);
    reader.finish();
    if (findings.size() == before)
        checkAcrossFields(set, findings);
    if (findings.size() != before)
        return std::nullopt;
    return set;
}

std::optional<PolicySet> parsePolicySet(std::string_view text, SectionVersion version,
                                        Reason &reason)
{
    Findings findings;
    std::optional<PolicySet> set = readPolicySet(text, version, findings);
    setReason(findings, reason);
    return set;
}

} // namespace oleander
