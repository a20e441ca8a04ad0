#include <oleander/standins/StandinDocuments.h>

namespace oleander::standins {

namespace {

constexpr double sharedScore = 0.5;

std::string padded(std::string body, std::size_t bytes)
{
    if (body.size() < bytes)
        body.resize(bytes, 'x');
    return body;
}

} // namespace

std::string documentPrefix(std::string_view shard, SnapshotId snapshot, std::string_view payload)
{
    std::string prefix(shard);
    prefix += '@';
    prefix += std::to_string(snapshot.value());
    prefix += ';';
    prefix += payload.substr(0, repeatedPayloadBytes);
    prefix += ';';
    return prefix;
}

std::vector<Document> documentsOf(const ShardId &shard, SnapshotId snapshot,
                                  std::string_view payload, const ServerShape &shape)
{
    std::vector<Document> documents;
    documents.reserve(static_cast<std::size_t>(shape.documentsPerShard) + 1);
    const auto body = padded(documentPrefix(shard.text(), snapshot, payload), shape.documentBytes);
    for (int number = 0; number < shape.documentsPerShard; ++number) {
        const auto id = shard.text() + '-' + std::to_string(number);
        documents.push_back({DocumentId(id), 1.0 / (number + 1), body});
    }
    const auto shared = documentPrefix(sharedDocument, snapshot, payload);
    documents.push_back({DocumentId(std::string(sharedDocument)), sharedScore,
                         padded(shared, shape.documentBytes)});
    return documents;
}

} // namespace oleander::standins
