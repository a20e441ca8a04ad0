#pragma once

#include <oleander/core/Reason.h>

#include <nlohmann/json.hpp>

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace oleander {

/// Deepest nesting of objects and lists that is read.
constexpr std::size_t maximumJsonDepth = 8;

/// Reads JSON text of bounded depth in which no key stands twice in an object. The reason names the
/// path of the fault.
std::optional<nlohmann::json> parseStrictJson(std::string_view text, Reason &reason);

/// A number that a member may take, with its unit for messages.
struct NumberBounds
{
    double minimum = 0;
    double maximum = 0;
    std::string_view unit;
};

/// Length that a string member may have, in bytes, and whether control characters may stand in it.
struct TextBounds
{
    std::size_t minimum = 0;
    std::size_t maximum = 0;
    bool isSingleLine = true;
};

/// Reads the members of one JSON object. Keeps the first fault, after which every member reads as
/// absent; keys that were not asked for are a fault too.
class StrictObject
{
public:
    /// The value must outlive the reader.
    StrictObject(const nlohmann::json &value, std::string path);

    // Members; all but required() may be absent
    /// Makes the absence of a key a fault.
    void required(std::string_view key);
    std::optional<std::string> text(std::string_view key, const TextBounds &bounds);
    std::optional<double> number(std::string_view key, const NumberBounds &bounds);
    /// A whole number that is not negative.
    std::optional<std::uint64_t> count(std::string_view key, std::uint64_t maximum);
    std::optional<bool> boolean(std::string_view key);
    /// A list of different strings.
    std::vector<std::string> texts(std::string_view key, std::size_t maximum,
                                   const TextBounds &bounds);
    /// A word of a closed list, as `named` knows it.
    template <typename Value>
    std::optional<Value> word(std::string_view key,
                              std::optional<Value> (*named)(std::string_view));
    /// Any value, or null.
    const nlohmann::json *member(std::string_view key);

    // Ending
    void fail(std::string_view key, std::string fault);
    /// Whether there was no fault and no key that was not asked for.
    bool finish(Reason &reason);
    [[nodiscard]] std::string pathOf(std::string_view key) const;

private:
    const std::string *stringMember(std::string_view key);
    void checkText(std::string_view key, const std::string &text, const TextBounds &bounds);

    const nlohmann::json &m_value;
    std::string m_path;
    std::set<std::string, std::less<>> m_asked;
    std::string m_fault;
};

template <typename Value>
std::optional<Value> StrictObject::word(std::string_view key,
                                        std::optional<Value> (*named)(std::string_view))
{
    const std::string *text = stringMember(key);
    if (!text)
        return std::nullopt;
    const std::optional<Value> value = named(*text);
    if (!value)
        fail(key, "is not one of the known words");
    return value;
}

} // namespace oleander
