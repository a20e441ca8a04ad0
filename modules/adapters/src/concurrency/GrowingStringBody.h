#pragma once

#include "concurrency/AsioHeaders.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/optional.hpp>

#include <algorithm>
#include <cstdint>
#include <limits>
#include <string>
#include <utility>

namespace oleander {

/// Body of a message whose sender is not trusted. Unlike Beast's string_body, it does not reserve
/// memory for the stated length ahead, which would end the process when the length is absurd.
struct GrowingStringBody
{
    using value_type = std::string;

    static std::uint64_t size(const value_type &body) { return body.size(); }

    // The name is that of Beast's concept.
    // NOLINTNEXTLINE(readability-identifier-naming)
    class reader
    {
    public:
        template <bool isRequest, typename Fields>
        reader(boost::beast::http::header<isRequest, Fields> &, value_type &body)
            : m_body(body)
        {
        }
        void init(const boost::optional<std::uint64_t> &length, boost::system::error_code &error)
        {
            m_length = length.value_or(std::numeric_limits<std::uint64_t>::max());
            error = {};
        }
        template <typename Buffers>
        std::size_t put(const Buffers &buffers, boost::system::error_code &error)
        {
            error = {};
            const std::size_t before = m_body.size();
            for (auto part = boost::asio::buffer_sequence_begin(buffers);
                 part != boost::asio::buffer_sequence_end(buffers); ++part) {
                const boost::asio::const_buffer bytes = *part;
                makeRoom(bytes.size());
                m_body.append(static_cast<const char *>(bytes.data()), bytes.size());
            }
            return m_body.size() - before;
        }
        void finish(boost::system::error_code &error) { error = {}; }

    private:
        /// Doubles the memory like append(), but never beyond the stated length.
        void makeRoom(std::size_t count)
        {
            const std::size_t needed = m_body.size() + count;
            if (needed <= m_body.capacity())
                return;
            const auto doubled = std::uint64_t{2} * m_body.capacity();
            value_type grown;
            grown.reserve(std::max<std::size_t>(needed, std::min(doubled, m_length)));
            grown += m_body;
            m_body = std::move(grown);
        }

        value_type &m_body;
        std::uint64_t m_length = 0;
    };

    using writer = boost::beast::http::string_body::writer;
};

} // namespace oleander
