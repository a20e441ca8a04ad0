#include "ServerConnection.h"

#include <oleander/adapters/servers/AsioServerNetwork.h>

#include <random>
#include <unordered_map>

namespace oleander {

namespace {

ServerClientId drawClientId()
{
    std::random_device source;
    const auto high = static_cast<std::uint64_t>(source());
    return ServerClientId((high << 32U) | source());
}

} // namespace

struct AsioServerNetwork::State
{
    asio::io_context &context;
    ServerNetworkLimits limits;
    ServerClientId client;
    std::unordered_map<ConnectionId, std::shared_ptr<ServerConnection>> connections;
    std::uint64_t lastConnection = 0;

    [[nodiscard]] ServerConnection *find(ConnectionId id) const
    {
        const auto found = connections.find(id);
        return found == connections.end() ? nullptr : found->second.get();
    }

    static void forget(void *state, ConnectionId connection)
    {
        static_cast<State *>(state)->connections.erase(connection);
    }
};

AsioServerNetwork::AsioServerNetwork(boost::asio::io_context &context, ServerNetworkLimits limits)
    : m_state(std::make_unique<State>(State{context, limits, drawClientId(), {}, 0}))
{
}

AsioServerNetwork::~AsioServerNetwork()
{
    for (const auto &[id, connection] : m_state->connections)
        connection->close();
}

void AsioServerNetwork::send(ConnectionId connection, const SubRequest &request)
{
    if (auto *found = m_state->find(connection))
        found->send(request);
}

void AsioServerNetwork::cancel(ConnectionId idle, SubRequestId request)
{
    if (auto *found = m_state->find(idle))
        found->cancel(request);
}

ConnectionId AsioServerNetwork::open(const Server &server, ServerNetworkListener &listener)
{
    const ConnectionId id(++m_state->lastConnection);
    const ServerConnection::Owner owner{m_state.get(), &State::forget, m_state->client};
    auto connection =
        std::make_shared<ServerConnection>(m_state->context, id, listener, m_state->limits, owner);
    m_state->connections.emplace(id, connection);
    connection->open(server.address);
    return id;
}

void AsioServerNetwork::close(ConnectionId connection)
{
    const auto found = m_state->connections.find(connection);
    if (found == m_state->connections.end())
        return;
    const auto kept = found->second;
    m_state->connections.erase(found);
    kept->close();
}

} // namespace oleander
