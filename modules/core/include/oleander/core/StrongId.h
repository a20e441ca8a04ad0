#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace oleander {

/// A string id that does not convert to or compare with ids of another type.
///
/// Tag may be an incomplete type; ids are comparable only when their tags are the same. An empty id
/// means "none". Copying an id copies its string, so pass ids by reference on hot paths.
template <typename Tag>
class NameId
{
public:
    NameId() = default;
    explicit NameId(std::string text)
        : m_text(std::move(text))
    {
    }

    /// The name as written in configuration and on the wire.
    [[nodiscard]] const std::string &text() const { return m_text; }
    [[nodiscard]] bool isEmpty() const { return m_text.empty(); }

    // clang-tidy 14 mistakes the zero in the generated code for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const NameId &) const = default;
    bool operator==(const NameId &) const = default;

    friend std::ostream &operator<<(std::ostream &stream, const NameId &id)
    {
        return stream << id.m_text;
    }

private:
    std::string m_text;
};

/// A 64-bit id that does not convert to or compare with ids of another type. Zero means "none".
template <typename Tag>
class NumberId
{
public:
    constexpr NumberId() = default;
    constexpr explicit NumberId(std::uint64_t value)
        : m_value(value)
    {
    }

    [[nodiscard]] constexpr std::uint64_t value() const { return m_value; }
    [[nodiscard]] constexpr bool isNone() const { return m_value == 0; }

    // The same false positive as in NameId.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const NumberId &) const = default;
    bool operator==(const NumberId &) const = default;

    friend std::ostream &operator<<(std::ostream &stream, const NumberId &id)
    {
        return stream << id.m_value;
    }

private:
    std::uint64_t m_value = 0;
};

} // namespace oleander

template <typename Tag>
struct std::hash<oleander::NameId<Tag>>
{
    std::size_t operator()(const oleander::NameId<Tag> &id) const noexcept
    {
        return std::hash<std::string>{}(id.text());
    }
};

template <typename Tag>
struct std::hash<oleander::NumberId<Tag>>
{
    std::size_t operator()(const oleander::NumberId<Tag> &id) const noexcept
    {
        return std::hash<std::uint64_t>{}(id.value());
    }
};
