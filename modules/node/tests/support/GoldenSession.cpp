#include "GoldenSession.h"

#include "Faults.h"

#include <algorithm>
#include <sstream>

namespace oleander::fakes {

namespace {

/// Reads the inputs of one session and runs them.
class SessionRunner
{
public:
    /// Executes one input line. Returns false if it is invalid.
    bool readLine(const std::string &line)
    {
        std::istringstream words(line);
        std::string first;
        words >> first;
        if (first.empty() || first.front() == '#')
            return true;
        if (first == "fleet")
            return readFleet(words);
        if (!m_fleet)
            return false;
        if (first == "at")
            return readEvent(words);
        long long length = 0;
        if (first != "run" || !(words >> length))
            return false;
        m_fleet->runFor(milliseconds(length));
        return true;
    }

    std::string outcome()
    {
        std::string text;
        for (const std::string &line : m_fleet->history().trace)
            text += line + "\n";
        CheckOptions checkOptions;
        const auto violations = m_fleet->checkHistory(checkOptions);
        for (const std::string &line : violations)
            text += "BROKEN: " + line + "\n";
        if (violations.empty())
            text += "every promise kept\n";
        return text;
    }

    [[nodiscard]] bool hasFleet() const { return m_fleet != nullptr; }

private:
    bool readFleet(std::istringstream &words)
    {
        std::string name;
        std::uint64_t seed = 0;
        if (!(words >> name >> seed) || (name != "amms" && name != "fotolector"))
            return false;
        m_fleet =
            std::make_unique<TestFleet>(name == "amms" ? ammsOptions() : fotolectorOptions(), seed);
        m_fleet->servers().setCrashPayload(std::string(crashPayload));
        m_fleet->runFor(warmUpTime);
        m_fleet->history().isTracing = true;
        m_fleet->history().start = m_fleet->history().start + warmUpTime;
        return true;
    }

    bool readEvent(std::istringstream &words)
    {
        long long time = 0;
        std::string kind;
        if (!(words >> time >> kind))
            return false;
        const Duration delay = milliseconds(time);
        if (kind == "fault")
            return readFault(words, delay);
        if (kind == "abandon")
            return readAbandon(words, delay);
        return (kind == "query" || kind == "claim") && readQuery(words, delay, kind == "claim");
    }

    bool readQuery(std::istringstream &words, Duration delay, bool isNonIdempotent)
    {
        std::string caller;
        std::string request;
        int entry = 0;
        if (!(words >> caller >> request >> entry) || entry >= m_fleet->daemons())
            return false;
        int resends = 0;
        Query query = m_fleet->query(caller, request);
        for (std::string option; words >> option;) {
            const auto equals = option.find('=');
            const std::string value = equals == std::string::npos ? "" : option.substr(equals + 1);
            if (option == "urgent")
                query.urgency = Urgency::Urgent;
            else if (option.starts_with("resends="))
                resends = std::stoi(value);
            else if (option.starts_with("limit="))
                query.limit = std::stoul(value);
            else if (option.starts_with("deadline="))
                query.deadline = milliseconds(std::stol(value));
            else if (option.starts_with("payload="))
                query.payload = value;
            else if (option.starts_with("keys="))
                setKeys(query, value);
            else
                return false;
        }
        m_fleet->schedule(delay, [this, query, entry, resends, isNonIdempotent] {
            Query sent = query;
            if (isNonIdempotent) {
                const Query prototype = m_fleet->nonIdempotentQuery({}, {});
                sent.isIdempotent = false;
                sent.shards = prototype.shards;
                sent.issuedAt = prototype.issuedAt;
            }
            m_submissions[sent.request] = &m_fleet->submit(entry, sent, resends);
        });
        return true;
    }

    static void setKeys(Query &query, const std::string &range)
    {
        const auto dash = range.find('-');
        query.firstKey = range.substr(0, dash);
        query.endKey = range.substr(dash + 1);
    }

    bool readAbandon(std::istringstream &words, Duration delay)
    {
        std::string request;
        if (!(words >> request))
            return false;
        m_fleet->schedule(delay, [this, request] {
            m_fleet->history().addTraceLine("caller abandons " + request);
            m_fleet->abandon(*m_submissions.at(RequestId(request)));
        });
        return true;
    }

    bool readFault(std::istringstream &words, Duration delay)
    {
        int entry = 0;
        int coordinator = 0;
        int server = 0;
        std::string name;
        if (!(words >> entry >> coordinator >> server) || !std::getline(words >> std::ws, name))
            return false;
        const auto fault = std::ranges::find(allFaults(), name, &FaultKind::name);
        if (fault == allFaults().end())
            return false;
        const FaultKind *kind = &*fault;
        const FaultTarget target{*m_fleet, entry, coordinator, m_fleet->server(server)};
        m_fleet->schedule(delay, [this, kind, target] {
            m_fleet->history().addTraceLine("FAULT " + std::string(kind->name));
            kind->inject(target);
        });
        return true;
    }

    std::unique_ptr<TestFleet> m_fleet;
    std::map<RequestId, Submission *> m_submissions;
};

} // namespace

std::optional<std::string> replaySession(const std::string &file, std::string &reason)
{
    SessionRunner runner;
    std::istringstream lines(file);
    std::string inputs;
    for (std::string line; std::getline(lines, line) && line != outcomeSeparator;) {
        inputs += line + "\n";
        if (runner.readLine(line))
            continue;
        reason = "invalid line: " + line;
        return std::nullopt;
    }
    if (!runner.hasFleet()) {
        reason = "the session has no fleet line";
        return std::nullopt;
    }
    return inputs + outcomeSeparator + "\n" + runner.outcome();
}

} // namespace oleander::fakes
