#pragma once

#include <oleander/core/FleetView.h>
#include <oleander/core/Query.h>

namespace oleander::fakes {

/// Keys of the documents that every fake service holds: "k00" to "k31".
constexpr int documentCount = 32;

/// Everything that a fake server returns for one query from a range of keys: a document for each
/// key, in order of score, naming the snapshot and the request that it was found for.
std::vector<Document> documentsIn(const std::string &firstKey, const std::string &endKey,
                                  SnapshotId snapshot, const CallerId &caller,
                                  const RequestId &request);

/// The key of document `index`.
std::string keyOf(int index);

/// Keeps the first `limit` documents; zero keeps all.
void applyLimit(std::vector<Document> &documents, std::size_t limit);

} // namespace oleander::fakes
