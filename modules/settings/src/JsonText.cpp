#include "JsonText.h"

#include <oleander/settings/JsonPosition.h>

#include <nlohmann/json.hpp>

#include <set>
#include <string>
#include <vector>

namespace oleander {

namespace {

using nlohmann::json;

/// Watches a parse for nesting and repeated keys, and knows the path of where it stands.
class StructureCheck : public nlohmann::json_sax<json>
{
public:
    StructureCheck(std::string_view text, Findings &findings)
        : m_text(text)
        , m_findings(findings)
    {
    }

    // Values
    bool null() override { return value(); }
    bool boolean(bool /*value*/) override { return value(); }
    bool number_integer(number_integer_t /*value*/) override { return value(); }
    bool number_unsigned(number_unsigned_t /*value*/) override { return value(); }
    bool number_float(number_float_t /*value*/, const string_t & /*text*/) override
    {
        return value();
    }
    bool string(string_t & /*value*/) override { return value(); }
    bool binary(binary_t & /*value*/) override { return value(); }

    // Containers
    bool start_object(std::size_t /*size*/) override { return open(false); }
    bool start_array(std::size_t /*size*/) override { return open(true); }
    bool end_object() override { return close(); }
    bool end_array() override { return close(); }
    bool key(string_t &name) override
    {
        Level &level = m_levels.back();
        level.key = name;
        if (!level.keys.insert(name).second)
            m_findings.push_back({path(), "this key stands twice in its object"});
        return true;
    }

    // Errors
    bool parse_error(std::size_t position, const std::string & /*token*/,
                     const nlohmann::detail::exception & /*error*/) override
    {
        // The position is the number of bytes read, of which the last is wrong.
        const TextPosition place = positionAt(m_text, position > 0 ? position - 1 : 0);
        m_findings.push_back({path(), "not valid JSON or a number too large, at line "
                                          + std::to_string(place.line) + ", column "
                                          + std::to_string(place.column)});
        return false;
    }

private:
    struct Level
    {
        bool isArray = false;
        std::size_t index = 0;
        std::string key;
        std::set<std::string> keys;
    };

    bool value()
    {
        if (!m_levels.empty())
            ++m_levels.back().index;
        return true;
    }

    bool open(bool isArray)
    {
        if (m_levels.size() == maximumDocumentDepth) {
            m_findings.push_back(
                {path(), "nested deeper than " + std::to_string(maximumDocumentDepth) + " levels"});
            return false;
        }
        m_levels.push_back({isArray, 0, {}, {}});
        return true;
    }

    bool close()
    {
        m_levels.pop_back();
        return value();
    }

    [[nodiscard]] std::string path() const
    {
        std::string result = "$";
        for (const Level &level : m_levels) {
            if (level.isArray)
                result = elementPath(result, level.index);
            else if (!level.key.empty())
                result = memberPath(result, level.key);
        }
        return result;
    }

    std::string_view m_text;
    Findings &m_findings;
    std::vector<Level> m_levels;
};

} // namespace

std::optional<json> readJson(std::string_view text, Findings &findings)
{
    if (text.size() > maximumDocumentBytes) {
        findings.push_back({"$", "longer than " + std::to_string(maximumDocumentBytes) + " bytes"});
        return std::nullopt;
    }
    const std::size_t before = findings.size();
    StructureCheck check(text, findings);
    const bool isWellFormed = json::sax_parse(text, &check);
    if (!isWellFormed || findings.size() != before)
        return std::nullopt;
    return json::parse(text, nullptr, false);
}

std::string memberPath(std::string_view path, std::string_view key)
{
    return std::string(path) + "." + std::string(key);
}

std::string elementPath(std::string_view path, std::size_t index)
{
    return std::string(path) + "[" + std::to_string(index) + "]";
}

} // namespace oleander
