#pragma once

#include <oleander/ports/EventLog.h>

#include <cstdint>
#include <memory>

namespace oleander {

/// Writes events through glog, each as eventLine() and with the severity of the event's row.
///
/// record() may be called from any thread and takes no lock: it puts the line into a bounded queue
/// that a thread of the log empties, since glog writes under a mutex. When the queue is full the
/// line is dropped and counted, and the number of dropped lines is logged with the next one that
/// gets through. The destructor writes what is queued.
///
/// The program calls google::InitGoogleLogging() itself, before the first line.
class GlogEventLog : public EventLog
{
public:
    GlogEventLog();
    ~GlogEventLog() override;
    GlogEventLog(const GlogEventLog &) = delete;
    GlogEventLog &operator=(const GlogEventLog &) = delete;

    using EventLog::record;
    void record(EventId event, const RequestId &request, std::string_view text) override;

    /// Lines that found the queue full, since the start.
    [[nodiscard]] std::uint64_t droppedLines() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace oleander
