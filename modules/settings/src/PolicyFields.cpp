#include <oleander/core/Query.h>
#include <oleander/settings/PolicyFields.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <map>

namespace oleander {

namespace {

constexpr std::string_view unitMilliseconds = "milliseconds";
constexpr std::string_view unitMicroseconds = "microseconds";
constexpr std::string_view unitSeconds = "seconds";
constexpr std::string_view unitBytes = "bytes";
constexpr std::string_view unitCount = "count";
constexpr std::string_view unitPerMille = "parts per thousand";
constexpr std::string_view unitBoolean = "true or false";
constexpr std::string_view unitPatience = "\"tail\" or \"coverage\"";
constexpr std::string_view unitCallers = "list of caller names";

constexpr auto anySubject = FieldScope::Any;
constexpr auto serviceOnly = FieldScope::Service;
constexpr auto backendOnly = FieldScope::Backend;

const std::array fieldTable{
    // Deadlines and sizes
    PolicyField{"defaultDeadlineMs", unitMilliseconds, 1, 600000, anySubject,
                "deadline of a query that names none", &Policy::defaultDeadline},
    PolicyField{"maximumDeadlineMs", unitMilliseconds, 1, 600000, anySubject,
                "longest deadline that a query may name", &Policy::maximumDeadline},
    PolicyField{"maximumPayloadBytes", unitBytes, 1, 1048576, anySubject,
                "largest payload of a query", &Policy::maximumPayloadBytes},
    PolicyField{"patience", unitPatience, 0, 0, anySubject,
                "whether to give up missing shards at the tail limit or wait for coverage",
                &Policy::patience},
    PolicyField{"tailLimitMs", unitMilliseconds, 1, 600000, anySubject,
                "with patience \"tail\", missing shards are given up after this",
                &Policy::tailLimit},

    // Connections
    PolicyField{"coordinators", unitCount, 1, 64, serviceOnly, "daemons that coordinate a service",
                &Policy::coordinators},
    PolicyField{"connectionsPerServer", unitCount, 1, 256, serviceOnly,
                "connections of one coordinator to one server", &Policy::connectionsPerServer},
    PolicyField{"connectionSharePerMille", unitPerMille, 1, 1000, serviceOnly,
                "part of a server's connection cap that the fleet uses in the steady state",
                &Policy::connectionShare},

    // Hedges and retries
    PolicyField{"hedging", unitBoolean, 0, 1, anySubject,
                "whether a slow idempotent sub-request is sent to a second replica",
                &Policy::hedging},
    PolicyField{"hedgeQuantilePerMille", unitPerMille, 500, 999, anySubject,
                "quantile of observed latency after which a sub-request is hedged",
                &Policy::hedgeQuantile},
    PolicyField{"hedgeDelayMinimumUs", unitMicroseconds, 100, 10000000, anySubject,
                "shortest wait before a hedge", &Policy::hedgeDelayMinimum},
    PolicyField{"extraLoadBudgetPerMille", unitPerMille, 0, 1000, anySubject,
                "hedges and retries for each thousand first sends", &Policy::extraLoadBudget},
    PolicyField{"maximumAttempts", unitCount, 1, 10, anySubject,
                "sends of one idempotent sub-request, the first included",
                &Policy::maximumAttempts},

    // Queues and fairness
    PolicyField{"queueLimitMs", unitMilliseconds, 1, 600000, anySubject,
                "longest wait for a slot in a coordinator's queue", &Policy::queueLimit},
    PolicyField{"pipelineDepth", unitCount, 0, 64, anySubject,
                "sub-requests sent beyond a server's slots", &Policy::pipelineDepth},
    PolicyField{"callerSharePerMille", unitPerMille, 1, 1000, anySubject,
                "part of a coordinator's capacity that one caller may take while others wait",
                &Policy::callerShare},
    PolicyField{"urgentCallers", unitCallers, 0, 1000, anySubject,
                "callers that may send urgent queries; empty means all", &Policy::urgentCallers},

    // Requests that crash servers
    PolicyField{"canary", unitBoolean, 0, 1, anySubject,
                "whether an unknown query goes to one server before the rest", &Policy::canary},
    PolicyField{"canaryMemoryS", unitSeconds, 1, 86400, anySubject,
                "how long a query that crashed no server is taken as harmless",
                &Policy::canaryMemory},
    PolicyField{"crashRefusalS", unitSeconds, 1, 86400, anySubject,
                "how long a query under suspicion is refused", &Policy::crashRefusal},
    PolicyField{"crashServerLimit", unitCount, 1, 16, anySubject,
                "servers that one query may cost before it is refused", &Policy::crashServerLimit},

    // Servers that are slow, silent or leaving
    PolicyField{"ejectionLimitPerMille", unitPerMille, 0, 900, anySubject,
                "largest part of a service's servers that is left out at a time",
                &Policy::ejectionLimit},
    PolicyField{"ejectionTimeMs", unitMilliseconds, 100, 600000, anySubject,
                "how long a server is left out", &Policy::ejectionTime},
    PolicyField{"slowStartMs", unitMilliseconds, 0, 600000, anySubject,
                "how long a fresh server's share of work rises to the whole", &Policy::slowStart},
    PolicyField{"silenceLimitMs", unitMilliseconds, 10, 600000, anySubject,
                "delay beyond the usual after which a connection is tested on a fresh one",
                &Policy::silenceLimit},
    PolicyField{"drainMemoryMs", unitMilliseconds, 100, 600000, anySubject,
                "how long evidence that a server drains is believed", &Policy::drainMemory},
    PolicyField{"requestMemoryS", unitSeconds, 1, 86400, anySubject,
                "how long ids of non-idempotent requests are remembered", &Policy::requestMemory},

    // Objectives
    PolicyField{"latencyObjectiveMs", unitMilliseconds, 1, 600000, backendOnly,
                "an answer later than this spends latency budget", &Policy::latencyObjective},
    PolicyField{"latencyGoalPerMille", unitPerMille, 1, 999, backendOnly,
                "part of the answers that must meet the latency objective", &Policy::latencyGoal},
    PolicyField{"coverageGoalPerMille", unitPerMille, 1, 999, backendOnly,
                "part of the shards asked for that must be in the answers", &Policy::coverageGoal},
};

using FieldIndex = std::map<std::string_view, const PolicyField *>;

FieldIndex makeIndex()
{
    FieldIndex index;
    for (const PolicyField &field : fieldTable)
        index.emplace(field.name, &field);
    return index;
}

/// A value as JSON text.
struct ValueWriter
{
    std::int64_t unitMicros;

    std::string operator()(Duration value) const
    {
        return std::to_string(value.count() / unitMicros);
    }
    std::string operator()(int value) const { return std::to_string(value); }
    std::string operator()(std::size_t value) const { return std::to_string(value); }
    std::string operator()(PerMille value) const { return std::to_string(value.value); }
    std::string operator()(bool value) const { return value ? "true" : "false"; }
    std::string operator()(Patience value) const
    {
        return nlohmann::json(std::string(nameOf(value))).dump();
    }
    std::string operator()(const std::vector<CallerId> &callers) const
    {
        nlohmann::json names = nlohmann::json::array();
        for (const CallerId &caller : callers)
            names.push_back(caller.text());
        return names.dump();
    }
};

} // namespace

std::span<const PolicyField> allPolicyFields()
{
    return fieldTable;
}

const PolicyField *policyFieldNamed(std::string_view name)
{
    static const FieldIndex index = makeIndex();
    const auto found = index.find(name);
    return found == index.end() ? nullptr : found->second;
}

void copyField(const PolicyField &field, const Policy &from, Policy &to)
{
    std::visit([&](auto member) { to.*member = from.*member; }, field.member);
}

bool isEqualIn(const PolicyField &field, const Policy &left, const Policy &right)
{
    return std::visit([&](auto member) { return left.*member == right.*member; }, field.member);
}

std::string valueText(const PolicyField &field, const Policy &policy)
{
    const ValueWriter writer{microsecondsInUnit(field)};
    return std::visit([&](auto member) { return writer(policy.*member); }, field.member);
}

std::int64_t microsecondsInUnit(const PolicyField &field)
{
    if (field.unit == unitMilliseconds)
        return Duration(milliseconds(1)).count();
    if (field.unit == unitSeconds)
        return Duration(seconds(1)).count();
    return 1;
}

} // namespace oleander
