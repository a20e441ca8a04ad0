#include "AnswerTally.h"

#include <oleander/adapters/callers/QueryCodec.h>
#include <oleander/bench/AnswerCheck.h>

namespace oleander::bench {

AnswerTally::AnswerTally(const LoadPlan &plan)
    : m_plan(plan)
    , m_results(plan.classes.size())
    , m_thread([this]() { run(); })
{
}

AnswerTally::~AnswerTally()
{
    if (m_thread.joinable())
        finish();
}

void AnswerTally::add(FinishedQuery finished)
{
    {
        const std::lock_guard lock(m_mutex);
        m_waiting.push_back(std::move(finished));
    }
    m_changed.notify_one();
}

std::vector<ClassResult> AnswerTally::finish()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isFinishing = true;
    }
    m_changed.notify_one();
    m_thread.join();
    return std::move(m_results);
}

void AnswerTally::run()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_changed.wait(lock, [this]() { return m_isFinishing || !m_waiting.empty(); });
        if (m_waiting.empty())
            return;
        const auto finished = std::move(m_waiting.front());
        m_waiting.pop_front();
        lock.unlock();
        count(finished);
        lock.lock();
    }
}

void AnswerTally::count(const FinishedQuery &finished)
{
    auto &result = m_results[finished.queryClass];
    ++result.sent;
    if (finished.reply.end != CallerReply::End::Replied) {
        ++result.lost;
        return;
    }
    Reason reason;
    const auto answer = answerFromJson(finished.reply.body, reason);
    if (!answer) {
        ++result.lost;
        ++result.faults["answer that can not be read"];
        return;
    }
    countAnswer(result, finished, *answer);
}

void AnswerTally::countAnswer(ClassResult &result, const FinishedQuery &finished,
                              const Answer &answer)
{
    const auto &asked = m_plan.classes[finished.queryClass];
    for (const auto &fault : answerFaults(asked, finished.query, answer))
        ++result.faults[fault];
    if (answer.error != ErrorKind::None)
        ++result.errors[std::string(answerFor(answer.error).name)];
    if (answer.ran == ExecutionState::NotRun)
        result.notRun.emplace_back(finished.query.caller.text(), finished.query.request.text());

    const bool isAnswered = answer.outcome == Outcome::Answered;
    if (!isAnswered && answer.outcome != Outcome::Partial) {
        ++(answer.outcome == Outcome::Refused ? result.refused : result.unknown);
        result.refusalLatency.add(finished.latency);
        return;
    }
    ++(isAnswered ? result.answered : result.partial);
    result.shardsAsked += static_cast<std::uint64_t>(answer.coverage.asked);
    result.shardsAnswered += static_cast<std::uint64_t>(answer.coverage.answered);
    result.extraSubRequests += static_cast<std::uint64_t>(answer.extraSubRequests);
    result.inTime += finished.latency <= asked.deadline ? 1 : 0;
    result.latency.add(finished.latency);
}

} // namespace oleander::bench
