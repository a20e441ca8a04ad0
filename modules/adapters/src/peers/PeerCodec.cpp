#include "peers/MessagePackReader.h"
#include "peers/MessagePackWriter.h"

#include <oleander/adapters/peers/PeerCodec.h>

namespace oleander {

namespace {

constexpr const char *queryName = "query";
constexpr const char *answerName = "answer";
constexpr const char *viewsName = "views";
constexpr const char *registryQuestionName = "registryQuestion";
constexpr const char *registryNewsName = "registryNews";
constexpr const char *packedRegistryNewsName = "registryNewsPacked";
constexpr const char *gatherName = "gather";
constexpr const char *gatheredName = "gathered";

template <typename Message>
std::string encode(const char *name, const Message &message)
{
    msgpack::sbuffer buffer;
    MessagePackWriter(buffer).writeNamed(name, message);
    return {buffer.data(), buffer.size()};
}

/// One encoded message: the kind of message and its members.
struct Envelope
{
    msgpack::object_handle memory;
    std::string_view name;
    msgpack::object members;
};

std::optional<Envelope> openEnvelope(std::string_view bytes, Reason &reason)
{
    if (bytes.size() > maximumPeerMessageBytes) {
        reason.set(ErrorKind::BodyTooLarge, "a message between daemons is too large");
        return std::nullopt;
    }
    const auto refer = [](msgpack::type::object_type, std::size_t, void *) { return true; };
    Envelope envelope;
    try {
        std::size_t end = 0;
        msgpack::unpack(envelope.memory, bytes.data(), bytes.size(), end, refer, nullptr,
                        peerMessageLimits());
        const msgpack::object &root = envelope.memory.get();
        const bool isMessage = end == bytes.size() && root.type == msgpack::type::MAP
                               && root.via.map.size == 1
                               && root.via.map.ptr[0].key.type == msgpack::type::STR;
        if (isMessage) {
            const msgpack::object_kv &entry = root.via.map.ptr[0];
            envelope.name = {entry.key.via.str.ptr, entry.key.via.str.size};
            envelope.members = entry.val;
            return envelope;
        }
    } catch (const msgpack::unpack_error &) {
        // Truncated, malformed or above a limit; rejected below.
    }
    reason.set(ErrorKind::BadRequest, "no well-formed message between daemons");
    return std::nullopt;
}

template <typename Message, typename Result>
std::optional<Result> decodeMembers(const Envelope &envelope, Reason &reason)
{
    Message message;
    MessagePackReader reader;
    reader.read(envelope.members, message);
    if constexpr (std::is_same_v<Message, PackedRegistryChanges>) {
        if (reader.isGood())
            return unpack(std::move(message), reason);
    } else if (reader.isGood()) {
        return Result(std::move(message));
    }
    reason.set(ErrorKind::BadRequest,
               "message '" + std::string(envelope.name) + "', " + reader.fault());
    return std::nullopt;
}

/// One kind of message and the name that it has on the wire.
template <typename Message>
struct Kind
{
    std::string_view name;
};

/// Decodes a message of any of the kinds.
template <typename Result, typename... Messages>
std::optional<Result> decode(std::string_view bytes, Reason &reason, Kind<Messages>... kinds)
{
    const std::optional<Envelope> envelope = openEnvelope(bytes, reason);
    if (!envelope)
        return std::nullopt;
    std::optional<Result> result;
    const auto decodeIfNamed = [&]<typename Message>(const Kind<Message> &kind) {
        if (envelope->name != kind.name)
            return false;
        result = decodeMembers<Message, Result>(*envelope, reason);
        return true;
    };
    if (!(decodeIfNamed(kinds) || ...))
        reason.set(ErrorKind::BadRequest, "unknown kind of message between daemons");
    return result;
}

} // namespace

std::string encodePeerRequest(const PeerRequest &request)
{
    if (const auto *query = std::get_if<PeerQuery>(&request))
        return encode(queryName, *query);
    if (const auto *question = std::get_if<RegistryChangesRequest>(&request))
        return encode(registryQuestionName, *question);
    if (const auto *gather = std::get_if<PeerGather>(&request))
        return encode(gatherName, *gather);
    return encode(viewsName, std::get<ViewExchange>(request));
}

std::string encodePeerReply(const PeerReply &reply)
{
    if (const auto *answer = std::get_if<PeerAnswer>(&reply))
        return encode(answerName, *answer);
    if (const auto *news = std::get_if<RegistryChanges>(&reply)) {
        if (isWorthPacking(*news))
            return encode(packedRegistryNewsName, pack(*news));
        return encode(registryNewsName, *news);
    }
    if (const auto *gathered = std::get_if<PeerGatherReply>(&reply))
        return encode(gatheredName, *gathered);
    return encode(viewsName, std::get<ViewExchange>(reply));
}

std::optional<PeerRequest> decodePeerRequest(std::string_view bytes, Reason &reason)
{
    return decode<PeerRequest>(
        bytes, reason, Kind<PeerQuery>{queryName}, Kind<ViewExchange>{viewsName},
        Kind<RegistryChangesRequest>{registryQuestionName}, Kind<PeerGather>{gatherName});
}

std::optional<PeerReply> decodePeerReply(std::string_view bytes, Reason &reason)
{
    return decode<PeerReply>(bytes, reason, Kind<PeerAnswer>{answerName},
                             Kind<ViewExchange>{viewsName}, Kind<RegistryChanges>{registryNewsName},
                             Kind<PackedRegistryChanges>{packedRegistryNewsName},
                             Kind<PeerGatherReply>{gatheredName});
}

} // namespace oleander
