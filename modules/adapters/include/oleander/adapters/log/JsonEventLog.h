#pragma once

#include <oleander/ports/EventLog.h>
#include <oleander/ports/TimerService.h>

#include <cstdint>
#include <memory>

namespace oleander {

/// How many lines are written.
struct LogVolume
{
    /// Lines a second of severity Info, and of those above it, each on average.
    double infoPerSecond = 150;
    double warningsPerSecond = 150;
    /// Bytes that wait for a reader of the log; lines that find no room are left out.
    std::size_t bufferBytes = std::size_t{256} * 1024;
};

/// Writes events as JSON lines to a file descriptor, usually standard output.
///
/// Lines are collected and written together. The descriptor is never waited for: when its reader
/// does not keep up, lines are left out. So are lines beyond the volume, information before
/// warnings; an event with the number of lines left out, by event, follows within a second.
class JsonEventLog final : public EventLog
{
public:
    /// The instance's name stands in each line.
    JsonEventLog(int descriptor, std::string instance, TimerService &timer, LogVolume volume = {});
    ~JsonEventLog() override;
    JsonEventLog(const JsonEventLog &) = delete;
    JsonEventLog &operator=(const JsonEventLog &) = delete;

    using EventLog::record;
    void record(EventId event, const RequestId &request, std::string_view text) override;
    void record(EventId event, const RequestId &request, Fields fields) override;

    /// Lines left out since the start.
    [[nodiscard]] std::uint64_t leftOut() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace oleander
