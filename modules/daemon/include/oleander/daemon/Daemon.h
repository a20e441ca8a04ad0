#pragma once

#include <oleander/settings/DaemonSettings.h>

#include <memory>

namespace oleander {

/// One process of the query tier: a control thread and a few worker threads.
///
/// The control thread holds the sessions with peers, reads the platform and serves the operators'
/// pages; it publishes views by read-copy-update. Each worker takes callers and coordinates its
/// part of the services. Nothing that a worker owns is touched by another thread: work moves
/// between threads as posted tasks.
///
/// Use: construct, start(), and after a signal beginStop() followed by wait(). See QueryNode and
/// ControlNode for what is decided, and docs/operators.md for how it is run.
class Daemon
{
public:
    explicit Daemon(DaemonSettings settings);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    // Life
    /// Opens the listeners and starts the threads. Fails with a reason when an address is taken.
    bool start(Reason &reason);
    /// Begins a graceful stop: no new work is taken, what runs is finished. Safe from any thread.
    void beginStop();
    /// Waits for the end of a graceful stop.
    void wait();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace oleander
