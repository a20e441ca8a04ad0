#include "peers/PeerServerSession.h"

#include "peers/PeerProtocol.h"

#include <oleander/adapters/peers/PeerCodec.h>
#include <oleander/adapters/time/SteadyTime.h>

namespace oleander {

namespace {

/// Bytes of unfinished requests that one session may make this daemon hold.
constexpr std::size_t maximumBufferedBytes = 16777216;
/// Streams that may be opened before the proof: the greeting and the proof itself.
constexpr int maximumUnauthenticatedStreams = 2;
/// Further streams before the proof that are refused. After that the connection is closed, since
/// refusals wait in memory when the other side does not read them.
constexpr int maximumRefusedStreams = 16;

template <typename Headers>
std::string headerOf(const Headers &headers, std::string_view name)
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

} // namespace

/// Sends the reply of one request on its stream, if the session still exists.
class PeerServerSession::Responder : public PeerResponder
{
public:
    Responder(std::weak_ptr<PeerServerSession> session, Http2StreamId stream)
        : m_session(std::move(session))
        , m_stream(stream)
    {
    }
    Responder(const Responder &) = delete;
    Responder &operator=(const Responder &) = delete;
    ~Responder() override { reset(NGHTTP2_INTERNAL_ERROR); }

    void reply(PeerReply reply) override
    {
        if (const auto session = takeSession())
            session->sendReply(m_stream, reply);
    }

    void refuse() override { reset(NGHTTP2_REFUSED_STREAM); }

    void onCancel(std::function<void()> callback) override { m_onCancel = std::move(callback); }

    void cancelled()
    {
        m_session.reset();
        const auto callback = std::exchange(m_onCancel, nullptr);
        if (callback)
            callback();
    }

private:
    /// Returns the session on the first call; null if the request has already ended.
    std::shared_ptr<PeerServerSession> takeSession()
    {
        m_onCancel = nullptr;
        auto session = std::exchange(m_session, {}).lock();
        return session && !session->m_isClosed ? session : nullptr;
    }

    void reset(std::uint32_t error)
    {
        if (const auto session = takeSession())
            session->m_transport->resetStream(m_stream, error);
    }

    std::weak_ptr<PeerServerSession> m_session;
    Http2StreamId m_stream;
    std::function<void()> m_onCancel;
};

PeerServerSession::PeerServerSession(boost::asio::ip::tcp::socket socket, PeerServerOwner &owner)
    : m_transport(std::make_shared<Http2Transport>(std::move(socket), Http2Transport::Role::Server,
                                                   static_cast<Http2Listener &>(*this)))
    , m_owner(&owner)
    , m_charge(owner.memory(), MemoryHolder::PeerMessages)
    , m_startedAt(steadyNow())
    , m_address(m_transport->remoteAddress())
{
}

void PeerServerSession::start()
{
    m_transport->start();
}

void PeerServerSession::close()
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    m_transport->close();
    m_charge.set(0);
    cancelAll();
}

void PeerServerSession::beginStop()
{
    m_transport->goAway(NGHTTP2_NO_ERROR, "planned stop");
}

void PeerServerSession::tick(TimePoint now)
{
    const auto self = shared_from_this();
    const bool isSlow = !m_isAuthenticated && now - m_startedAt > protocol::handshakeTimeout;
    const bool isIdle =
        m_streams.empty() && now - m_transport->lastReceivedAt() > 2 * protocol::idleTimeout;
    if (!isSlow && !isIdle) {
        m_transport->checkSilence(now, m_isAuthenticated && !m_streams.empty());
        return;
    }
    if (m_isClosed)
        return;
    close();
    m_owner->onServerEnded(*this, isSlow ? "no greeting in time" : "idle");
}

std::string PeerServerSession::peerName() const
{
    const std::string &instance = m_greeting.client.text();
    return (instance.empty() ? "unnamed" : instance) + " at " + m_address;
}

// Http2Listener

void PeerServerSession::onStreamBegun(Http2StreamId id)
{
    if (!m_isAuthenticated && ++m_unauthenticatedStreams > maximumUnauthenticatedStreams) {
        if (m_unauthenticatedStreams > maximumUnauthenticatedStreams + maximumRefusedStreams) {
            const auto self = shared_from_this();
            const std::string why = "too many requests before the proof";
            m_owner->onServerRefused(*this, why);
            close();
            m_owner->onServerEnded(*this, why);
            return;
        }
        m_transport->resetStream(id, NGHTTP2_REFUSED_STREAM);
        return;
    }
    m_streams[id] = {};
}

void PeerServerSession::onHeader(Http2StreamId id, std::string_view name, std::string_view value)
{
    const auto found = m_streams.find(id);
    if (found == m_streams.end())
        return;
    const std::string_view kept = value.substr(0, protocol::maximumHeaderBytes);
    if (name == protocol::pathHeader)
        found->second.path = kept;
    else if (!m_isAuthenticated && name.starts_with("oleander-"))
        found->second.headers.insert_or_assign(std::string(name), std::string(kept));
}

void PeerServerSession::onBody(Http2StreamId id, std::string_view bytes)
{
    const auto found = m_streams.find(id);
    if (found == m_streams.end())
        return;
    std::string &body = found->second.body;
    const bool isTooLarge =
        !m_isAuthenticated || body.size() + bytes.size() > maximumPeerMessageBytes
        || m_bufferedBytes + bytes.size() > maximumBufferedBytes || !hasRoomFor(bytes.size());
    if (isTooLarge) {
        dropBody(found->second);
        m_streams.erase(found);
        m_transport->resetStream(id, NGHTTP2_REFUSED_STREAM);
        return;
    }
    m_bufferedBytes += bytes.size();
    m_charge.set(m_bufferedBytes);
    body += bytes;
}

void PeerServerSession::onMessageEnd(Http2StreamId id)
{
    const auto found = m_streams.find(id);
    if (found == m_streams.end())
        return;
    Stream &stream = found->second;
    if (stream.path == protocol::greetingPath)
        onGreeting(id, stream);
    else if (stream.path == protocol::proofPath)
        onProof(id, stream);
    else if (stream.path == protocol::callPath)
        onCall(id, stream);
    else
        answer(id, protocol::statusBadRequest, "unknown path");
}

void PeerServerSession::onStreamEnded(Http2StreamId id, std::uint32_t /*error*/)
{
    auto node = m_streams.extract(id);
    if (node.empty())
        return;
    dropBody(node.mapped());
    if (const auto responder = node.mapped().responder.lock())
        responder->cancelled();
}

void PeerServerSession::onTransportEnded(const std::string &why)
{
    if (m_isClosed)
        return;
    const auto self = shared_from_this();
    m_isClosed = true;
    cancelAll();
    m_owner->onServerEnded(*this, why);
}

// Requests

void PeerServerSession::onGreeting(Http2StreamId id, const Stream &stream)
{
    const PeerIdentity &identity = m_owner->identity();
    const std::string version = headerOf(stream.headers, protocol::versionHeader);
    const std::string fleet = headerOf(stream.headers, protocol::fleetHeader);
    const std::string nonce = headerOf(stream.headers, protocol::nonceHeader);
    m_greeting.client = InstanceId(headerOf(stream.headers, protocol::instanceHeader));
    if (version != protocol::version) {
        refusePeer(id, protocol::statusBadRequest,
                   "protocol version '" + version + "' is not spoken here, only '"
                       + std::string(protocol::version) + "'");
        return;
    }
    if (fleet != identity.fleet.text()) {
        refusePeer(id, protocol::statusForbidden, "fleet '" + fleet + "' is not ours");
        return;
    }
    if (!isPeerNonce(nonce)) {
        refusePeer(id, protocol::statusBadRequest, "the nonce is malformed");
        return;
    }
    m_greeting = {identity.fleet, m_greeting.client, identity.instance, nonce, makePeerNonce()};
    const std::string proof = makePeerProof(PeerSide::Server, m_greeting, identity.key);
    m_transport->submitResponse(id,
                                {{protocol::statusHeader, protocol::statusOk},
                                 {protocol::versionHeader, protocol::version},
                                 {protocol::instanceHeader, identity.instance.text()},
                                 {protocol::nonceHeader, m_greeting.serverNonce},
                                 {protocol::proofHeader, proof}},
                                {});
}

void PeerServerSession::onProof(Http2StreamId id, const Stream &stream)
{
    const std::string expected =
        makePeerProof(PeerSide::Client, m_greeting, m_owner->identity().key);
    const bool isGreeted = !m_greeting.serverNonce.empty();
    if (!isGreeted || !isSameProof(expected, headerOf(stream.headers, protocol::proofHeader))) {
        refusePeer(id, protocol::statusForbidden, "the peer does not hold the fleet's key");
        return;
    }
    m_isAuthenticated = true;
    answer(id, protocol::statusOk, {});
    m_owner->onServerAuthenticated(*this);
}

void PeerServerSession::onCall(Http2StreamId id, Stream &stream)
{
    PeerHandler *const handler = m_owner->handler();
    if (!m_isAuthenticated || !handler) {
        m_transport->resetStream(id, NGHTTP2_REFUSED_STREAM);
        return;
    }
    Reason reason;
    std::optional<PeerRequest> request = decodePeerRequest(stream.body, reason);
    dropBody(stream);
    if (!request) {
        answer(id, protocol::statusBadRequest, reason.text);
        return;
    }
    const auto responder = std::make_shared<Responder>(weak_from_this(), id);
    stream.responder = responder;
    handler->onPeerRequest(std::move(*request), responder);
}

void PeerServerSession::answer(Http2StreamId id, std::string_view status, std::string text)
{
    m_transport->submitResponse(id, {{protocol::statusHeader, status}}, std::move(text));
}

void PeerServerSession::refusePeer(Http2StreamId id, std::string_view status,
                                   const std::string &why)
{
    if (std::exchange(m_isRefused, true))
        return;
    m_owner->onServerRefused(*this, why);
    answer(id, status, why);
    m_transport->goAway(NGHTTP2_NO_ERROR, why);
}

void PeerServerSession::sendReply(Http2StreamId id, const PeerReply &reply)
{
    std::string body = encodePeerReply(reply);
    if (body.size() > maximumPeerMessageBytes)
        m_transport->resetStream(id, NGHTTP2_INTERNAL_ERROR);
    else
        answer(id, protocol::statusOk, std::move(body));
}

bool PeerServerSession::hasRoomFor(std::size_t bytes) const
{
    const auto &memory = m_owner->memory();
    if (!memory || memory->makeRoom(MemoryHolder::PeerMessages, bytes))
        return true;
    memory->countRefusal();
    return false;
}

void PeerServerSession::dropBody(Stream &stream)
{
    m_bufferedBytes -= stream.body.size();
    m_charge.set(m_bufferedBytes);
    stream.body = {};
}

void PeerServerSession::cancelAll()
{
    for (const auto &[id, stream] : std::exchange(m_streams, {})) {
        if (const auto responder = stream.responder.lock())
            responder->cancelled();
    }
}

} // namespace oleander
