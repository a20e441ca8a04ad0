#pragma once

#include <oleander/adapters/callers/HttpLimits.h>
#include <oleander/core/Reason.h>
#include <oleander/ports/EventLog.h>
#include <oleander/ports/QueryHandler.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace boost::asio {
class io_context;
}

namespace oleander {

/// The HTTP/1.1 server for callers: `POST /v1/query` with a JSON query, answered by a JSON answer.
///
/// One server a worker thread, all listening on the same address; the system spreads new
/// connections over them. Use: construct, listen(), and end with beginStop(). Everything, also
/// the handler's callbacks, is on the thread that runs the context.
///
/// Whatever a caller sends ends as a query, as an answer with an error that names the JSON path, or
/// as a closed connection; HttpLimits bounds what it costs until then. A caller that closes its
/// connection, or its sending side, abandons its query. Queries sent ahead on a connection wait
/// until the one before is answered.
///
/// Neighbours: QueryCodec has the JSON form, OperatorServer the operators' pages.
class CallerServer
{
public:
    /// The context, the handler and the log must outlive the server.
    CallerServer(boost::asio::io_context &context, QueryHandler &handler, EventLog &log,
                 HttpLimits limits = {});
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;
    /// Closes all connections and abandons their queries.
    ~CallerServer();

    /// Begins to accept on an IP number and port; port 0 lets the system choose. Returns the port.
    std::optional<std::uint16_t> listen(const std::string &address, Reason &reason);

    /// Planned stop: accepts nothing more, answers what is under way with `Connection: close`, and
    /// calls `whenEnded` once after the last connection has ended.
    void beginStop(std::function<void()> whenEnded);

    [[nodiscard]] HttpStatistics statistics() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace oleander
