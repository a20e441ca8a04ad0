#pragma once

#include "servers/Asio.h"

#include <oleander/adapters/servers/AsioServerNetwork.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace oleander::testing {

/// A TCP peer that hands each received chunk to a function and sends back what that returns.
class ScriptedPeer
{
public:
    using Answer = std::function<std::string(const std::string &)>;

    ScriptedPeer(asio::io_context &context, Answer answer);

    [[nodiscard]] std::string address() const;
    /// Closes all accepted connections.
    void closeConnections();
    /// Sends on all accepted connections, asked or not.
    void push(const std::string &bytes);

private:
    struct Accepted;
    void accept();
    void read(const std::shared_ptr<Accepted> &accepted);

    asio::ip::tcp::acceptor m_acceptor;
    Answer m_answer;
    std::vector<std::shared_ptr<Accepted>> m_accepted;
};

/// Notes what a ServerNetwork reports.
struct RecordingListener final : ServerNetworkListener
{
    void onConnectionOpened(ConnectionId connection) override;
    void onConnectionEnded(ConnectionId connection, ConnectionEnd end) override;
    void onReply(ConnectionId connection, const SubReply &reply) override;

    std::vector<ConnectionId> opened;
    std::vector<std::pair<ConnectionId, ConnectionEnd>> ended;
    std::vector<std::pair<ConnectionId, SubReply>> replies;
    std::function<void(ConnectionId)> whenReplied;
};

/// An HTTP reply with this body.
std::string httpReply(const std::string &body, const std::string &extraFields = {});

/// Runs the context until the condition holds; false after a generous bound.
bool runUntil(asio::io_context &context, const std::function<bool()> &condition);
/// Runs whatever is ready or becomes ready within a moment.
void runAMoment(asio::io_context &context);

} // namespace oleander::testing
