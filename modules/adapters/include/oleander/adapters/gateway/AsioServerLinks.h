#pragma once

#include <oleander/adapters/gateway/HeaderNames.h>
#include <oleander/gateway/ServerLink.h>

namespace boost::asio {
class io_context;
}

namespace oleander {

/// HTTP/1.1 connections to backend servers, over Asio and Beast, on the context's thread.
///
/// A reply counts only when it is complete and carries the id of the request that it answers. An
/// extra reply to an earlier request is skipped; bytes that are no reply end the connection.
class AsioServerLinks final : public gateway::ServerLinkFactory
{
public:
    /// The context must outlive the factory and its links.
    AsioServerLinks(boost::asio::io_context &context, HeaderNames names);

    std::unique_ptr<gateway::ServerLink> open(const Address &address,
                                              gateway::ServerLinkListener &listener) override;

private:
    boost::asio::io_context &m_context;
    HeaderNames m_names;
};

} // namespace oleander
