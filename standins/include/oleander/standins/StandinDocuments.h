#pragma once

#include <oleander/core/SubRequest.h>
#include <oleander/standins/ServerShape.h>

#include <string>
#include <string_view>
#include <vector>

namespace oleander::standins {

/// Document that every shard returns, so that merging has one to remove.
inline constexpr std::string_view sharedDocument = "shared";

/// Bytes of the payload that a document repeats.
inline constexpr std::size_t repeatedPayloadBytes = 32;

/// How the body of every document of a shard begins: "shard@snapshot;payload;", with as much of the
/// payload as repeatedPayloadBytes. A checker tells by it an answer from the wrong shard, of
/// another snapshot or to another query. The shared document has its own name in the shard's place.
std::string documentPrefix(std::string_view shard, SnapshotId snapshot, std::string_view payload);

/// The documents a server returns for a query's payload on a shard of a snapshot.
std::vector<Document> documentsOf(const ShardId &shard, SnapshotId snapshot,
                                  std::string_view payload, const ServerShape &shape);

} // namespace oleander::standins
