#include "commands/PolicySource.h"

#include "http/HttpFetch.h"

#include <oleander/settings/PolicySetParser.h>
#include <oleander/tool/PublishedFiles.h>

namespace oleander {

namespace {

PolicySource parsed(const std::string &origin, const std::string &text, SectionVersion version,
                    Terminal &terminal)
{
    Findings findings;
    PolicySource source;
    source.set = readPolicySet(text, version, findings);
    for (const Finding &finding : findings)
        terminal.err << origin << ": " << toText(finding) << '\n';
    source.code = source.set ? ExitCode::Ok : ExitCode::Usage;
    return source;
}

} // namespace

PolicySource policiesFromFile(const CommandLine &line, const std::string &path, Terminal &terminal)
{
    Reason reason;
    const std::optional<std::string> text = readFile(path, reason);
    if (!text)
        return {std::nullopt, line.refuse(terminal, reason.text)};
    return parsed(path, *text, SectionVersion(1), terminal);
}

PolicySource policiesFromPlatform(const CommandLine &line, const std::string &address,
                                  Terminal &terminal)
{
    HttpRequest request;
    request.address = address;
    request.target = "/v1/values/config";
    const HttpResult result = fetch(request);
    constexpr int httpOk = 200;
    if (result.response && result.response->status == httpOk) {
        const SectionVersion version(result.response->version);
        return parsed(address, result.response->body, version, terminal);
    }
    const std::string why = result.response
                                ? address + " answers " + std::to_string(result.response->status)
                                : result.reason.text;
    line.refuse(terminal, why);
    return {std::nullopt, ExitCode::Unreachable};
}

} // namespace oleander
