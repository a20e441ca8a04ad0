#include <oleander/decisions/control/Backoff.h>

#include <algorithm>

namespace oleander {

Duration backoffDelay(int failures, const BackoffRules &rules, std::uint64_t random)
{
    Duration delay = rules.first;
    for (int attempt = 1; attempt < failures && delay < rules.longest; ++attempt)
        delay *= 2;
    delay = std::min(delay, rules.longest);
    const auto half = static_cast<std::uint64_t>(delay.count() / 2);
    const auto jitter = static_cast<Duration::rep>(random % (half + 1));
    return delay - Duration(jitter);
}

} // namespace oleander
