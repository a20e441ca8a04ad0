#include <oleander/bench/Report.h>
#include <oleander/bench/Scenario.h>

#include <algorithm>
#include <cstdio>
#include <sstream>

namespace oleander::bench {

namespace {

constexpr double percent = 100;
constexpr double latencyTargetMs = 64;

template <typename... Values>
std::string format(const char *pattern, Values... values)
{
    std::array<char, 512> text{};
    std::snprintf(text.data(), text.size(), pattern, values...);
    return text.data();
}

double share(double part, double whole)
{
    return whole > 0 ? percent * part / whole : 0;
}

const RunFigures *findRun(const std::vector<RunFigures> &runs, const std::string &customer,
                          const std::string &scenario, const std::string &variant)
{
    const auto found = std::find_if(runs.begin(), runs.end(), [&](const RunFigures &run) {
        return run.customer == customer && run.scenario == scenario && run.variant == variant;
    });
    return found == runs.end() ? nullptr : &*found;
}

std::string verdict(bool isMet)
{
    return isMet ? "met" : "**missed**";
}

std::string targetRow(const std::string &customer, const std::string &target,
                      const std::string &measured, bool isMet)
{
    return "| " + customer + " | " + target + " | " + measured + " | " + verdict(isMet) + " |\n";
}

/// A tail with stragglers, against the target and against no policy.
std::string tailRows(const std::vector<RunFigures> &runs, const std::string &customer,
                     const std::string &scenario)
{
    const auto *policy = findRun(runs, customer, scenario, "policy");
    const auto *none = findRun(runs, customer, scenario, "none");
    if (!policy)
        return {};
    auto text = targetRow(customer, scenario + ": 99 in 100 within 64 ms",
                          format("%.1f ms, coverage %.2f %%", policy->p99Ms,
                                 share(policy->shardsAnswered, policy->shardsAsked)),
                          policy->p99Ms <= latencyTargetMs);
    if (!none)
        return text;
    constexpr double timesShorter = 3;
    const double ratio = policy->p99Ms > 0 ? none->p99Ms / policy->p99Ms : 0;
    return text
           + targetRow(customer, scenario + ": 3 times shorter than with no policy",
                       format("%.1f ms with none, %.1f times", none->p99Ms, ratio),
                       ratio >= timesShorter);
}

bool mayCostMore(const std::string &scenario)
{
    return scenario.starts_with("crash") || scenario.starts_with("drain");
}

std::string extraLoadRow(const std::vector<RunFigures> &runs, const std::string &customer)
{
    constexpr double mostWithFaults = 5;
    constexpr double mostWhenCalm = 1;
    double worst = -percent;
    double worstCalm = -percent;
    std::string worstName;
    for (const auto &run : runs) {
        if (run.customer != customer || run.variant != "policy" || mayCostMore(run.scenario))
            continue;
        if (run.scenario.starts_with("calm"))
            worstCalm = std::max(worstCalm, run.extraPercent);
        if (run.extraPercent > worst) {
            worst = run.extraPercent;
            worstName = run.scenario;
        }
    }
    if (worstName.empty())
        return {};
    return targetRow(customer, "extra load at most 5 %, but for crash and drain",
                     format("%.2f %% in %s", worst, worstName.c_str()), worst <= mostWithFaults)
           + targetRow(customer, "extra load at most 1 % when nothing is wrong",
                       format("%.2f %%", worstCalm), worstCalm <= mostWhenCalm);
}

std::string overloadRows(const std::vector<RunFigures> &runs, const std::string &customer)
{
    const auto *overload = findRun(runs, customer, "overload-200", "policy");
    const auto *peak = findRun(runs, customer, "calm-90", "policy");
    if (!overload || !peak || peak->inTime <= 0)
        return {};
    constexpr double goodput = 90;
    const double part = share(overload->inTime, peak->inTime);
    return targetRow(customer, "useful answers at twice capacity at least 90 % of the peak",
                     format("%.0f %% of those at 90 %% load; refusals within %.1f ms", part,
                            overload->refusalP99Ms),
                     part >= goodput)
           + targetRow(customer, "urgent ones within 64 ms under overload",
                       format("%.1f ms", overload->urgentP99Ms),
                       overload->urgentP99Ms > 0 && overload->urgentP99Ms <= latencyTargetMs);
}

std::string faultRows(const std::vector<RunFigures> &runs, const std::string &customer)
{
    std::string text;
    if (const auto *crash = findRun(runs, customer, "crash-canary-30", "policy")) {
        constexpr double mostServers = 2;
        text += targetRow(customer, "crashing request sent ten times: at most 2 servers lost",
                          format("%.0f servers", crash->crashes), crash->crashes <= mostServers);
    }
    if (const auto *drain = findRun(runs, customer, "drain-cold-40", "policy")) {
        constexpr double longestMs = 3000;
        text += targetRow(customer, "leaving server: last new work within 3 s",
                          format("%.0f ms", drain->lastDrainArrivalMs),
                          drain->lastDrainArrivalMs <= longestMs);
    }
    return text;
}

std::string truthRow(const std::vector<RunFigures> &runs, const std::string &customer)
{
    double untrue = 0;
    double doubled = 0;
    double count = 0;
    for (const auto &run : runs) {
        if (run.customer != customer || run.variant == "none")
            continue;
        untrue += run.untrue;
        doubled += run.doubledRuns;
        ++count;
    }
    if (count == 0)
        return {};
    return targetRow(customer, "wrong answers, untrue \"not run\", doubled runs: 0",
                     format("%.0f untrue, %.0f doubled in %.0f runs", untrue, doubled, count),
                     untrue + doubled == 0);
}

std::string targetTable(const std::vector<RunFigures> &runs)
{
    std::string text = "| customer | target | measured | |\n|---|---|---|---|\n";
    for (const auto &customer : allCustomers()) {
        text += tailRows(runs, customer.name, "stragglers-60");
        text += tailRows(runs, customer.name, "stragglers-one-down-40");
        text += tailRows(runs, customer.name, "stragglers-one-down-60");
        text += extraLoadRow(runs, customer.name);
        text += overloadRows(runs, customer.name);
        text += faultRows(runs, customer.name);
        text += truthRow(runs, customer.name);
    }
    return text;
}

std::string runRow(const RunFigures &run)
{
    auto row =
        format("| %s | %s | %.0f | %.1f | %.1f | %.1f | %.2f | %.1f | %.0f | %.0f | %.2f |",
               run.scenario.c_str(), run.variant.c_str(), run.sent, run.p50Ms, run.p99Ms,
               run.p999Ms, share(run.shardsAnswered, run.shardsAsked), share(run.inTime, run.sent),
               run.refused, run.unknown + run.lost, run.extraPercent);
    return row
           + format(" %.0f | %.0f | %.0f |\n", run.peakConnections, run.untrue, run.doubledRuns);
}

std::string runTable(const std::vector<RunFigures> &runs, const std::string &customer)
{
    std::string text =
        "| scenario | variant | sent | p50 ms | p99 ms | p99.9 ms | coverage % | in time % | "
        "refused | unknown or lost | extra % | connections | untrue | doubled |\n"
        "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
    for (const auto &run : runs) {
        if (run.customer == customer)
            text += runRow(run);
    }
    for (const auto &run : runs) {
        for (const auto &remark : run.remarks) {
            if (run.customer == customer)
                text += "\n- " + run.scenario + ", " + run.variant + ": " + remark;
        }
    }
    return text + '\n';
}

} // namespace

std::string reportText(const ReportHeader &header, const std::vector<RunFigures> &runs)
{
    std::ostringstream text;
    text << "# Measurements\n\nWritten by `" << header.command << "`, not by hand. See "
         << "[bench.md](bench.md) for what is measured and what the columns mean.\n\n"
         << "- machine: " << header.machine << "\n- commit: " << header.commit
         << "\n- seed: " << header.seed << "\n- started: " << header.started
         << "\n- runs: " << runs.size() << "\n\n## Targets\n\n"
         << targetTable(runs);
    for (const auto &customer : allCustomers())
        text << "\n## " << customer.name << "\n\n" << runTable(runs, customer.name);
    return text.str();
}

} // namespace oleander::bench
