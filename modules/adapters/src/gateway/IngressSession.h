#pragma once

#include "concurrency/AsioHeaders.h"
#include "concurrency/GrowingStringBody.h"

#include <oleander/adapters/gateway/CallerIngress.h>
#include <oleander/adapters/resources/ProcessMemory.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <memory>
#include <optional>

namespace oleander {

class IngressSession;

/// What the sessions of one ingress share.
struct IngressShared
{
    TimerService &timer;
    HeaderNames names;
    IngressHandler handler;
    gateway::CallerLimits limits;
    IngressCounts counts;
    /// Null if what sessions hold is not limited.
    std::shared_ptr<ProcessMemory> memory;
    bool isStopping = false;
    /// Called when a session has closed its connection.
    std::function<void(IngressSession &)> whenClosed;
};

/// One caller's connection.
class IngressSession : public std::enable_shared_from_this<IngressSession>,
                       public EvictableConnection
{
public:
    IngressSession(std::shared_ptr<IngressShared> shared, boost::asio::ip::tcp::socket socket);

    void start();
    /// Closes at once; a request that is under way is left.
    void close();
    /// Closes when the caller has taken too long to send a request or to read an answer, or has
    /// sent none.
    void closeIfOverdue(TimePoint now);

    // EvictableConnection
    [[nodiscard]] HeldConnection held(TimePoint now) const override;
    void evict() override { close(); }

    /// A request is being answered.
    [[nodiscard]] bool isBusy() const { return m_phase == Phase::Answering || m_isWriting; }
    /// Bytes of a request are there, but not the whole.
    [[nodiscard]] bool isReceiving() const { return m_phase == Phase::Receiving; }
    /// Bytes of a request are there, but no more have come for some time.
    [[nodiscard]] bool isStalled(TimePoint now) const;
    /// When the present wait for bytes of a request began.
    [[nodiscard]] TimePoint waitingSince() const { return m_waitingSince; }

private:
    enum class Phase { Idle, Receiving, Answering, Closed };
    using Parser = boost::beast::http::request_parser<GrowingStringBody>;

    void read();
    void onReadable(const boost::system::error_code &error);
    void take(boost::asio::const_buffer bytes);
    void parse();
    bool admit();
    void onHeader();
    void onRequest();
    void refuseForMemory();
    void refuse(const gateway::CallerAnswer &answer, bool isKept);
    void refuseMalformed(const boost::system::error_code &error);
    void answer(const gateway::CallerAnswer &answer);
    void write(const gateway::CallerAnswer &answer);
    void onWritten(const boost::system::error_code &error);
    void discardUntilClosed();

    // Memory
    void enlargeReceiveBuffer(std::size_t bodyBytes);
    void restoreReceiveBuffer();
    void fitSendBuffer();
    void chargeUnread();
    void chargeReading();

    std::shared_ptr<IngressShared> m_shared;
    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_in;
    std::string m_out;
    std::optional<Parser> m_parser;
    Phase m_phase = Phase::Idle;
    TimePoint m_waitingSince{};
    /// When the answer that is being written was begun.
    TimePoint m_writingSince{};
    bool m_isReading = false;
    bool m_isWriting = false;
    bool m_isClosing = false;
    bool m_isHead = false;
    bool m_wasContinueSent = false;
    bool m_isAdmitted = false;
    /// Memory that the fields of the present request take.
    std::size_t m_headBytes = 0;
    /// When bytes last moved on the connection.
    TimePoint m_progressAt{};
    std::size_t m_receiveBuffer = receiveBufferBytes;
    std::size_t m_sendBuffer = 0;
    MemoryCharge m_unfinished;
    MemoryCharge m_underWay;
    MemoryCharge m_ahead;
    MemoryCharge m_unread;
    /// Number of the present request, so that answers to earlier ones are dropped.
    std::uint64_t m_requestNumber = 0;
    std::shared_ptr<gateway::Call> m_call;
    RequestId m_requestId;
};

} // namespace oleander
