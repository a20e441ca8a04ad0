#include <oleander/gateway/ExtraBudget.h>

#include <algorithm>

namespace oleander::gateway {

namespace {

/// Shares of the allowance in steady operation and in the first window of a process. When all
/// instances restart, one window covers attempts of both the old and the new processes.
constexpr double steadyAllowanceShare = 0.8;
constexpr double startupAllowanceShare = 0.2;

} // namespace

ExtraBudget::ExtraBudget(TimePoint processStart, double randomFraction)
    : m_processStart(processStart)
    , m_randomFraction(randomFraction)
{
}

void ExtraBudget::noteFirstAttempt(const ExtraBudgetRules &rules, TimePoint now)
{
    advance(rules, now);
    ++slice(m_currentSlice).firstAttempts;
}

bool ExtraBudget::takeExtra(const ExtraBudgetRules &rules, ExtraAttemptKind kind, TimePoint now)
{
    advance(rules, now);
    Slice total;
    for (const Slice &counted : m_slices) {
        total.firstAttempts += counted.firstAttempts;
        total.retries += counted.retries;
        total.hedges += counted.hedges;
    }
    // The oldest slice may lie outside the window and earns no extra attempts.
    const double earned =
        rules.share * (total.firstAttempts - slice(m_currentSlice + 1).firstAttempts);
    const double allowanceShare =
        now - m_processStart < rules.window ? startupAllowanceShare : steadyAllowanceShare;
    const double limit =
        earned + allowanceShare * rules.allowance + rules.randomAllowance * m_randomFraction;
    if (total.retries + total.hedges + 1.0 > limit
        || (kind == ExtraAttemptKind::Hedge
            && total.hedges + 1.0 > rules.maximumHedgeShare * limit))
        return false;
    ++(kind == ExtraAttemptKind::Hedge ? slice(m_currentSlice).hedges
                                       : slice(m_currentSlice).retries);
    return true;
}

void ExtraBudget::advance(const ExtraBudgetRules &rules, TimePoint now)
{
    const std::int64_t current =
        now.time_since_epoch() / (rules.window / static_cast<std::int64_t>(slicesPerWindow));
    const auto count = static_cast<std::int64_t>(m_slices.size());
    // After a long pause each slice is cleared only once.
    m_currentSlice = std::max(m_currentSlice, current - count);
    while (m_currentSlice < current)
        slice(++m_currentSlice) = {};
}

} // namespace oleander::gateway
