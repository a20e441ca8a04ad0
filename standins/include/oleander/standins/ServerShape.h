#pragma once

#include <oleander/core/Units.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace oleander::standins {

/// What a server says about its load.
enum class LoadReport {
    /// Requests running and waiting.
    Honest,
    /// Always zero.
    Zero,
    /// The honest value of some time ago, see ServerShape::reportLag.
    Lagging,
};

/// Wire names: "honest", "zero", "lagging".
std::optional<LoadReport> loadReportNamed(std::string_view name);

/// How a stand-in server behaves when nothing is wrong with it.
struct ServerShape
{
    /// Mean service time; the distribution is half constant and half exponential.
    Duration serviceTime = milliseconds(5);
    /// Requests that take stragglerFactor times longer.
    PerMille stragglerShare{};
    int stragglerFactor = 10;
    /// Requests that wait for a slot; more are shed.
    std::size_t queueLimit = 64;
    /// Time before a new connection's first request is read.
    Duration connectionCost{};
    /// One-way delay, added to each request and each reply.
    Duration networkDelay{};
    /// After a revival the server is slower by coldFactor for this long.
    Duration coldTime{};
    int coldFactor = 4;
    LoadReport loadReport = LoadReport::Honest;
    Duration reportLag = milliseconds(1000);
    int documentsPerShard = 3;
    std::size_t documentBytes = 64;
    std::uint64_t seed = 1;
};

/// What is wrong with a server at the moment.
struct ServerFaults
{
    bool isDraining = false;
    bool isShedding = false;
    /// Answers from another snapshot than asked, and says so.
    bool answersOtherSnapshot = false;
    /// Service time in percent of the usual.
    int slowPercent = 100;
    /// Snapshots outside this range are answered WrongSnapshot.
    std::uint64_t oldestSnapshot = 0;
    std::uint64_t newestSnapshot = UINT64_MAX;
};

/// What a server did and saw since its start.
struct ServerCounts
{
    std::uint64_t received = 0;
    std::uint64_t executed = 0;
    std::uint64_t shed = 0;
    std::uint64_t drainRefusals = 0;
    std::uint64_t wrongSnapshot = 0;
    std::uint64_t expired = 0;
    std::uint64_t cancelCalls = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t crashes = 0;
    /// Time from the start of draining to the last request received.
    Duration lastDrainArrival{};
};

} // namespace oleander::standins
