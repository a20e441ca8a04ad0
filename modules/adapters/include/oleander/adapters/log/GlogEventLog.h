#pragma once

#include <oleander/ports/EventLog.h>

#include <cstdint>
#include <memory>

namespace oleander {

/// Writes events through glog, formatted by eventLine() and with the severity that eventInfo()
/// gives.
///
/// record() may be called from any thread and takes no lock. Since glog holds a mutex while it
/// writes, record() adds the line to a bounded queue, and a separate thread writes the queued
/// lines. If the queue is full, the line is dropped and counted; the number of dropped lines is
/// logged after the next written lines. The destructor writes all queued lines.
///
/// The program must call google::InitGoogleLogging() before the first event is recorded.
class GlogEventLog : public EventLog
{
public:
    GlogEventLog();
    ~GlogEventLog() override;
    GlogEventLog(const GlogEventLog &) = delete;
    GlogEventLog &operator=(const GlogEventLog &) = delete;

    using EventLog::record;
    void record(EventId event, const RequestId &request, std::string_view text) override;

    /// Returns the number of lines dropped because the queue was full, since construction.
    [[nodiscard]] std::uint64_t droppedLines() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace oleander
