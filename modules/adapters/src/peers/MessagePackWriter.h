#pragma once

#include "peers/PeerFields.h"

#include <msgpack.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace oleander {

/// Encodes values of messages between daemons as MessagePack.
class MessagePackWriter
{
public:
    explicit MessagePackWriter(msgpack::sbuffer &buffer)
        : m_packer(buffer)
    {
    }

    void write(const std::string &value)
    {
        m_packer.pack_str(static_cast<std::uint32_t>(value.size()));
        m_packer.pack_str_body(value.data(), static_cast<std::uint32_t>(value.size()));
    }
    template <typename Number>
    requires std::is_arithmetic_v<Number>
    void write(Number value) { m_packer.pack(value); }
    template <typename Tag>
    void write(const NameId<Tag> &value)
    {
        write(value.text());
    }
    template <typename Tag>
    void write(const NumberId<Tag> &value)
    {
        write(value.value());
    }
    void write(Duration value) { write(value.count()); }
    void write(WallTime value) { write(value.time_since_epoch()); }
    void write(ErrorKind value) { write(std::string(answerFor(value).name)); }
    template <typename Enumeration>
    requires std::is_enum_v<Enumeration>
    void write(Enumeration value) { write(std::string(nameOf(value))); }
    template <typename Value>
    void write(const std::optional<Value> &value)
    {
        if (value)
            write(*value);
        else
            m_packer.pack_nil();
    }
    template <typename Value>
    void write(const std::vector<Value> &values)
    {
        m_packer.pack_array(static_cast<std::uint32_t>(values.size()));
        for (const Value &value : values)
            write(value);
    }
    template <fields::Message Value>
    void write(const Value &message)
    {
        std::uint32_t count = 0;
        fields::visit(message, [&](const char *, const auto &) { ++count; });
        m_packer.pack_map(count);
        fields::visit(message, [&](const char *name, const auto &value) {
            m_packer.pack(name);
            write(value);
        });
    }
    /// Writes a map with one entry, whose key is the kind of message.
    template <typename Value>
    void writeNamed(const char *name, const Value &message)
    {
        m_packer.pack_map(1);
        m_packer.pack(name);
        write(message);
    }

private:
    msgpack::packer<msgpack::sbuffer> m_packer;
};

} // namespace oleander
