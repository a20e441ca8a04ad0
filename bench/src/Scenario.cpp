#include <oleander/bench/Scenario.h>

#include <algorithm>
#include <array>

namespace oleander::bench {

namespace {

constexpr std::array<std::pair<Variant, std::string_view>, 3> variantNames{{
    {Variant::Policy, "policy"},
    {Variant::Straight, "straight"},
    {Variant::NoPolicy, "none"},
}};

template <typename Named>
const Named *findNamed(const std::vector<Named> &all, std::string_view name)
{
    const auto found = std::find_if(all.begin(), all.end(),
                                    [&](const Named &named) { return named.name == name; });
    return found == all.end() ? nullptr : &*found;
}

} // namespace

std::string_view nameOf(Variant variant)
{
    for (const auto &[value, name] : variantNames) {
        if (value == variant)
            return name;
    }
    return {};
}

std::optional<Variant> variantNamed(std::string_view name)
{
    for (const auto &[value, text] : variantNames) {
        if (text == name)
            return value;
    }
    return std::nullopt;
}

std::string RunName::text() const
{
    return customer.name + '/' + scenario.name + '/' + std::string(nameOf(variant));
}

std::vector<RunName> listRuns(bool isShortForm)
{
    std::vector<RunName> runs;
    for (const auto &customer : allCustomers()) {
        for (const auto &scenario : allScenarios()) {
            if (isShortForm && !scenario.isShort)
                continue;
            runs.push_back({customer, scenario, Variant::Policy});
            if (!scenario.isCompared)
                continue;
            runs.push_back({customer, scenario, Variant::Straight});
            runs.push_back({customer, scenario, Variant::NoPolicy});
        }
    }
    return runs;
}

std::optional<RunName> runNamed(std::string_view text, Reason &reason)
{
    const auto first = text.find('/');
    const auto last = text.rfind('/');
    if (first != std::string_view::npos && last != first) {
        const auto *customer = findNamed(allCustomers(), text.substr(0, first));
        const auto *scenario = findNamed(allScenarios(), text.substr(first + 1, last - first - 1));
        const auto variant = variantNamed(text.substr(last + 1));
        if (customer && scenario && variant)
            return RunName{*customer, *scenario, *variant};
    }
    reason.set(ErrorKind::BadRequest, "no run '" + std::string(text) + "'");
    return std::nullopt;
}

} // namespace oleander::bench
