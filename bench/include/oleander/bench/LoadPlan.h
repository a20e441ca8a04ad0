#pragma once

#include <oleander/core/Query.h>
#include <oleander/core/Reason.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oleander::bench {

/// Queries of one kind, sent at a constant mean rate with exponential gaps.
struct QueryClass
{
    std::string caller;
    std::string backend;
    std::string service;
    /// Queries a second.
    double rate = 1;
    Urgency urgency = Urgency::Normal;
    std::optional<Patience> patience;
    Duration deadline = milliseconds(1000);
    bool isIdempotent = true;
    /// Put before the query's number in the payload.
    std::string payload = "q";
    /// Shards that a whole answer covers, by name.
    std::vector<std::string> shards;
    /// Documents a whole answer holds for each shard, beside the shared one.
    int documentsPerShard = 3;
    /// When nonzero, every query has the same payload, and only this many are sent, in turn to the
    /// targets, each under an id of its own.
    int repeats = 0;
};

/// Something to do to the stand-ins during the run: a POST or PUT to an admin address.
struct PlannedAction
{
    Duration at{};
    std::string address;
    std::string method = "POST";
    std::string target;
    std::string body;
};

/// One run of the load tool.
struct LoadPlan
{
    std::string name;
    Duration warmUp = seconds(1);
    /// Measured time, after the warm-up.
    Duration length = seconds(5);
    /// Waiting for the last answers.
    Duration drain = seconds(2);
    std::uint64_t seed = 1;
    /// Callers' addresses of the daemons.
    std::vector<std::string> targets;
    std::string serversAdmin;
    std::string platformAdmin;
    std::vector<QueryClass> classes;
    std::vector<PlannedAction> actions;
};

/// Reads a plan from JSON; the keys are the members' names, with durations as whole milliseconds
/// and "Ms" behind the name.
std::optional<LoadPlan> parseLoadPlan(std::string_view text, Reason &reason);
std::string loadPlanText(const LoadPlan &plan);

} // namespace oleander::bench
