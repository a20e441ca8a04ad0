#pragma once

#include <oleander/core/Units.h>

#include <array>
#include <cstdint>

namespace oleander::gateway {

/// What a service may be sent beyond the first sending of each request, by this instance.
///
/// All instances share one allowance that is counted over a sliding window. Each keeps its own part
/// without talking: a share of its own requests, and a fixed number a window.
struct ExtraBudgetRules
{
    /// Extra sendings earned by each first one.
    double share = 0.19;
    /// Extra sendings in any window that need not be earned.
    double allowance = 1.0;
    Duration window = seconds(10);
    /// Up to this part of one sending is added by a draw of each instance's own. What is less than
    /// a whole sending in each of many instances would otherwise be lost.
    double rounding = 0;
    /// Part of all extra sendings that may be hedges. The rest is kept for requests that have
    /// failed, which cannot be served otherwise.
    double hedgePart = 0.8;
};

/// What an extra sending is for.
enum class ExtraKind {
    /// The former sending has failed.
    Retry,
    /// The former sending is still out.
    Hedge,
};

/// First and extra sendings to one service in the last window.
class ExtraBudget
{
public:
    /// In the first window after `processStart` only a part of the allowance counts, since what was
    /// sent by a process that ran here before is not known. `draw` is at random from 0 to 1.
    explicit ExtraBudget(TimePoint processStart = {}, double draw = 0);

    /// A request was sent for the first time.
    void noteFirst(const ExtraBudgetRules &rules, TimePoint now);
    /// Takes one extra sending if there is one left.
    bool takeExtra(const ExtraBudgetRules &rules, ExtraKind kind, TimePoint now);

private:
    /// Sendings in a part of the window.
    struct Slice
    {
        std::uint32_t firsts = 0;
        std::uint32_t retries = 0;
        std::uint32_t hedges = 0;
    };
    static constexpr std::size_t slicesPerWindow = 10;

    void advance(const ExtraBudgetRules &rules, TimePoint now);
    Slice &slice(std::int64_t number)
    {
        return m_slices[static_cast<std::size_t>(number) % m_slices.size()];
    }

    TimePoint m_processStart;
    double m_draw;
    /// The present slice and those that may still be in the window. With one slice more than fits,
    /// no sending is forgotten too early.
    std::array<Slice, slicesPerWindow + 1> m_slices{};
    std::int64_t m_present = 0;
};

} // namespace oleander::gateway
