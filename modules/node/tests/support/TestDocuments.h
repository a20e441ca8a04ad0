#pragma once

#include <oleander/core/FleetView.h>
#include <oleander/core/Query.h>

namespace oleander::fakes {

/// Number of documents of each fake service. Their keys are "k00" to "k31".
constexpr int documentCount = 32;

/// Documents that a fake server returns for a query in a range of keys: one for each key, ordered
/// by score. The body names the snapshot, the caller and the request.
std::vector<Document> documentsIn(const std::string &firstKey, const std::string &endKey,
                                  SnapshotId snapshot, const CallerId &caller,
                                  const RequestId &request);

/// The key of document `index`.
std::string keyOf(int index);

/// Keeps the first `limit` documents; zero keeps all.
void applyLimit(std::vector<Document> &documents, std::size_t limit);

} // namespace oleander::fakes
