#include "ServerScript.h"

namespace oleander::testing {

struct ScriptedPeer::Accepted
{
    explicit Accepted(asio::ip::tcp::socket accepted)
        : socket(std::move(accepted))
    {
    }

    asio::ip::tcp::socket socket;
    std::array<char, 65536> input{};
};

ScriptedPeer::ScriptedPeer(asio::io_context &context, Answer answer)
    : m_acceptor(context, {asio::ip::make_address("127.0.0.1"), 0})
    , m_answer(std::move(answer))
{
    accept();
}

std::string ScriptedPeer::address() const
{
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
}

void ScriptedPeer::closeConnections()
{
    for (const auto &accepted : m_accepted)
        accepted->socket.close();
    m_accepted.clear();
}

void ScriptedPeer::push(const std::string &bytes)
{
    for (const auto &accepted : m_accepted)
        asio::write(accepted->socket, asio::buffer(bytes));
}

void ScriptedPeer::accept()
{
    m_acceptor.async_accept([this](const auto &error, asio::ip::tcp::socket socket) {
        if (error)
            return;
        m_accepted.push_back(std::make_shared<Accepted>(std::move(socket)));
        read(m_accepted.back());
        accept();
    });
}

void ScriptedPeer::read(const std::shared_ptr<Accepted> &accepted)
{
    accepted->socket.async_read_some(
        asio::buffer(accepted->input), [this, accepted](const auto &error, std::size_t bytes) {
            if (error)
                return;
            const auto answer = m_answer(std::string(accepted->input.data(), bytes));
            if (!answer.empty())
                asio::write(accepted->socket, asio::buffer(answer));
            read(accepted);
        });
}

void RecordingListener::onConnectionOpened(ConnectionId connection)
{
    opened.push_back(connection);
}

void RecordingListener::onConnectionEnded(ConnectionId connection, ConnectionEnd end)
{
    ended.emplace_back(connection, end);
}

void RecordingListener::onReply(ConnectionId connection, const SubReply &reply)
{
    replies.emplace_back(connection, reply);
    if (whenReplied)
        whenReplied(connection);
}

std::string httpReply(const std::string &body, const std::string &extraFields)
{
    return "HTTP/1.1 200 OK\r\n" + extraFields + "Content-Length: " + std::to_string(body.size())
           + "\r\n\r\n" + body;
}

bool runUntil(asio::io_context &context, const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + seconds(20);
    while (!condition() && std::chrono::steady_clock::now() < end) {
        context.restart();
        context.run_one_for(milliseconds(5));
    }
    return condition();
}

void runAMoment(asio::io_context &context)
{
    context.restart();
    context.run_for(milliseconds(30));
}

} // namespace oleander::testing
