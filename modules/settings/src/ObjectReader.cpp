#include "ObjectReader.h"

#include "JsonText.h"

#include <oleander/settings/Address.h>

#include <algorithm>

namespace oleander {

namespace {

using nlohmann::json;

constexpr std::size_t maximumNameBytes = 64;

bool isNameCharacter(char character)
{
    const bool isLetter =
        (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    const bool isDigit = character >= '0' && character <= '9';
    return isLetter || isDigit || character == '.' || character == '_' || character == '-';
}

std::string rangeText(const NumberRange &range)
{
    return "a whole number from " + std::to_string(range.minimum) + " to "
           + std::to_string(range.maximum) + " (" + std::string(range.unit) + ")";
}

} // namespace

const std::string_view nameRule = "a name of 1 to 64 letters, digits, '.', '_' or '-'";

bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= maximumNameBytes
           && std::ranges::all_of(text, isNameCharacter);
}

std::string_view typeText(const json &value)
{
    switch (value.type()) {
    case json::value_t::object:
        return "an object";
    case json::value_t::array:
        return "a list";
    case json::value_t::string:
        return "a string";
    case json::value_t::boolean:
        return "true or false";
    case json::value_t::null:
        return "null";
    case json::value_t::number_float:
        return "a number with a fraction";
    default:
        return "a number";
    }
}

std::optional<std::int64_t> integerIn(const json &value, const NumberRange &range,
                                      const std::string &path, Findings &findings)
{
    const bool isTooLarge =
        value.is_number_unsigned() && value.get<std::uint64_t>() > std::uint64_t{INT64_MAX};
    if (!value.is_number_integer() || isTooLarge) {
        findings.push_back(
            {path, "must be " + rangeText(range) + ", not " + std::string(typeText(value))});
        return std::nullopt;
    }
    const auto number = value.get<std::int64_t>();
    if (number < range.minimum || number > range.maximum) {
        findings.push_back({path, "must be " + rangeText(range) + ", not " + value.dump()});
        return std::nullopt;
    }
    return number;
}

ObjectReader::ObjectReader(const json &object, std::string path, Findings &findings)
    : m_object(object)
    , m_path(std::move(path))
    , m_findings(findings)
{
    if (!m_object.is_object())
        m_findings.push_back({m_path, "must be an object, not " + std::string(typeText(m_object))});
}

const json *ObjectReader::find(std::string_view key, Presence presence)
{
    m_known.emplace(key);
    if (!m_object.is_object())
        return nullptr;
    const auto found = m_object.find(std::string(key));
    if (found != m_object.end())
        return &*found;
    if (presence == Presence::Required)
        report(key, "is missing");
    return nullptr;
}

std::optional<std::string> ObjectReader::string(std::string_view key, Presence presence)
{
    const json *value = find(key, presence);
    if (!value)
        return std::nullopt;
    if (!value->is_string()) {
        report(key, "must be a string, not " + std::string(typeText(*value)));
        return std::nullopt;
    }
    return value->get<std::string>();
}

std::optional<std::int64_t> ObjectReader::integer(std::string_view key, const NumberRange &range,
                                                  Presence presence)
{
    const json *value = find(key, presence);
    if (!value)
        return std::nullopt;
    return integerIn(*value, range, pathOf(key), m_findings);
}

std::optional<double> ObjectReader::number(std::string_view key, double minimum, double maximum,
                                           Presence presence)
{
    const json *value = find(key, presence);
    if (!value)
        return std::nullopt;
    if (!value->is_number() || value->get<double>() < minimum || value->get<double>() > maximum) {
        report(key, "must be a number from " + json(minimum).dump() + " to " + json(maximum).dump()
                        + ", not " + value->dump());
        return std::nullopt;
    }
    return value->get<double>();
}

std::optional<bool> ObjectReader::boolean(std::string_view key, Presence presence)
{
    const json *value = find(key, presence);
    if (!value)
        return std::nullopt;
    if (!value->is_boolean()) {
        report(key, "must be true or false, not " + std::string(typeText(*value)));
        return std::nullopt;
    }
    return value->get<bool>();
}

std::string ObjectReader::name(std::string_view key, Presence presence)
{
    const std::optional<std::string> text = string(key, presence);
    if (!text)
        return {};
    if (!isName(*text)) {
        report(key, "must be " + std::string(nameRule));
        return {};
    }
    return *text;
}

std::string ObjectReader::address(std::string_view key)
{
    const std::optional<std::string> text = string(key, Presence::Required);
    if (!text)
        return {};
    if (!parseAddress(*text)) {
        report(key, "must be an IP number and a port from 1 to 65535, such as 127.0.0.1:7001");
        return {};
    }
    return *text;
}

const json *ObjectReader::list(std::string_view key, std::size_t minimum, std::size_t maximum,
                               Presence presence)
{
    const json *value = find(key, presence);
    if (!value)
        return nullptr;
    if (!value->is_array()) {
        report(key, "must be a list, not " + std::string(typeText(*value)));
        return nullptr;
    }
    if (value->size() < minimum || value->size() > maximum) {
        report(key, "must have " + std::to_string(minimum) + " to " + std::to_string(maximum)
                        + " elements, not " + std::to_string(value->size()));
        return nullptr;
    }
    return value;
}

const json *ObjectReader::object(std::string_view key, Presence presence)
{
    const json *value = find(key, presence);
    if (value && !value->is_object()) {
        report(key, "must be an object, not " + std::string(typeText(*value)));
        return nullptr;
    }
    return value;
}

void ObjectReader::finish()
{
    if (!m_object.is_object())
        return;
    for (const auto &[key, value] : m_object.items()) {
        if (!m_known.contains(key))
            report(key, "is not known here");
    }
}

void ObjectReader::report(std::string_view key, std::string text)
{
    m_findings.push_back({pathOf(key), std::move(text)});
}

std::string ObjectReader::pathOf(std::string_view key) const
{
    return memberPath(m_path, key);
}

} // namespace oleander
