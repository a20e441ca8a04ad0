#include "AnswerTally.h"
#include "CallerPool.h"
#include "TargetEndpoint.h"

#include <oleander/adapters/callers/QueryCodec.h>
#include <oleander/bench/AdminClient.h>
#include <oleander/bench/LoadRun.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>

namespace oleander::bench {

namespace {

using Clock = std::chrono::steady_clock;

/// Sends the queries of one class at its intended times.
class ClassSender
{
public:
    ClassSender(asio::io_context &context, const LoadPlan &plan, std::size_t index,
                CallerPool &pool, AnswerTally &tally, Clock::time_point begin)
        : m_plan(plan)
        , m_class(plan.classes[index])
        , m_index(index)
        , m_pool(pool)
        , m_tally(tally)
        , m_timer(context)
        , m_begin(begin)
        , m_random(plan.seed * 1000 + index)
        , m_gap(m_class.rate)
        // Queries that are sent a few times only are not for the warm-up.
        , m_next(m_class.repeats > 0 ? begin + plan.warmUp : begin)
    {
    }

    void schedule()
    {
        m_next += std::chrono::duration_cast<Clock::duration>(
            std::chrono::duration<double>(m_gap(m_random)));
        const bool isOver = m_next >= m_begin + m_plan.warmUp + m_plan.length;
        if (isOver || (m_class.repeats > 0 && m_number >= m_class.repeats))
            return;
        m_timer.expires_at(m_next);
        m_timer.async_wait([this](const boost::system::error_code &error) {
            if (error)
                return;
            send();
            schedule();
        });
    }

    /// Counts what is still unanswered as lost.
    void giveUp()
    {
        for (const auto &[number, query] : m_open)
            m_tally.add({m_index, query, Duration{}, {}});
        m_open.clear();
    }

private:
    Query makeQuery()
    {
        ++m_number;
        // A caller that sends a query again does so under a new id, but with the same payload.
        const int name = m_class.repeats > 0 ? 0 : m_number;
        Query query;
        query.caller = CallerId(m_class.caller);
        query.request = RequestId(m_plan.name + '-' + std::to_string(m_plan.seed) + '-'
                                  + std::to_string(m_index) + '-' + std::to_string(m_number));
        query.backend = BackendId(m_class.backend);
        query.service = ServiceId(m_class.service);
        query.payload = m_class.payload + '-' + std::to_string(name);
        query.deadline = m_class.deadline;
        query.urgency = m_class.urgency;
        query.patience = m_class.patience;
        query.isIdempotent = m_class.isIdempotent;
        if (!query.isIdempotent)
            query.issuedAt = WallTime(std::chrono::duration_cast<Duration>(
                std::chrono::system_clock::now().time_since_epoch()));
        return query;
    }

    void send()
    {
        const auto query = makeQuery();
        const auto intended = m_next;
        const bool isMeasured = intended >= m_begin + m_plan.warmUp;
        if (isMeasured)
            m_open.emplace(m_number, query);
        auto done = [this, intended, number = m_number](CallerReply reply) {
            const auto open = m_open.find(number);
            if (open == m_open.end())
                return;
            const auto latency = std::chrono::duration_cast<Duration>(Clock::now() - intended);
            m_tally.add({m_index, open->second, latency, std::move(reply)});
            m_open.erase(open);
        };
        if (m_class.repeats > 0)
            m_pool.askAt(static_cast<std::size_t>(m_number), queryToJson(query), std::move(done));
        else
            m_pool.ask(queryToJson(query), std::move(done));
    }

    const LoadPlan &m_plan;
    const QueryClass &m_class;
    const std::size_t m_index;
    CallerPool &m_pool;
    AnswerTally &m_tally;
    asio::steady_timer m_timer;
    const Clock::time_point m_begin;
    std::mt19937_64 m_random;
    std::exponential_distribution<double> m_gap;
    Clock::time_point m_next;
    int m_number = 0;
    std::map<int, Query> m_open;
};

/// Does the planned actions and reads the stand-ins' counts, on a thread of its own.
class Director
{
public:
    Director(const LoadPlan &plan, LoadResult &result, Clock::time_point begin)
        : m_plan(plan)
        , m_result(result)
        , m_thread([this, begin]() { run(begin); })
    {
    }
    ~Director() { m_thread.join(); }
    Director(const Director &) = delete;
    Director &operator=(const Director &) = delete;

private:
    void run(Clock::time_point begin)
    {
        auto actions = m_plan.actions;
        std::stable_sort(actions.begin(), actions.end(),
                         [](const auto &left, const auto &right) { return left.at < right.at; });
        const auto measuredFrom = begin + m_plan.warmUp;
        std::this_thread::sleep_until(measuredFrom);
        m_result.before = readCounts();
        for (const auto &action : actions) {
            std::this_thread::sleep_until(measuredFrom + action.at);
            call(action.address, action.method, action.target, action.body);
        }
    }

    std::string call(const std::string &address, const std::string &method,
                     const std::string &target, const std::string &body)
    {
        if (address.empty())
            return {};
        Reason reason;
        auto reply = adminCall(address, method, target, body, reason);
        if (!reply)
            m_result.notes.push_back(reason.text);
        return std::move(reply).value_or("");
    }

    StandinCounts readCounts()
    {
        return {call(m_plan.serversAdmin, "GET", "/counts", ""),
                call(m_plan.platformAdmin, "GET", "/counts", "")};
    }

    const LoadPlan &m_plan;
    LoadResult &m_result;
    std::thread m_thread;
};

std::optional<std::vector<asio::ip::tcp::endpoint>> targetsOf(const LoadPlan &plan, Reason &reason)
{
    std::vector<asio::ip::tcp::endpoint> targets;
    for (const auto &address : plan.targets) {
        const auto endpoint = targetEndpoint(address, reason);
        if (!endpoint)
            return std::nullopt;
        targets.push_back(*endpoint);
    }
    return targets;
}

/// Asks the servers which of the requests that were answered as not run they had executed.
std::uint64_t countUntrueNotRun(const LoadPlan &plan, LoadResult &result)
{
    nlohmann::json asked = nlohmann::json::array();
    for (const auto &byClass : result.classes) {
        for (const auto &[caller, request] : byClass.notRun)
            asked.push_back({caller, request});
    }
    if (asked.empty() || plan.serversAdmin.empty())
        return 0;
    Reason reason;
    const auto reply = adminCall(plan.serversAdmin, "POST", "/executed", asked.dump(), reason);
    const auto executed = nlohmann::json::parse(reply.value_or(""), nullptr, false);
    if (executed.is_object())
        return executed.at("executed").size();
    result.notes.push_back("refused requests could not be checked: " + reason.text);
    return 0;
}

StandinCounts finalCounts(const LoadPlan &plan, LoadResult &result)
{
    StandinCounts counts;
    Reason reason;
    if (!plan.serversAdmin.empty())
        counts.servers = adminCall(plan.serversAdmin, "GET", "/counts", "", reason).value_or("");
    if (!plan.platformAdmin.empty())
        counts.platform = adminCall(plan.platformAdmin, "GET", "/counts", "", reason).value_or("");
    if (!reason.text.empty())
        result.notes.push_back(reason.text);
    return counts;
}

} // namespace

std::optional<LoadResult> runLoad(const LoadPlan &plan, Reason &reason)
{
    const auto targets = targetsOf(plan, reason);
    if (!targets)
        return std::nullopt;
    asio::io_context context(1);
    CallerPool pool(context, *targets, plan.seed);
    AnswerTally tally(plan);
    LoadResult result;
    const auto begin = Clock::now();
    std::vector<std::unique_ptr<ClassSender>> senders;
    for (std::size_t index = 0; index < plan.classes.size(); ++index) {
        senders.push_back(std::make_unique<ClassSender>(context, plan, index, pool, tally, begin));
        senders.back()->schedule();
    }
    {
        const Director director(plan, result, begin);
        context.run_until(begin + plan.warmUp + plan.length + plan.drain);
    }
    for (auto &sender : senders)
        sender->giveUp();
    result.classes = tally.finish();
    result.after = finalCounts(plan, result);
    result.untrueNotRun = countUntrueNotRun(plan, result);
    return result;
}

} // namespace oleander::bench
