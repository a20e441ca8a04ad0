#include "peers/PackedRegistryChanges.h"

#include "peers/MessagePackReader.h"
#include "peers/MessagePackWriter.h"

#include <oleander/adapters/peers/PeerCodec.h>

#include <xxhash.h>

#include <memory>
#include <zstd.h>

namespace oleander {

namespace {

constexpr std::size_t minimumBytes = 2048;
constexpr int compressionLevel = 3;

struct HashDeleter
{
    void operator()(XXH3_state_t *state) const { XXH3_freeState(state); }
};

std::uint64_t digestOf(const std::vector<RegistryItem> &items)
{
    const std::unique_ptr<XXH3_state_t, HashDeleter> state(XXH3_createState());
    XXH3_64bits_reset(state.get());
    const auto add = [&state](const std::string &text) {
        const std::size_t size = text.size();
        XXH3_64bits_update(state.get(), &size, sizeof size);
        XXH3_64bits_update(state.get(), text.data(), size);
    };
    for (const RegistryItem &item : items) {
        add(item.key);
        add(item.value);
        XXH3_64bits_update(state.get(), &item.isRemoved, sizeof item.isRemoved);
    }
    return XXH3_64bits_digest(state.get());
}

std::string compress(const std::vector<RegistryItem> &items)
{
    msgpack::sbuffer buffer;
    MessagePackWriter(buffer).write(items);
    std::string result(ZSTD_compressBound(buffer.size()), '\0');
    const std::size_t size =
        ZSTD_compress(result.data(), result.size(), buffer.data(), buffer.size(), compressionLevel);
    // The destination has the size that the library asks for, so that this can not fail.
    result.resize(ZSTD_isError(size) != 0U ? 0 : size);
    return result;
}

} // namespace

bool isWorthPacking(const RegistryChanges &changes)
{
    std::size_t bytes = 0;
    for (const RegistryItem &item : changes.items)
        bytes += item.key.size() + item.value.size();
    return bytes >= minimumBytes;
}

PackedRegistryChanges pack(const RegistryChanges &changes)
{
    struct Last
    {
        std::uint64_t digest = 0;
        std::string items;
    };
    thread_local Last last;
    const std::uint64_t digest = digestOf(changes.items);
    if (last.items.empty() || last.digest != digest)
        last = {digest, compress(changes.items)};
    return {changes.isKnown, last.items, changes.position, changes.age};
}

std::optional<RegistryChanges> unpack(PackedRegistryChanges packed, Reason &reason)
{
    const auto stated = ZSTD_getFrameContentSize(packed.items.data(), packed.items.size());
    if (stated == ZSTD_CONTENTSIZE_ERROR || stated == ZSTD_CONTENTSIZE_UNKNOWN
        || stated > maximumPeerMessageBytes) {
        reason.set(ErrorKind::BadRequest, "packed items are malformed or too large");
        return std::nullopt;
    }
    std::string bytes(stated, '\0');
    const std::size_t size =
        ZSTD_decompress(bytes.data(), bytes.size(), packed.items.data(), packed.items.size());
    if (ZSTD_isError(size) != 0U || size != bytes.size()) {
        reason.set(ErrorKind::BadRequest, "packed items can not be decompressed");
        return std::nullopt;
    }
    RegistryChanges changes;
    MessagePackReader reader;
    try {
        const msgpack::object_handle memory =
            msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, peerMessageLimits());
        reader.read(memory.get(), changes.items);
    } catch (const msgpack::unpack_error &error) {
        reader.fail(error.what());
    }
    if (!reader.isGood()) {
        reason.set(ErrorKind::BadRequest, "packed items, " + reader.fault());
        return std::nullopt;
    }
    changes.isKnown = packed.isKnown;
    changes.position = packed.position;
    changes.age = packed.age;
    return changes;
}

} // namespace oleander
