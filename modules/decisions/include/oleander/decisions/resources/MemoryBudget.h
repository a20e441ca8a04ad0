#pragma once

#include <oleander/core/Units.h>

#include <array>
#include <cstddef>
#include <span>
#include <vector>

namespace oleander {

/// What holds memory of the process on behalf of the other side of a connection.
enum class MemoryHolder {
    /// Heads and bodies that are being read.
    UnfinishedRequests,
    /// Requests that were read whole and have not been answered, with the copy that is sent on.
    RequestsUnderWay,
    /// Bytes that callers sent behind a request that is under way.
    ReadAhead,
    /// Answers that callers have not read yet.
    Answers,
    /// Bodies on the pages of operators.
    Pages,
    /// Messages of peers that are being read.
    PeerMessages,
};
constexpr std::size_t memoryHolderCount = 6;

/// Bytes held at one moment.
struct MemoryUse
{
    std::array<std::size_t, memoryHolderCount> held{};
    std::size_t total = 0;

    [[nodiscard]] std::size_t by(MemoryHolder holder) const
    {
        return held[static_cast<std::size_t>(holder)];
    }
};

/// How the memory of a machine is divided.
struct MemoryLimits
{
    /// Above this connections are closed, until `low` is reached.
    std::size_t soft = 0;
    std::size_t low = 0;
    /// Above this no further body begins.
    std::size_t hard = 0;
    /// Limit of each holder.
    std::array<std::size_t, memoryHolderCount> share{};
    /// Connections of callers, each of which may fill a receive buffer of the system.
    std::size_t connections = 0;
    /// Connections that the system queues until they are accepted.
    std::size_t backlog = 0;
    /// Bytes of servers' unfinished replies.
    std::size_t replies = 0;
};

/// Receive buffer of the system for one connection of a caller. A machine of 112 MB can hold one
/// for each of the 1,335 connections that 2,870 descriptors allow; a body of 262,144 bytes over
/// 3 ms takes 50 ms with it.
constexpr std::size_t receiveBufferBytes = std::size_t{16} * 1024;

[[nodiscard]] MemoryLimits divideMemory(std::size_t machineBytes);

/// Bytes to be given up by closing connections; 0 while less than the soft limit is held.
[[nodiscard]] std::size_t bytesToFree(const MemoryUse &use, const MemoryLimits &limits);

/// Whether `holder` may hold `bytes` more.
[[nodiscard]] bool mayHold(const MemoryUse &use, const MemoryLimits &limits, MemoryHolder holder,
                           std::size_t bytes);

/// A connection that may be closed to free memory.
struct HeldConnection
{
    std::size_t bytes = 0;
    /// Time since its request or answer began.
    Duration age{};
    /// Time since bytes last moved on it.
    Duration idle{};
};

/// Positions of the connections to close so that `bytes` become free. Large and slow ones are
/// chosen first: those with the most bytes times age, where time without progress counts more.
[[nodiscard]] std::vector<std::size_t> chooseEvicted(std::span<const HeldConnection> connections,
                                                     std::size_t bytes);

} // namespace oleander
