#pragma once

#include "CallerConnection.h"

#include <oleander/bench/LoadPlan.h>
#include <oleander/bench/LoadResult.h>

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace oleander::bench {

/// One finished exchange, as the sending thread hands it over.
struct FinishedQuery
{
    std::size_t queryClass = 0;
    Query query;
    Duration latency{};
    CallerReply reply;
};

/// Reads, checks and counts answers on a thread of its own, so that this work does not delay the
/// sending or the time stamps.
class AnswerTally
{
public:
    explicit AnswerTally(const LoadPlan &plan);
    ~AnswerTally();
    AnswerTally(const AnswerTally &) = delete;
    AnswerTally &operator=(const AnswerTally &) = delete;

    void add(FinishedQuery finished);
    /// Waits until all is counted and returns it. Call once.
    std::vector<ClassResult> finish();

private:
    void run();
    void count(const FinishedQuery &finished);
    void countAnswer(ClassResult &result, const FinishedQuery &finished, const Answer &answer);

    const LoadPlan &m_plan;
    std::vector<ClassResult> m_results;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<FinishedQuery> m_waiting;
    bool m_isFinishing = false;
    std::thread m_thread;
};

} // namespace oleander::bench
