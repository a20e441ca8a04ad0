#include <oleander/decisions/control/Backoff.h>

#include <algorithm>

namespace oleander {

Duration backoffDelay(int failures, const BackoffRules &rules, std::uint64_t random)
{
    Duration whole = rules.first;
    for (int doubled = 1; doubled < failures && whole < rules.most; ++doubled)
        whole *= 2;
    whole = std::min(whole, rules.most);
    const auto half = static_cast<std::uint64_t>(whole.count() / 2);
    const auto jitter = static_cast<Duration::rep>(random % (half + 1));
    return whole - Duration(jitter);
}

} // namespace oleander
