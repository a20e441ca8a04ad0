#pragma once

#include <oleander/ports/EventLog.h>
#include <oleander/ports/TimerService.h>

#include <cstdint>
#include <memory>

namespace oleander {

/// Limits on the number of written and buffered log lines.
struct LogLimits
{
    /// Average number of lines per second of severity Info, and of higher severities.
    double infoPerSecond = 150;
    double warningsPerSecond = 150;
    /// Size of the output buffer; lines that do not fit into the buffer are dropped.
    std::size_t bufferBytes = std::size_t{256} * 1024;
};

/// Writes events as JSON lines to a file descriptor, usually standard output.
///
/// Lines are buffered and written in batches. Writing never blocks: if the reader of the descriptor
/// is too slow, lines are dropped. Lines that exceed the rate limits are dropped too; Info lines
/// and lines of higher severity have separate limits. Within a second, an event reports the number
/// of dropped lines for each kind of event.
class JsonEventLog final : public EventLog
{
public:
    /// The instance's name is written in each line.
    JsonEventLog(int descriptor, std::string instance, TimerService &timer, LogLimits volume = {});
    ~JsonEventLog() override;
    JsonEventLog(const JsonEventLog &) = delete;
    JsonEventLog &operator=(const JsonEventLog &) = delete;

    using EventLog::record;
    void record(EventId event, const RequestId &request, std::string_view text) override;
    void record(EventId event, const RequestId &request, Fields fields) override;

    /// Returns the number of lines dropped since construction.
    [[nodiscard]] std::uint64_t droppedLineCount() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace oleander
