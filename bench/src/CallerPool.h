#pragma once

#include "CallerConnection.h"

#include <random>
#include <vector>

namespace oleander::bench {

/// The balancer in front of the daemons: each query goes to a daemon at random, and to another one
/// when that takes no connection. A connection that was closed while it was idle is such a case as
/// well only if nothing was sent on it.
class CallerPool
{
public:
    CallerPool(asio::io_context &context, const std::vector<asio::ip::tcp::endpoint> &targets,
               std::uint64_t seed);

    /// Sends a query. Done is called once with Replied or Lost.
    void ask(const std::string &body, CallerConnection::Done done);
    /// Sends to the target of this number, modulo the number of targets.
    void askAt(std::size_t target, const std::string &body, CallerConnection::Done done);

private:
    struct Target
    {
        asio::ip::tcp::endpoint endpoint;
        std::vector<std::shared_ptr<CallerConnection>> idle;
    };

    void attempt(std::size_t target, std::size_t attemptsLeft, const std::string &body,
                 CallerConnection::Done done);

    asio::io_context &m_context;
    std::vector<Target> m_targets;
    std::mt19937_64 m_random;
};

} // namespace oleander::bench
