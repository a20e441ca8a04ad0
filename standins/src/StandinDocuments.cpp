#include <oleander/standins/StandinDocuments.h>

namespace oleander::standins {

namespace {

constexpr double sharedScore = 0.5;

std::string bodyOf(std::string_view name, SnapshotId snapshot, std::size_t bytes)
{
    std::string body(name);
    body += '@';
    body += std::to_string(snapshot.value());
    body += ';';
    if (body.size() < bytes)
        body.resize(bytes, 'x');
    return body;
}

} // namespace

std::vector<Document> documentsOf(const ShardId &shard, SnapshotId snapshot,
                                  const ServerShape &shape)
{
    std::vector<Document> documents;
    documents.reserve(static_cast<std::size_t>(shape.documentsPerShard) + 1);
    const auto body = bodyOf(shard.text(), snapshot, shape.documentBytes);
    for (int number = 0; number < shape.documentsPerShard; ++number) {
        const auto id = shard.text() + '-' + std::to_string(number);
        documents.push_back({DocumentId(id), 1.0 / (number + 1), body});
    }
    documents.push_back({DocumentId(std::string(sharedDocument)), sharedScore,
                         bodyOf(sharedDocument, snapshot, shape.documentBytes)});
    return documents;
}

} // namespace oleander::standins
