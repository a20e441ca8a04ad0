#pragma once

#include <oleander/core/Units.h>

#include <array>
#include <cstdint>

namespace oleander::gateway {

/// Limits the extra attempts (retries and hedges) that this instance may send to a service.
///
/// All instances share one allowance, counted over a sliding window. Each instance enforces its own
/// part without coordination: a ratio of its own requests plus a fixed number per window.
struct ExtraBudgetRules
{
    /// Extra attempts allowed for each first attempt.
    double share = 0.19;
    /// Extra attempts allowed in any window regardless of the number of first attempts.
    double allowance = 1.0;
    Duration window = seconds(10);
    /// Each instance adds this value times its own random fraction to the limit. Without it, the
    /// part of the limit below one whole attempt would be unused in every instance.
    double randomAllowance = 0;
    /// Share of the extra attempts that may be hedges. The rest is reserved for retries of failed
    /// requests, which cannot be answered in any other way.
    double maximumHedgeShare = 0.8;
};

/// Reason for an extra attempt.
enum class ExtraAttemptKind {
    /// The previous attempt failed.
    Retry,
    /// The previous attempt has not finished.
    Hedge,
};

/// Counts first and extra attempts to one service in the last window and limits the extra ones.
class ExtraBudget
{
public:
    /// Only part of the allowance applies in the first window after `processStart`, because
    /// attempts of a previous process on this host are unknown. `randomFraction` is a random number
    /// from 0 to 1.
    explicit ExtraBudget(TimePoint processStart = {}, double randomFraction = 0);

    /// Counts the first attempt of a request.
    void noteFirstAttempt(const ExtraBudgetRules &rules, TimePoint now);
    /// Counts one extra attempt and returns true, or returns false when the budget is exhausted.
    bool takeExtra(const ExtraBudgetRules &rules, ExtraAttemptKind kind, TimePoint now);

private:
    /// Attempts in one slice of the window.
    struct Slice
    {
        std::uint32_t firstAttempts = 0;
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
    double m_randomFraction;
    /// The current slice and those that may still be within the window. One more slice than fits
    /// into a window keeps attempts from expiring too early.
    std::array<Slice, slicesPerWindow + 1> m_slices{};
    std::int64_t m_currentSlice = 0;
};

} // namespace oleander::gateway
