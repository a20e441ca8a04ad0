#include "GoldenSession.h"

#include "Faults.h"

#include <algorithm>
#include <sstream>

namespace oleander::fakes {

namespace {

/// Reads one session and runs it.
class SessionRunner
{
public:
    /// False when the line can not be read.
    bool take(const std::string &line)
    {
        std::istringstream words(line);
        std::string first;
        words >> first;
        if (first.empty() || first.front() == '#')
            return true;
        if (first == "fleet")
            return takeFleet(words);
        if (!m_fleet)
            return false;
        if (first == "at")
            return takeEvent(words);
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
        JudgeRules rules;
        const auto broken = m_fleet->verdict(rules);
        for (const std::string &line : broken)
            text += "BROKEN: " + line + "\n";
        if (broken.empty())
            text += "every promise kept\n";
        return text;
    }

    [[nodiscard]] bool hasFleet() const { return m_fleet != nullptr; }

private:
    bool takeFleet(std::istringstream &words)
    {
        std::string name;
        std::uint64_t seed = 0;
        if (!(words >> name >> seed) || (name != "amms" && name != "fotolector"))
            return false;
        m_fleet =
            std::make_unique<TestFleet>(name == "amms" ? ammsShape() : fotolectorShape(), seed);
        m_fleet->servers().setCrashPayload(std::string(crashPayload));
        m_fleet->runFor(warmUp);
        m_fleet->history().isTracing = true;
        m_fleet->history().start = m_fleet->history().start + warmUp;
        return true;
    }

    bool takeEvent(std::istringstream &words)
    {
        long long time = 0;
        std::string kind;
        if (!(words >> time >> kind))
            return false;
        const Duration delay = milliseconds(time);
        if (kind == "fault")
            return takeFault(words, delay);
        if (kind == "abandon")
            return takeAbandon(words, delay);
        return (kind == "query" || kind == "claim") && takeQuery(words, delay, kind == "claim");
    }

    bool takeQuery(std::istringstream &words, Duration delay, bool isClaim)
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
        m_fleet->later(delay, [this, query, entry, resends, isClaim] {
            Query sent = query;
            if (isClaim) {
                const Query claim = m_fleet->claim({}, {});
                sent.isIdempotent = false;
                sent.shards = claim.shards;
                sent.issuedAt = claim.issuedAt;
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

    bool takeAbandon(std::istringstream &words, Duration delay)
    {
        std::string request;
        if (!(words >> request))
            return false;
        m_fleet->later(delay, [this, request] {
            m_fleet->history().note("caller abandons " + request);
            m_fleet->abandon(*m_submissions.at(RequestId(request)));
        });
        return true;
    }

    bool takeFault(std::istringstream &words, Duration delay)
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
        m_fleet->later(delay, [this, kind, target] {
            m_fleet->history().note("FAULT " + std::string(kind->name));
            kind->strike(target);
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
    for (std::string line; std::getline(lines, line) && line != outcomeMark;) {
        inputs += line + "\n";
        if (runner.take(line))
            continue;
        reason = "can not read: " + line;
        return std::nullopt;
    }
    if (!runner.hasFleet()) {
        reason = "no fleet line";
        return std::nullopt;
    }
    return inputs + outcomeMark + "\n" + runner.outcome();
}

} // namespace oleander::fakes
