#pragma once

#include <oleander/core/Reason.h>
#include <oleander/ports/PeerMessage.h>

#include <cstdint>
#include <optional>
#include <string>

namespace oleander {

/// RegistryChanges as sent when they are long: the items compressed.
struct PackedRegistryChanges
{
    bool isKnown = true;
    /// The items as MessagePack, compressed with Zstandard.
    std::string items;
    RegistryPosition position;
    Duration age{};
};

/// True if compressing the items is worth the time.
bool isWorthPacking(const RegistryChanges &changes);

/// Compresses the items. The result of the last call is kept, since an instance that reads the
/// registry sends the same items to many others.
PackedRegistryChanges pack(const RegistryChanges &changes);

/// Fails with a reason if the items are malformed or too large.
std::optional<RegistryChanges> unpack(PackedRegistryChanges packed, Reason &reason);

} // namespace oleander
