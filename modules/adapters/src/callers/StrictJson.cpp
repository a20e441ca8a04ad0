#include "callers/StrictJson.h"

#include <algorithm>

namespace oleander {

namespace {

using nlohmann::json;

/// Builds a value from parse events and stops at the first fault.
class StrictBuilder : public nlohmann::json_sax<json>
{
public:
    // Values
    bool null() override { return add(nullptr); }
    bool boolean(bool value) override { return add(value); }
    bool number_integer(number_integer_t value) override { return add(value); }
    bool number_unsigned(number_unsigned_t value) override { return add(value); }
    bool number_float(number_float_t value, const string_t & /*text*/) override
    {
        return add(value);
    }
    bool string(string_t &value) override { return add(std::move(value)); }
    bool binary(binary_t & /*value*/) override { return fail("binary values are not allowed"); }

    // Containers
    bool start_object(std::size_t /*size*/) override { return open(json::object()); }
    bool start_array(std::size_t /*size*/) override { return open(json::array()); }
    bool end_object() override { return close(); }
    bool end_array() override { return close(); }
    bool key(string_t &name) override
    {
        m_levels.back().key = name;
        if (m_levels.back().value->contains(name))
            return fail("this key stands twice");
        return true;
    }

    bool parse_error(std::size_t position, const std::string & /*token*/,
                     const nlohmann::detail::exception & /*error*/) override
    {
        return fail("not valid JSON, or a number too large, at byte " + std::to_string(position));
    }

    json root;
    std::string fault;

private:
    struct Level
    {
        json *value = nullptr;
        std::string key;
    };

    json *place(json value)
    {
        if (m_levels.empty()) {
            root = std::move(value);
            return &root;
        }
        Level &level = m_levels.back();
        if (level.value->is_array()) {
            level.value->push_back(std::move(value));
            return &level.value->back();
        }
        json &slot = (*level.value)[level.key];
        slot = std::move(value);
        return &slot;
    }

    bool add(json value)
    {
        place(std::move(value));
        return true;
    }

    bool open(json container)
    {
        if (m_levels.size() == maximumJsonDepth)
            return fail("nested deeper than " + std::to_string(maximumJsonDepth) + " levels");
        json *const value = place(std::move(container));
        m_levels.push_back({value, {}});
        return true;
    }

    bool close()
    {
        m_levels.pop_back();
        return true;
    }

    bool fail(const std::string &text)
    {
        fault = "$";
        for (const Level &level : m_levels) {
            // The element under way is in its list already when it is a container.
            const std::size_t isCounted = &level == &m_levels.back() ? 0 : 1;
            if (level.value->is_array())
                fault += "[" + std::to_string(level.value->size() - isCounted) + "]";
            else if (!level.key.empty())
                fault += "." + level.key;
        }
        fault += ": " + text;
        return false;
    }

    std::vector<Level> m_levels;
};

bool isControlCharacter(char character)
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char deleteCharacter = 0x7f;
    const auto code = static_cast<unsigned char>(character);
    return code < firstPrintable || code == deleteCharacter;
}

std::string shortNumber(double value)
{
    return json(value).dump();
}

} // namespace

std::optional<json> parseStrictJson(std::string_view text, Reason &reason)
{
    StrictBuilder builder;
    if (json::sax_parse(text, &builder))
        return std::move(builder.root);
    reason.set(ErrorKind::BadRequest, builder.fault);
    return std::nullopt;
}

StrictObject::StrictObject(const json &value, std::string path)
    : m_value(value)
    , m_path(std::move(path))
{
    if (!m_value.is_object())
        m_fault = m_path + ": must be an object";
}

void StrictObject::required(std::string_view key)
{
    if (m_fault.empty() && !m_value.contains(key))
        fail(key, "is missing");
}

const json *StrictObject::member(std::string_view key)
{
    m_asked.emplace(key);
    if (!m_fault.empty())
        return nullptr;
    const auto found = m_value.find(key);
    return found == m_value.end() ? nullptr : &*found;
}

const std::string *StrictObject::stringMember(std::string_view key)
{
    const json *value = member(key);
    if (!value)
        return nullptr;
    if (!value->is_string()) {
        fail(key, "must be a string");
        return nullptr;
    }
    return value->get_ptr<const std::string *>();
}

void StrictObject::checkText(std::string_view key, const std::string &text,
                             const TextBounds &bounds)
{
    if (text.size() < bounds.minimum || text.size() > bounds.maximum) {
        fail(key, "must have " + std::to_string(bounds.minimum) + " to "
                      + std::to_string(bounds.maximum) + " bytes, has "
                      + std::to_string(text.size()));
    } else if (bounds.isSingleLine && std::ranges::any_of(text, isControlCharacter)) {
        fail(key, "must not hold control characters");
    }
}

std::optional<std::string> StrictObject::text(std::string_view key, const TextBounds &bounds)
{
    const std::string *value = stringMember(key);
    if (!value)
        return std::nullopt;
    checkText(key, *value, bounds);
    return *value;
}

std::optional<double> StrictObject::number(std::string_view key, const NumberBounds &bounds)
{
    const json *value = member(key);
    if (!value)
        return std::nullopt;
    if (!value->is_number()) {
        fail(key, "must be a number of " + std::string(bounds.unit));
        return std::nullopt;
    }
    const auto number = value->get<double>();
    if (!(number >= bounds.minimum && number <= bounds.maximum)) {
        fail(key, "must be from " + shortNumber(bounds.minimum) + " to "
                      + shortNumber(bounds.maximum) + " " + std::string(bounds.unit) + ", is "
                      + value->dump());
    }
    return number;
}

std::optional<std::uint64_t> StrictObject::count(std::string_view key, std::uint64_t maximum)
{
    const json *value = member(key);
    if (!value)
        return std::nullopt;
    if (!value->is_number_unsigned() || value->get<std::uint64_t>() > maximum) {
        fail(key, "must be a whole number from 0 to " + std::to_string(maximum));
        return std::nullopt;
    }
    return value->get<std::uint64_t>();
}

std::optional<bool> StrictObject::boolean(std::string_view key)
{
    const json *value = member(key);
    if (!value)
        return std::nullopt;
    if (!value->is_boolean()) {
        fail(key, "must be true or false");
        return std::nullopt;
    }
    return value->get<bool>();
}

std::vector<std::string> StrictObject::texts(std::string_view key, std::size_t maximum,
                                             const TextBounds &bounds)
{
    const json *value = member(key);
    if (!value)
        return {};
    if (!value->is_array() || value->size() > maximum) {
        fail(key, "must be a list of at most " + std::to_string(maximum) + " strings");
        return {};
    }
    std::vector<std::string> result;
    std::set<std::string_view> seen;
    for (const json &element : *value) {
        const std::string elementKey = std::string(key) + "[" + std::to_string(result.size()) + "]";
        const auto *text = element.get_ptr<const std::string *>();
        if (!text) {
            fail(elementKey, "must be a string");
            return {};
        }
        checkText(elementKey, *text, bounds);
        if (!seen.insert(*text).second)
            fail(elementKey, "stands twice in the list");
        result.push_back(*text);
    }
    return result;
}

void StrictObject::fail(std::string_view key, std::string fault)
{
    if (m_fault.empty())
        m_fault = pathOf(key) + ": " + std::move(fault);
}

bool StrictObject::finish(Reason &reason)
{
    if (m_fault.empty()) {
        for (const auto &[key, value] : m_value.items()) {
            if (!m_asked.contains(key))
                fail(key, "is not a known key");
        }
    }
    if (m_fault.empty())
        return true;
    reason.set(ErrorKind::BadRequest, m_fault);
    return false;
}

std::string StrictObject::pathOf(std::string_view key) const
{
    return m_path + "." + std::string(key);
}

} // namespace oleander
