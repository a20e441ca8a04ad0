#pragma once

#include "peers/PeerFields.h"

#include <oleander/adapters/peers/PeerCodec.h>
#include <oleander/core/Reason.h>

#include <msgpack.hpp>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace oleander {

/// Sizes that messages between daemons may state. Without limits, memory would be reserved for any
/// stated size before the content is read.
inline msgpack::unpack_limit peerMessageLimits()
{
    constexpr std::size_t maximumListSize = 65536;
    constexpr std::size_t maximumMapSize = 64;
    constexpr std::size_t maximumDepth = 8;
    return {maximumListSize, maximumMapSize, maximumPeerMessageBytes, maximumPeerMessageBytes, 0,
            maximumDepth};
}

/// Decodes values of messages between daemons from MessagePack. Keeps the first error; values read
/// after an error are not valid.
class MessagePackReader
{
public:
    [[nodiscard]] bool isGood() const { return m_fault.empty(); }
    [[nodiscard]] const std::string &fault() const { return m_fault; }

    void fail(std::string_view what)
    {
        if (m_fault.empty())
            m_fault = "member '" + std::string(m_member) + "': " + std::string(what);
    }

    void read(const msgpack::object &object, std::string &value)
    {
        if (object.type == msgpack::type::STR)
            value.assign(object.via.str.ptr, object.via.str.size);
        else
            fail("no string");
    }
    template <typename Number>
    requires std::is_arithmetic_v<Number>
    void read(const msgpack::object &object, Number &value)
    {
        try {
            object.convert(value);
        } catch (const msgpack::type_error &) {
            fail("wrong type, or number out of range");
        }
    }
    template <typename Tag>
    void read(const msgpack::object &object, NameId<Tag> &value)
    {
        std::string text;
        read(object, text);
        value = NameId<Tag>(std::move(text));
    }
    template <typename Tag>
    void read(const msgpack::object &object, NumberId<Tag> &value)
    {
        std::uint64_t number = 0;
        read(object, number);
        value = NumberId<Tag>(number);
    }
    void read(const msgpack::object &object, Duration &value)
    {
        Duration::rep count = 0;
        read(object, count);
        value = Duration(count);
    }
    void read(const msgpack::object &object, WallTime &value)
    {
        Duration sinceEpoch{};
        read(object, sinceEpoch);
        value = WallTime(sinceEpoch);
    }
    void read(const msgpack::object &object, ErrorKind &value)
    {
        readWord(object, value, errorKindNamed);
    }
    void read(const msgpack::object &object, ExecutionState &value)
    {
        readWord(object, value, executionStateNamed);
    }
    void read(const msgpack::object &object, Outcome &value)
    {
        readWord(object, value, outcomeNamed);
    }
    void read(const msgpack::object &object, Urgency &value)
    {
        readWord(object, value, urgencyNamed);
    }
    void read(const msgpack::object &object, Patience &value)
    {
        readWord(object, value, patienceNamed);
    }
    template <typename Value>
    void read(const msgpack::object &object, std::optional<Value> &value)
    {
        if (object.type != msgpack::type::NIL)
            read(object, value.emplace());
    }
    template <typename Value>
    void read(const msgpack::object &object, std::vector<Value> &values)
    {
        if (object.type != msgpack::type::ARRAY) {
            fail("no list");
            return;
        }
        values.reserve(object.via.array.size);
        for (const msgpack::object &element :
             std::span(object.via.array.ptr, object.via.array.size))
            read(element, values.emplace_back());
    }
    template <fields::Message Value>
    void read(const msgpack::object &object, Value &message)
    {
        if (object.type != msgpack::type::MAP) {
            fail("no map");
            return;
        }
        const std::span entries(object.via.map.ptr, object.via.map.size);
        std::size_t next = 0;
        fields::visit(message, [&](const char *name, auto &value) {
            readMember(entries, next, name, value);
        });
    }

private:
    using Entries = std::span<const msgpack::object_kv>;

    static bool isNamed(const msgpack::object_kv &entry, std::string_view name)
    {
        return entry.key.type == msgpack::type::STR
               && std::string_view(entry.key.via.str.ptr, entry.key.via.str.size) == name;
    }

    /// Starts the search at the position that the member has if the sender runs the same release.
    template <typename Value>
    void readMember(Entries entries, std::size_t &next, std::string_view name, Value &value)
    {
        if (!isGood())
            return;
        for (std::size_t step = 0; step < entries.size(); ++step) {
            const std::size_t place = (next + step) % entries.size();
            if (!isNamed(entries[place], name))
                continue;
            next = place + 1;
            m_member = name;
            read(entries[place].val, value);
            return;
        }
        m_member = name;
        fail("missing");
    }

    template <typename Value>
    void readWord(const msgpack::object &object, Value &value,
                  std::optional<Value> (*named)(std::string_view))
    {
        std::string word;
        read(object, word);
        const std::optional<Value> known = named(word);
        if (known)
            value = *known;
        else
            fail("unknown word");
    }

    std::string m_fault;
    std::string_view m_member = "message";
};

} // namespace oleander
