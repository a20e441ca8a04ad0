#include "CallerPool.h"

namespace oleander::bench {

CallerPool::CallerPool(asio::io_context &context,
                       const std::vector<asio::ip::tcp::endpoint> &targets, std::uint64_t seed)
    : m_context(context)
    , m_random(seed)
{
    for (const auto &endpoint : targets)
        m_targets.push_back({endpoint, {}});
}

void CallerPool::ask(const std::string &body, CallerConnection::Done done)
{
    attempt(m_random() % m_targets.size(), m_targets.size(), body, std::move(done));
}

void CallerPool::askAt(std::size_t target, const std::string &body, CallerConnection::Done done)
{
    attempt(target % m_targets.size(), m_targets.size(), body, std::move(done));
}

void CallerPool::attempt(std::size_t target, std::size_t attemptsLeft, const std::string &body,
                         CallerConnection::Done done)
{
    auto &idle = m_targets[target].idle;
    std::shared_ptr<CallerConnection> connection;
    if (idle.empty()) {
        connection = std::make_shared<CallerConnection>(m_context, m_targets[target].endpoint);
    } else {
        connection = idle.back();
        idle.pop_back();
    }
    connection->ask(body, [this, target, attemptsLeft, body, connection,
                           done = std::move(done)](CallerReply reply) mutable {
        if (connection->isUsable())
            m_targets[target].idle.push_back(connection);
        if (reply.end == CallerReply::End::NotSent && attemptsLeft > 1)
            attempt((target + 1) % m_targets.size(), attemptsLeft - 1, body, std::move(done));
        else
            done(std::move(reply));
    });
}

} // namespace oleander::bench
