#pragma once

#include <oleander/core/SubRequest.h>

#include <array>
#include <cstdint>
#include <mutex>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace oleander::standins {

/// What all servers of a process executed, for checkers: which requests ran at all, and which
/// non-idempotent ones ran twice. Safe to use from several threads. It grows with the number of
/// requests, so it suits runs of bounded length only.
class ExecutionLedger
{
public:
    /// Called when a server begins to execute.
    void record(const SubRequest &request);

    /// Whether any part of the request ran on any server.
    [[nodiscard]] bool hasRun(const CallerId &caller, const RequestId &request);
    /// Executions of a non-idempotent request's shard beyond the first.
    [[nodiscard]] std::uint64_t doubledRuns();
    [[nodiscard]] std::uint64_t executions();

private:
    struct Part
    {
        std::mutex mutex;
        std::unordered_set<std::uint64_t> requests;
        std::unordered_map<std::string, std::uint32_t> runs;
        std::uint64_t executions = 0;
        std::uint64_t doubledRuns = 0;
    };
    static constexpr std::size_t partCount = 16;

    Part &partOf(std::uint64_t hash) { return m_parts[hash % partCount]; }

    std::array<Part, partCount> m_parts;
};

} // namespace oleander::standins
