#pragma once

#include <oleander/core/FleetView.h>
#include <oleander/ports/QueryHandler.h>
#include <oleander/ports/RandomSource.h>
#include <oleander/ports/ServerNetwork.h>
#include <oleander/ports/TimerService.h>

#include <memory>

namespace oleander::bench {

/// The baseline without policy: an entry that sends each shard's sub-request straight to a replica
/// at random, at once, and waits for all of them until the deadline.
///
/// No hedge, no retry, no admission, no cancellation, no memory, one fixed partition map.
/// Connections to a server are opened as needed up to a fixed number; further sub-requests wait in
/// an unbounded queue. Lives on the thread of its ports, which must outlive it.
class UnmanagedEntry final : public QueryHandler
{
public:
    struct Ports
    {
        TimerService &timers;
        ServerNetwork &servers;
        RandomSource &random;
    };

    UnmanagedEntry(Ports ports, PartitionMap map, int connectionsPerServer);
    ~UnmanagedEntry() override;
    UnmanagedEntry(const UnmanagedEntry &) = delete;
    UnmanagedEntry &operator=(const UnmanagedEntry &) = delete;

    QueryTicket submit(Query query, std::function<void(Answer)> done) override;
    void abandon(QueryTicket ticket) override;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace oleander::bench
