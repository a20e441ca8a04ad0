#include "commands/DaemonPages.h"

#include <oleander/settings/InstanceListParser.h>
#include <oleander/tool/PublishedFiles.h>

#include <chrono>

namespace oleander {

namespace {

constexpr int httpOk = 200;
/// Progress is shown from then on, and not more often.
constexpr std::chrono::seconds progressPeriod(1);

std::optional<std::vector<DaemonPage>> listedDaemons(const std::string &text, Reason &reason)
{
    const std::optional<InstanceList> list = parseInstanceList(text, SectionVersion(1), reason);
    if (!list)
        return std::nullopt;
    std::vector<DaemonPage> pages;
    for (const Instance &instance : list->instances)
        pages.push_back({instance.operatorAddress, instance.id.text(), std::nullopt, {}});
    return pages;
}

std::optional<std::string> publishedInstances(const std::string &address, Reason &reason)
{
    HttpRequest request;
    request.address = address;
    request.target = "/v1/values/instances";
    HttpResult result = fetch(request);
    if (!result.response) {
        reason = result.reason;
        return std::nullopt;
    }
    if (result.response->status != httpOk) {
        reason.set(ErrorKind::NotReady,
                   address + " answers " + std::to_string(result.response->status));
        return std::nullopt;
    }
    return std::move(result.response->body);
}

/// The daemons to ask, still without pages.
DaemonPages daemonsOf(const CommandLine &line, Terminal &terminal)
{
    DaemonPages result;
    for (const std::string &address : line.texts("daemon"))
        result.pages.push_back({address, {}, std::nullopt, {}});
    const bool isList = line.has("instances") || line.has("platform");
    if (!isList) {
        if (result.pages.empty())
            result.code = line.refuse(terminal, "give --instances, --platform or --daemon");
        return result;
    }
    Reason reason;
    const std::optional<std::string> text = line.has("instances")
                                                ? readFile(line.text("instances"), reason)
                                                : publishedInstances(line.text("platform"), reason);
    const auto listed = text ? listedDaemons(*text, reason) : std::nullopt;
    if (listed) {
        result.pages.insert(result.pages.end(), listed->begin(), listed->end());
        return result;
    }
    result.code = line.refuse(terminal, reason.text);
    if (!text && line.has("platform"))
        result.code = ExitCode::Unreachable;
    return result;
}

void takeResult(DaemonPage &page, HttpResult result)
{
    if (!result.response)
        page.fault = result.reason.text;
    else if (result.response->status != httpOk)
        page.fault = page.address + " answers " + std::to_string(result.response->status);
    else
        page.body = std::move(result.response->body);
}

} // namespace

void addDaemonOptions(CommandLine &line)
{
    line.options()("instances", "file with the list of instances", cxxopts::value<std::string>())(
        "platform", "IP number and port of the configuration service, to read the list there",
        cxxopts::value<std::string>())("daemon", "operator address of a daemon; may be repeated",
                                       cxxopts::value<std::vector<std::string>>())(
        "timeout-ms", "longest wait for one daemon, in milliseconds",
        cxxopts::value<std::int64_t>()->default_value("3000"));
}

DaemonPages readDaemonPages(const CommandLine &line, const std::string &target, Terminal &terminal)
{
    DaemonPages result = daemonsOf(line, terminal);
    if (result.code)
        return result;
    std::vector<HttpRequest> requests;
    for (const DaemonPage &page : result.pages)
        requests.push_back({page.address, target, {}, milliseconds(line.number("timeout-ms"))});
    auto shown = std::chrono::steady_clock::now();
    const FetchProgress progress = [&](std::size_t ended) {
        const auto now = std::chrono::steady_clock::now();
        if (now - shown < progressPeriod)
            return;
        shown = now;
        terminal.err << "asked " << ended << " of " << requests.size() << " daemons\n";
    };
    std::vector<HttpResult> answers = fetchAll(requests, progress);
    for (std::size_t index = 0; index < answers.size(); ++index)
        takeResult(result.pages[index], std::move(answers[index]));
    return result;
}

} // namespace oleander
