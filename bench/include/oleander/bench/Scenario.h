#pragma once

#include <oleander/bench/LoadPlan.h>
#include <oleander/core/Reason.h>
#include <oleander/standins/FleetFiles.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oleander::bench {

/// What stands between callers and servers in a run.
enum class Variant {
    /// The daemons with the default policy.
    Policy,
    /// The daemons, each of them a coordinator of every service, so that each entry goes straight
    /// to every server.
    Straight,
    /// baseline-entry: a random replica, no hedge, no retry, no admission.
    NoPolicy,
};

/// Wire names: "policy", "straight", "none".
std::string_view nameOf(Variant variant);
std::optional<Variant> variantNamed(std::string_view name);

/// Whose workload a run stands for: a service of that customer's fleet, its distances, its
/// patience.
struct Customer
{
    std::string name;
    std::string service;
    Duration networkDelay{};
    Patience patience = Patience::Tail;
};

/// A signal to a daemon during the measured time, done by the script that started it.
struct DaemonAction
{
    Duration at{};
    /// Counted from zero.
    int instance = 0;
    /// "KILL", "STOP", "CONT", "TERM" or "START".
    std::string action;
};

/// A fault or a condition under load.
struct Scenario
{
    std::string name;
    std::string meaning;
    /// Load as a percentage of the capacity of the service's slots.
    int loadPercent = 60;
    /// Requests per thousand that take ten times longer.
    int stragglers = 0;
    /// Whether the short form runs it, and whether it does so for every variant.
    bool isShort = true;
    bool isCompared = false;
    /// Policy defaults that differ, as name and JSON text.
    std::vector<std::pair<std::string, std::string>> defaults;
    /// Actions on the servers' admin address: time and target. "SERVICE" stands for the service.
    std::vector<std::pair<Duration, std::string>> serverActions;
    /// Actions on the platform's admin address.
    std::vector<std::pair<Duration, std::string>> platformActions;
    std::vector<DaemonAction> daemonActions;
    /// A payload that crashes servers, sent this often.
    int crashRequests = 0;
    /// Part of the queries that must not run twice, in percent.
    int claimPercent = 0;
    /// Rate of urgent queries of a second caller, as a percentage of capacity.
    int urgentPercent = 0;
    /// Time at which a new snapshot is published; zero means never.
    Duration repartitionAt{};
    /// Load on every service of the customer, with all servers of the brief and 20 daemons.
    bool isWholeFleet = false;
};

/// One run: customer, scenario and variant, written "amms/stragglers-60/policy".
struct RunName
{
    Customer customer;
    Scenario scenario;
    Variant variant = Variant::Policy;

    [[nodiscard]] std::string text() const;
};

const std::vector<Customer> &allCustomers();
const std::vector<Scenario> &allScenarios();

/// Runs in the order of the report. The short form leaves out loads and variants.
std::vector<RunName> listRuns(bool isShortForm);
std::optional<RunName> runNamed(std::string_view text, Reason &reason);

struct RunSettings
{
    std::string folder;
    int basePort = 21000;
    int instances = 6;
    std::uint64_t seed = 1;
    Duration warmUp = milliseconds(1500);
    Duration length = seconds(5);
    /// Mean service time of the stand-in servers.
    Duration serviceTime = milliseconds(5);
};

/// Writes what a run needs into its folder: the fleet's files with a settings file for each daemon
/// to start, load.json for the load tool,
/// servers.args with the options of standin-server, and daemon-actions with a line
/// "milliseconds instance action" for each.
std::optional<LoadPlan> prepareRun(const RunName &run, const RunSettings &settings, Reason &reason);

} // namespace oleander::bench
