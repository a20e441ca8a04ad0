#include <oleander/gateway/ExtraBudget.h>

#include <algorithm>

namespace oleander::gateway {

namespace {

/// Parts of the allowance. When all instances are started anew, a window sees both: what was sent
/// before and what fresh processes send.
constexpr double steadyPart = 0.8;
constexpr double freshPart = 0.2;

} // namespace

ExtraBudget::ExtraBudget(TimePoint processStart, double draw)
    : m_processStart(processStart)
    , m_draw(draw)
{
}

void ExtraBudget::noteFirst(const ExtraBudgetRules &rules, TimePoint now)
{
    advance(rules, now);
    ++slice(m_present).firsts;
}

bool ExtraBudget::takeExtra(const ExtraBudgetRules &rules, ExtraKind kind, TimePoint now)
{
    advance(rules, now);
    Slice sum;
    for (const Slice &counted : m_slices) {
        sum.firsts += counted.firsts;
        sum.retries += counted.retries;
        sum.hedges += counted.hedges;
    }
    // The oldest slice may be out of the window, and earns nothing any more.
    const double earned = rules.share * (sum.firsts - slice(m_present + 1).firsts);
    const double part = now - m_processStart < rules.window ? freshPart : steadyPart;
    const double limit = earned + part * rules.allowance + rules.rounding * m_draw;
    if (sum.retries + sum.hedges + 1.0 > limit
        || (kind == ExtraKind::Hedge && sum.hedges + 1.0 > rules.hedgePart * limit))
        return false;
    ++(kind == ExtraKind::Hedge ? slice(m_present).hedges : slice(m_present).retries);
    return true;
}

void ExtraBudget::advance(const ExtraBudgetRules &rules, TimePoint now)
{
    const std::int64_t present =
        now.time_since_epoch() / (rules.window / static_cast<std::int64_t>(slicesPerWindow));
    const auto count = static_cast<std::int64_t>(m_slices.size());
    // After a long quiet time each slice is cleared once.
    m_present = std::max(m_present, present - count);
    while (m_present < present)
        slice(++m_present) = {};
}

} // namespace oleander::gateway
