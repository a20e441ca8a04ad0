#pragma once

#include <oleander/adapters/gateway/HeaderNames.h>
#include <oleander/gateway/ServerLink.h>

#include <cstddef>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace oleander {

/// HTTP/1.1 connections to backend servers, over Asio and Beast, on the context's thread.
///
/// A reply counts only when it is complete and carries the id of the request that it answers. An
/// extra reply to an earlier request is skipped; bytes that are no reply end the connection. So do
/// heads and bodies beyond a limit, more than a few skipped replies, and the connection that holds
/// most when unfinished replies of all connections hold more than a limit: a server in trouble may
/// send without end.
class AsioServerLinks final : public gateway::ServerLinkFactory
{
public:
    /// The context must outlive the factory and its links.
    AsioServerLinks(boost::asio::io_context &context, HeaderNames names);

    std::unique_ptr<gateway::ServerLink> open(const Address &address,
                                              gateway::ServerLinkListener &listener) override;

    /// Bytes of unfinished replies in memory, over all connections.
    [[nodiscard]] std::size_t heldBytes() const;

    /// The limit unless another is set.
    static constexpr std::size_t maximumHeldBytes = std::size_t{24} * 1024 * 1024;
    void setMaximumHeldBytes(std::size_t bytes);

    struct HeldReplies;

private:
    boost::asio::io_context &m_context;
    HeaderNames m_names;
    /// Shared with connections, which may outlive the factory until their last callback.
    std::shared_ptr<HeldReplies> m_held;
};

} // namespace oleander
