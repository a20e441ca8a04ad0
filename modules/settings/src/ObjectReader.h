#pragma once

#include <oleander/core/StrongId.h>
#include <oleander/settings/Finding.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace oleander {

/// Smallest and largest allowed value of a number, and its unit, for messages.
struct NumberRange
{
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
    std::string_view unit = "count";
};

/// Whether a key must be there.
enum class Presence { Required, Optional };

/// Reads the members of one JSON object, and reports each fault with its path.
///
/// Keys that were not asked for are reported by finish(). A member that is missing or wrong gives
/// an empty result after the fault was reported.
class ObjectReader
{
public:
    /// The object and the findings must outlive the reader.
    ObjectReader(const nlohmann::json &object, std::string path, Findings &findings);

    // Members
    std::optional<std::string> string(std::string_view key, Presence presence);
    std::optional<std::int64_t> integer(std::string_view key, const NumberRange &range,
                                        Presence presence);
    /// A number of at least `minimum` and at most `maximum`, whole or not.
    std::optional<double> number(std::string_view key, double minimum, double maximum,
                                 Presence presence);
    std::optional<bool> boolean(std::string_view key, Presence presence);
    /// A name of letters, digits, '.', '_' and '-', of at most 64 bytes.
    std::string name(std::string_view key, Presence presence);
    /// An IP number and a port.
    std::string address(std::string_view key);
    /// A list of 1 to `maximum` elements, or null.
    const nlohmann::json *list(std::string_view key, std::size_t minimum, std::size_t maximum,
                               Presence presence);
    const nlohmann::json *object(std::string_view key, Presence presence);

    template <typename Id>
    Id id(std::string_view key, Presence presence = Presence::Required)
    {
        return Id(name(key, presence));
    }

    // Finishing
    /// Reports the keys that nobody asked for.
    void finish();
    void report(std::string_view key, std::string text);
    [[nodiscard]] std::string pathOf(std::string_view key) const;

private:
    const nlohmann::json *find(std::string_view key, Presence presence);

    const nlohmann::json &m_object;
    std::string m_path;
    Findings &m_findings;
    std::set<std::string, std::less<>> m_known;
};

/// Whether a text may be used as a name.
bool isName(std::string_view text);

/// What a name may look like, for messages.
extern const std::string_view nameRule;

/// The number as an integer inside the range, or a finding at the path.
std::optional<std::int64_t> integerIn(const nlohmann::json &value, const NumberRange &range,
                                      const std::string &path, Findings &findings);

/// "an object", "a string" and so on, for messages.
std::string_view typeText(const nlohmann::json &value);

} // namespace oleander
