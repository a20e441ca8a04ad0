#include <oleander/adapters/servers/ServerCodec.h>

#include <msgpack.hpp>

#include <cmath>

namespace oleander {

namespace {

/// Bounds on what a body may claim, checked before memory is taken for it.
constexpr std::size_t maximumDocuments = 65536;
constexpr std::size_t maximumKeys = 64;
constexpr std::size_t maximumStringBytes = std::size_t{16} * 1024 * 1024;
constexpr std::size_t maximumDepth = 8;

/// Appends MessagePack output to a string.
struct StringSink
{
    std::string &text;

    void write(const char *data, std::size_t size) { text.append(data, size); }
};

using Packer = msgpack::packer<StringSink>;

void packText(Packer &packer, std::string_view text)
{
    packer.pack_str(static_cast<std::uint32_t>(text.size()));
    packer.pack_str_body(text.data(), static_cast<std::uint32_t>(text.size()));
}

void packBytes(Packer &packer, std::string_view bytes)
{
    packer.pack_bin(static_cast<std::uint32_t>(bytes.size()));
    packer.pack_bin_body(bytes.data(), static_cast<std::uint32_t>(bytes.size()));
}

void packDocument(Packer &packer, const Document &document)
{
    packer.pack_map(3);
    packText(packer, "id");
    packText(packer, document.id.text());
    packText(packer, "score");
    packer.pack_double(document.score);
    packText(packer, "body");
    packBytes(packer, document.body);
}

bool referToBody(msgpack::type::object_type, std::size_t, void *)
{
    return true;
}

std::string_view textOf(const msgpack::object &object)
{
    if (object.type == msgpack::type::STR)
        return {object.via.str.ptr, object.via.str.size};
    if (object.type == msgpack::type::BIN)
        return {object.via.bin.ptr, object.via.bin.size};
    throw msgpack::type_error();
}

std::uint64_t numberOf(const msgpack::object &object)
{
    if (object.type != msgpack::type::POSITIVE_INTEGER)
        throw msgpack::type_error();
    return object.via.u64;
}

bool flagOf(const msgpack::object &object)
{
    if (object.type != msgpack::type::BOOLEAN)
        throw msgpack::type_error();
    return object.via.boolean;
}

/// The packer writes a whole number as an integer, whatever its type was.
double scoreOf(const msgpack::object &object)
{
    if (object.type == msgpack::type::POSITIVE_INTEGER)
        return static_cast<double>(object.via.u64);
    if (object.type == msgpack::type::NEGATIVE_INTEGER)
        return static_cast<double>(object.via.i64);
    if (object.type != msgpack::type::FLOAT32 && object.type != msgpack::type::FLOAT64)
        throw msgpack::type_error();
    if (!std::isfinite(object.via.f64))
        throw msgpack::type_error();
    return object.via.f64;
}

Duration durationOf(const msgpack::object &object)
{
    constexpr std::uint64_t longest = std::uint64_t{86400} * 1000 * 1000;
    return Duration(static_cast<Duration::rep>(std::min(numberOf(object), longest)));
}

template <typename Id>
Id nameOf(const msgpack::object &object)
{
    return Id(std::string(textOf(object)));
}

template <typename Visit>
void visitMap(const msgpack::object &object, Visit visit)
{
    if (object.type != msgpack::type::MAP)
        throw msgpack::type_error();
    const auto &map = object.via.map;
    for (std::uint32_t index = 0; index < map.size; ++index)
        visit(textOf(map.ptr[index].key), map.ptr[index].val);
}

Document documentOf(const msgpack::object &object)
{
    Document document;
    visitMap(object, [&](std::string_view key, const msgpack::object &value) {
        if (key == "id")
            document.id = nameOf<DocumentId>(value);
        else if (key == "score")
            document.score = scoreOf(value);
        else if (key == "body")
            document.body = textOf(value);
    });
    return document;
}

std::vector<Document> documentsOf(const msgpack::object &object)
{
    if (object.type != msgpack::type::ARRAY)
        throw msgpack::type_error();
    std::vector<Document> documents;
    documents.reserve(object.via.array.size);
    for (std::uint32_t index = 0; index < object.via.array.size; ++index)
        documents.push_back(documentOf(object.via.array.ptr[index]));
    return documents;
}

Urgency urgencyOf(const msgpack::object &object)
{
    return urgencyNamed(textOf(object)).value_or(Urgency::Normal);
}

ReplyKind replyKindOf(const msgpack::object &object)
{
    const auto kind = replyKindNamed(textOf(object));
    if (!kind)
        throw msgpack::type_error();
    return *kind;
}

void readRequestField(SubRequest &request, std::string_view key, const msgpack::object &value)
{
    if (key == "id")
        request.id = SubRequestId(numberOf(value));
    else if (key == "caller")
        request.caller = nameOf<CallerId>(value);
    else if (key == "request")
        request.request = nameOf<RequestId>(value);
    else if (key == "service")
        request.service = nameOf<ServiceId>(value);
    else if (key == "shard")
        request.shard = nameOf<ShardId>(value);
    else if (key == "snapshot")
        request.snapshot = SnapshotId(numberOf(value));
    else if (key == "timeLeftUs")
        request.timeLeft = durationOf(value);
    else if (key == "urgency")
        request.urgency = urgencyOf(value);
    else if (key == "idempotent")
        request.isIdempotent = flagOf(value);
    else if (key == "limit")
        request.limit = numberOf(value);
    else if (key == "payload")
        request.payload = textOf(value);
}

void readReplyField(SubReply &reply, std::string_view key, const msgpack::object &value)
{
    if (key == "id")
        reply.id = SubRequestId(numberOf(value));
    else if (key == "kind")
        reply.kind = replyKindOf(value);
    else if (key == "shard")
        reply.shard = nameOf<ShardId>(value);
    else if (key == "snapshot")
        reply.snapshot = SnapshotId(numberOf(value));
    else if (key == "load")
        reply.reportedLoad = static_cast<int>(std::min<std::uint64_t>(numberOf(value), 1U << 20));
    else if (key == "documents")
        reply.documents = documentsOf(value);
}

/// Unpacks a whole body and hands each key and value of its map to `visit`.
template <typename Visit>
bool readBody(std::string_view body, Visit visit)
{
    // One zone a thread keeps its memory from body to body.
    thread_local msgpack::zone zone;
    zone.clear();
    try {
        const msgpack::unpack_limit limit(maximumDocuments, maximumKeys, maximumStringBytes,
                                          maximumStringBytes, 0, maximumDepth);
        std::size_t offset = 0;
        const auto root =
            msgpack::unpack(zone, body.data(), body.size(), offset, referToBody, nullptr, limit);
        if (offset != body.size())
            return false;
        visitMap(root, visit);
        return true;
    } catch (const msgpack::unpack_error &) {
        return false;
    } catch (const msgpack::type_error &) {
        return false;
    }
}

} // namespace

void encodeSubRequest(ServerClientId client, const SubRequest &request, std::string &out)
{
    StringSink sink{out};
    Packer packer(sink);
    packer.pack_map(12);
    packText(packer, "client");
    packer.pack_uint64(client.value());
    packText(packer, "id");
    packer.pack_uint64(request.id.value());
    packText(packer, "caller");
    packText(packer, request.caller.text());
    packText(packer, "request");
    packText(packer, request.request.text());
    packText(packer, "service");
    packText(packer, request.service.text());
    packText(packer, "shard");
    packText(packer, request.shard.text());
    packText(packer, "snapshot");
    packer.pack_uint64(request.snapshot.value());
    packText(packer, "timeLeftUs");
    packer.pack_uint64(static_cast<std::uint64_t>(std::max(request.timeLeft, Duration{}).count()));
    packText(packer, "urgency");
    packText(packer, oleander::nameOf(request.urgency));
    packText(packer, "idempotent");
    request.isIdempotent ? packer.pack_true() : packer.pack_false();
    packText(packer, "limit");
    packer.pack_uint64(request.limit);
    packText(packer, "payload");
    packBytes(packer, request.payload);
}

void encodeCancel(ServerClientId client, SubRequestId request, std::string &out)
{
    StringSink sink{out};
    Packer packer(sink);
    packer.pack_map(2);
    packText(packer, "client");
    packer.pack_uint64(client.value());
    packText(packer, "id");
    packer.pack_uint64(request.value());
}

void encodeSubReply(const SubReply &reply, std::string &out)
{
    StringSink sink{out};
    Packer packer(sink);
    packer.pack_map(6);
    packText(packer, "id");
    packer.pack_uint64(reply.id.value());
    packText(packer, "kind");
    packText(packer, oleander::nameOf(reply.kind));
    packText(packer, "shard");
    packText(packer, reply.shard.text());
    packText(packer, "snapshot");
    packer.pack_uint64(reply.snapshot.value());
    packText(packer, "load");
    packer.pack_uint64(static_cast<std::uint64_t>(std::max(reply.reportedLoad, 0)));
    packText(packer, "documents");
    packer.pack_array(static_cast<std::uint32_t>(reply.documents.size()));
    for (const auto &document : reply.documents)
        packDocument(packer, document);
}

std::optional<ReceivedSubRequest> decodeSubRequest(std::string_view body, Reason &reason)
{
    ReceivedSubRequest received;
    const auto visit = [&](std::string_view key, const msgpack::object &value) {
        if (key == "client")
            received.client = ServerClientId(numberOf(value));
        else
            readRequestField(received.request, key, value);
    };
    if (readBody(body, visit))
        return received;
    reason.set(ErrorKind::BadRequest, "sub-request: body is no valid MessagePack map");
    return std::nullopt;
}

std::optional<ReceivedCancel> decodeCancel(std::string_view body, Reason &reason)
{
    ReceivedCancel received;
    const auto visit = [&](std::string_view key, const msgpack::object &value) {
        if (key == "client")
            received.client = ServerClientId(numberOf(value));
        else if (key == "id")
            received.request = SubRequestId(numberOf(value));
    };
    if (readBody(body, visit))
        return received;
    reason.set(ErrorKind::BadRequest, "cancel: body is no valid MessagePack map");
    return std::nullopt;
}

std::optional<SubReply> decodeSubReply(std::string_view body, Reason &reason)
{
    SubReply reply;
    const auto visit = [&](std::string_view key, const msgpack::object &value) {
        readReplyField(reply, key, value);
    };
    if (readBody(body, visit))
        return reply;
    reason.set(ErrorKind::ServerFailed, "sub-reply: body is no valid MessagePack map");
    return std::nullopt;
}

} // namespace oleander
