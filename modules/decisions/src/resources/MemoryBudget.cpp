#include <oleander/decisions/resources/MemoryBudget.h>

#include <algorithm>
#include <numeric>

namespace oleander {

namespace {

/// Share of the machine's memory for what others make the process hold, and for the system's
/// receive buffers. The other half is for the process itself (25 MB at most with 5,200 servers),
/// replies of servers and connections that are not accepted yet.
constexpr std::size_t budgetDivisor = 4;
constexpr std::size_t connectionsDivisor = 4;
constexpr std::size_t repliesDivisor = 8;
constexpr std::size_t backlogDivisor = 8;
/// A caller's connection without its buffers: socket, session and parser.
constexpr std::size_t connectionBytes = std::size_t{2} * 1024;
/// Listeners with a shorter queue drop connections of callers that come at the same time.
constexpr std::size_t smallestBacklog = 64;
constexpr std::size_t largestBacklog = 4096;
/// The largest reply of a server that is accepted, and the limit without a memory limit.
constexpr std::size_t smallestReplies = std::size_t{8} * 1024 * 1024;
constexpr std::size_t largestReplies = std::size_t{24} * 1024 * 1024;
/// Weight of time without progress against age. Clients that stop are closed before those of the
/// same age that still send.
constexpr int idleWeight = 4;
/// The shortest age that counts, so that size decides between connections that have just begun.
constexpr Duration shortestAge = milliseconds(1);

std::size_t part(std::size_t whole, std::size_t sixteenths)
{
    return whole / 16 * sixteenths;
}

double costOf(const HeldConnection &connection)
{
    const Duration time = std::max(connection.age + idleWeight * connection.idle, shortestAge);
    return static_cast<double>(connection.bytes) * inMilliseconds(time);
}

} // namespace

MemoryLimits divideMemory(std::size_t machineBytes)
{
    MemoryLimits limits;
    limits.hard = machineBytes / budgetDivisor;
    limits.soft = part(limits.hard, 12);
    limits.low = part(limits.hard, 10);
    const auto setShare = [&limits](MemoryHolder holder, std::size_t sixteenths) {
        limits.share[static_cast<std::size_t>(holder)] = part(limits.hard, sixteenths);
    };
    setShare(MemoryHolder::UnfinishedRequests, 16);
    // Requests under way, pages and messages of peers are not given up, so that together they must
    // stay below the soft limit.
    setShare(MemoryHolder::RequestsUnderWay, 6);
    setShare(MemoryHolder::ReadAhead, 16);
    setShare(MemoryHolder::Answers, 16);
    setShare(MemoryHolder::Pages, 1);
    setShare(MemoryHolder::PeerMessages, 4);
    limits.connections = std::max<std::size_t>(1, machineBytes / connectionsDivisor
                                                      / (receiveBufferBytes + connectionBytes));
    limits.backlog = std::clamp(machineBytes / backlogDivisor / receiveBufferBytes, smallestBacklog,
                                largestBacklog);
    limits.replies = std::clamp(machineBytes / repliesDivisor, smallestReplies, largestReplies);
    return limits;
}

std::size_t bytesToFree(const MemoryUse &use, const MemoryLimits &limits)
{
    return use.total > limits.soft ? use.total - limits.low : 0;
}

bool mayHold(const MemoryUse &use, const MemoryLimits &limits, MemoryHolder holder,
             std::size_t bytes)
{
    const std::size_t share = limits.share[static_cast<std::size_t>(holder)];
    // Written without sums, which an absurd stated length would overflow.
    return bytes <= limits.hard && use.total <= limits.hard - bytes && bytes <= share
           && use.by(holder) <= share - bytes;
}

std::vector<std::size_t> chooseEvicted(std::span<const HeldConnection> connections,
                                       std::size_t bytes)
{
    std::vector<double> costs;
    costs.reserve(connections.size());
    std::ranges::transform(connections, std::back_inserter(costs), costOf);
    std::vector<std::size_t> order(connections.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::ranges::sort(
        order, [&](std::size_t left, std::size_t right) { return costs[left] > costs[right]; });
    std::size_t freed = 0;
    std::size_t count = 0;
    while (count < order.size() && freed < bytes && connections[order[count]].bytes > 0)
        freed += connections[order[count++]].bytes;
    order.resize(count);
    return order;
}

} // namespace oleander
