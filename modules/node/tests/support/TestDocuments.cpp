#include "TestDocuments.h"

#include <algorithm>

namespace oleander::fakes {

std::string keyOf(int index)
{
    return std::string("k") + static_cast<char>('0' + index / 10)
           + static_cast<char>('0' + index % 10);
}

std::vector<Document> documentsIn(const std::string &firstKey, const std::string &endKey,
                                  SnapshotId snapshot, const CallerId &caller,
                                  const RequestId &request)
{
    const std::string body =
        std::to_string(snapshot.value()) + "|" + caller.text() + "|" + request.text();
    std::vector<Document> found;
    for (int index = 0; index < documentCount; ++index) {
        const std::string key = keyOf(index);
        if (key >= firstKey && (endKey.empty() || key < endKey))
            found.push_back({DocumentId(key), static_cast<double>(index * 7 % 16), body});
    }
    std::ranges::sort(found, [](const Document &left, const Document &right) {
        if (left.score != right.score)
            return left.score > right.score;
        return left.id < right.id;
    });
    return found;
}

void applyLimit(std::vector<Document> &documents, std::size_t limit)
{
    if (limit > 0 && documents.size() > limit)
        documents.resize(limit);
}

} // namespace oleander::fakes
