#include "peers/PeerClientSession.h"

#include "concurrency/Listening.h"
#include "peers/PeerProtocol.h"

#include <oleander/adapters/peers/PeerCodec.h>
#include <oleander/adapters/time/SteadyTime.h>

#include <algorithm>

namespace oleander {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;

PeerOutcome withoutReply(PeerCallStatus proof)
{
    return {proof, std::nullopt};
}

/// Reduces the time left of a query by the time that the call waited for the session to open.
void setTimeLeft(PeerRequest &request, Duration timeLeft)
{
    if (auto *query = std::get_if<PeerQuery>(&request))
        query->timeLeft = std::min(query->timeLeft, timeLeft);
    if (auto *gather = std::get_if<PeerGather>(&request)) {
        const Duration waited = std::max(Duration{}, gather->timeLeft - timeLeft);
        gather->timeLeft -= waited;
        gather->replyWithin -= waited;
    }
}

template <typename Headers>
std::string headerOf(const Headers &headers, std::string_view name)
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

} // namespace

PeerClientSession::PeerClientSession(asio::io_context &context, Instance peer,
                                     PeerClientOwner &owner)
    : m_context(context)
    , m_peer(std::move(peer))
    , m_owner(&owner)
    , m_startedAt(steadyNow())
    , m_lastUsed(m_startedAt)
{
}

// Opening and closing

void PeerClientSession::open()
{
    Reason reason;
    const auto endpoint = endpointOf(m_peer.peerAddress, reason);
    if (!endpoint) {
        asio::post(m_context, [self = shared_from_this(), why = reason.text] {
            self->endSession(why, false);
        });
        return;
    }
    m_connecting.emplace(m_context);
    m_connecting->async_connect(*endpoint, [self = shared_from_this()](const error_code &error) {
        if (self->m_state != State::Connecting)
            return;
        if (error)
            self->endSession("can not connect: " + error.message(), false);
        else
            self->onConnected();
    });
}

void PeerClientSession::close()
{
    m_state = State::Closed;
    m_connecting.reset();
    if (m_transport)
        m_transport->close();
}

void PeerClientSession::tick(TimePoint now)
{
    const bool isOpening = m_state == State::Connecting || m_state == State::Greeting;
    if (isOpening && now - m_startedAt > protocol::handshakeTimeout) {
        endSession("session could not be established within 2 s", false);
        return;
    }
    if (!m_calls.empty())
        m_lastUsed = now;
    if (m_transport)
        m_transport->checkSilence(now, !m_streams.empty());
    if (m_state == State::Open && now - m_lastUsed > protocol::idleTimeout)
        drain();
}

void PeerClientSession::resetSilence(TimePoint now)
{
    if (m_transport)
        m_transport->resetSilence(now);
}

void PeerClientSession::ping()
{
    m_lastUsed = steadyNow();
    if (m_transport)
        m_transport->ping(m_lastUsed);
}

bool PeerClientSession::hasReceivedSince(TimePoint time) const
{
    return m_transport && m_transport->hasReceivedSince(time);
}

bool PeerClientSession::acceptsCalls() const
{
    return m_state == State::Connecting || m_state == State::Greeting || m_state == State::Open;
}

void PeerClientSession::drain()
{
    if (m_state == State::Closed)
        return;
    m_state = State::Draining;
    endIfDrained();
}

// Handshake

void PeerClientSession::onConnected()
{
    m_state = State::Greeting;
    Http2Listener &listener = *this;
    m_transport = std::make_shared<Http2Transport>(std::move(*m_connecting),
                                                   Http2Transport::Role::Client, listener);
    m_connecting.reset();
    m_transport->start();
    sendGreeting();
}

void PeerClientSession::sendGreeting()
{
    const PeerIdentity &identity = m_owner->identity();
    m_greeting = {identity.fleet, identity.instance, m_peer.id, makePeerNonce(), {}};
    m_greetingStream =
        m_transport->submitRequest({{protocol::methodHeader, protocol::method},
                                    {protocol::schemeHeader, protocol::scheme},
                                    {protocol::authorityHeader, m_peer.peerAddress},
                                    {protocol::pathHeader, protocol::greetingPath},
                                    {protocol::versionHeader, protocol::version},
                                    {protocol::fleetHeader, identity.fleet.text()},
                                    {protocol::instanceHeader, identity.instance.text()},
                                    {protocol::nonceHeader, m_greeting.clientNonce}},
                                   {});
    m_streams[m_greetingStream] = {};
}

void PeerClientSession::onGreetingAnswered(const Stream &stream)
{
    if (stream.status != protocol::statusOk) {
        endSession("refused by the peer: " + stream.body, true);
        return;
    }
    const std::string instance = headerOf(stream.headers, protocol::instanceHeader);
    if (instance != m_peer.id.text()) {
        endSession("the peer at " + m_peer.peerAddress + " identifies itself as " + instance, true);
        return;
    }
    m_greeting.serverNonce = headerOf(stream.headers, protocol::nonceHeader);
    const std::string expected =
        makePeerProof(PeerSide::Server, m_greeting, m_owner->identity().key);
    const bool isAuthenticated =
        isPeerNonce(m_greeting.serverNonce)
        && isSameProof(expected, headerOf(stream.headers, protocol::proofHeader));
    if (isAuthenticated)
        sendProof();
    else
        endSession("the peer does not hold the fleet's key", true);
}

void PeerClientSession::sendProof()
{
    const std::string proof = makePeerProof(PeerSide::Client, m_greeting, m_owner->identity().key);
    m_proofStream = m_transport->submitRequest({{protocol::methodHeader, protocol::method},
                                                {protocol::schemeHeader, protocol::scheme},
                                                {protocol::authorityHeader, m_peer.peerAddress},
                                                {protocol::pathHeader, protocol::proofPath},
                                                {protocol::proofHeader, proof}},
                                               {});
    m_streams[m_proofStream] = {};
    m_state = State::Open;
    // Calls can be sent without waiting for the answer, since the peer reads the proof first.
    sendWaiting();
}

void PeerClientSession::onProofAnswered(const Stream &stream)
{
    if (stream.status != protocol::statusOk) {
        endSession("refused by the peer: " + stream.body, true);
        return;
    }
    m_wasOpen = true;
    m_owner->onClientOpened(*this);
}

// Calls

void PeerClientSession::startCall(PeerCallId call, PeerRequest request, TimePoint deadline)
{
    WaitingCall waiting{std::move(request), deadline};
    if (m_state == State::Open)
        sendCall(call, std::move(waiting));
    else
        m_waiting.emplace(call, std::move(waiting));
}

void PeerClientSession::sendWaiting()
{
    for (auto &[call, waiting] : std::exchange(m_waiting, {}))
        sendCall(call, std::move(waiting));
}

void PeerClientSession::sendCall(PeerCallId call, WaitingCall waiting)
{
    m_lastUsed = steadyNow();
    setTimeLeft(waiting.request, waiting.deadline - m_lastUsed);
    std::string body = encodePeerRequest(waiting.request);
    const bool isTooLarge = body.size() > maximumPeerMessageBytes;
    const Http2StreamId id =
        isTooLarge ? -1
                   : m_transport->submitRequest({{protocol::methodHeader, protocol::method},
                                                 {protocol::schemeHeader, protocol::scheme},
                                                 {protocol::authorityHeader, m_peer.peerAddress},
                                                 {protocol::pathHeader, protocol::callPath}},
                                                std::move(body));
    if (id < 0) {
        asio::post(m_context, [self = shared_from_this(), call] {
            if (self->m_state != State::Closed)
                self->m_owner->onCallEnded(call, withoutReply(PeerCallStatus::NotProcessed));
        });
        return;
    }
    m_streams[id].call = call;
    m_calls.emplace(call, id);
}

PeerCallStatus PeerClientSession::abandonCall(PeerCallId call)
{
    if (m_waiting.erase(call) > 0)
        return PeerCallStatus::NotProcessed;
    const auto found = m_calls.find(call);
    if (found == m_calls.end())
        return PeerCallStatus::NotProcessed;
    const Http2StreamId id = found->second;
    m_calls.erase(found);
    const bool isWritten = m_streams.at(id).isWritten;
    m_streams.erase(id);
    m_transport->resetStream(id, NGHTTP2_CANCEL);
    endIfDrained();
    return isWritten ? PeerCallStatus::MaybeProcessed : PeerCallStatus::NotProcessed;
}

// Http2Listener

void PeerClientSession::onHeader(Http2StreamId id, std::string_view name, std::string_view value)
{
    const auto found = m_streams.find(id);
    if (found == m_streams.end())
        return;
    Stream &stream = found->second;
    const std::string_view kept = value.substr(0, protocol::maximumHeaderBytes);
    if (name == protocol::statusHeader)
        stream.status = kept;
    else if (id == m_greetingStream && name.starts_with("oleander-"))
        stream.headers.insert_or_assign(std::string(name), std::string(kept));
}

void PeerClientSession::onBody(Http2StreamId id, std::string_view bytes)
{
    const auto found = m_streams.find(id);
    if (found == m_streams.end())
        return;
    Stream &stream = found->second;
    const bool isReply = !stream.call.isNone() && stream.status == protocol::statusOk;
    const std::size_t limit = isReply ? maximumPeerMessageBytes : protocol::maximumReasonBytes;
    if (stream.body.size() + bytes.size() <= limit)
        stream.body += bytes;
    else
        m_transport->resetStream(id, NGHTTP2_CANCEL);
}

void PeerClientSession::onMessageEnd(Http2StreamId id)
{
    const auto found = m_streams.find(id);
    if (found != m_streams.end())
        found->second.isComplete = true;
}

void PeerClientSession::onHeadersWritten(Http2StreamId id)
{
    const auto found = m_streams.find(id);
    if (found != m_streams.end())
        found->second.isWritten = true;
}

void PeerClientSession::onStreamEnded(Http2StreamId id, std::uint32_t error)
{
    const auto self = shared_from_this();
    auto node = m_streams.extract(id);
    if (node.empty())
        return;
    const Stream &stream = node.mapped();
    if (!stream.call.isNone()) {
        endCall(stream, error);
        endIfDrained();
    } else if (!stream.isComplete) {
        endSession("the peer ended the handshake early", false);
    } else if (id == m_greetingStream) {
        onGreetingAnswered(stream);
    } else {
        onProofAnswered(stream);
    }
}

void PeerClientSession::onGoAway()
{
    drain();
}

void PeerClientSession::onTransportEnded(const std::string &why)
{
    endSession(why, false);
}

// Ending

void PeerClientSession::endCall(const Stream &stream, std::uint32_t error)
{
    m_calls.erase(stream.call);
    const bool isAnswered = stream.isComplete && error == NGHTTP2_NO_ERROR;
    if (isAnswered && stream.status == protocol::statusOk) {
        Reason reason;
        auto reply = decodePeerReply(stream.body, reason);
        const PeerCallStatus proof =
            reply ? PeerCallStatus::Replied : PeerCallStatus::MaybeProcessed;
        m_owner->onCallEnded(stream.call, {proof, std::move(reply)});
        return;
    }
    const bool isUndecodable = isAnswered && stream.status == protocol::statusBadRequest;
    const bool isNotProcessed =
        !stream.isWritten || error == NGHTTP2_REFUSED_STREAM || isUndecodable;
    m_owner->onCallEnded(stream.call,
                         withoutReply(isNotProcessed ? PeerCallStatus::NotProcessed
                                                     : PeerCallStatus::MaybeProcessed));
}

void PeerClientSession::endIfDrained()
{
    if (m_state == State::Draining && m_calls.empty() && m_waiting.empty())
        endSession({}, false);
}

void PeerClientSession::endSession(const std::string &why, bool isRefusal)
{
    if (m_state == State::Closed)
        return;
    const auto self = shared_from_this();
    close();
    for (const auto &[call, waiting] : std::exchange(m_waiting, {}))
        m_owner->onCallEnded(call, withoutReply(PeerCallStatus::NotProcessed));
    m_calls.clear();
    for (const auto &[id, stream] : std::exchange(m_streams, {})) {
        const bool isNotProcessed = !stream.isWritten || isRefusal;
        if (!stream.call.isNone())
            m_owner->onCallEnded(stream.call,
                                 withoutReply(isNotProcessed ? PeerCallStatus::NotProcessed
                                                             : PeerCallStatus::MaybeProcessed));
    }
    m_owner->onClientEnded(*this, why, isRefusal);
}

} // namespace oleander
