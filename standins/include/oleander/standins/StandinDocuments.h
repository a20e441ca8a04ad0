#pragma once

#include <oleander/core/SubRequest.h>
#include <oleander/standins/ServerShape.h>

#include <string_view>
#include <vector>

namespace oleander::standins {

/// Document that every shard returns, so that merging has one to remove.
inline constexpr std::string_view sharedDocument = "shared";

/// The documents a server holds for a shard in a snapshot. A document's body begins with
/// "shard@snapshot;", so that a checker can tell an answer from the wrong shard or snapshot; the
/// shared document's body begins with "shared@snapshot;".
std::vector<Document> documentsOf(const ShardId &shard, SnapshotId snapshot,
                                  const ServerShape &shape);

} // namespace oleander::standins
