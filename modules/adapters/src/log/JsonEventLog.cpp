#include <oleander/adapters/log/JsonEventLog.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cerrno>
#include <fcntl.h>
#include <map>
#include <unistd.h>
#include <utility>

namespace oleander {

namespace {

using nlohmann::ordered_json;

constexpr Duration flushPeriod = milliseconds(100);
constexpr Duration reportPeriod = seconds(1);
/// Burst size of the rate limits, in seconds at the average rate.
constexpr double burstSeconds = 2.0;
/// Maximum length in bytes of texts from callers and servers; longer texts are truncated.
constexpr std::size_t maximumTextBytes = 300;

struct LineRateLimiter
{
    double perSecond = 0;
    double credit = 0;
    TimePoint refilled{};

    bool take(TimePoint now)
    {
        const double passed = inMilliseconds(now - refilled) / 1000.0;
        credit = std::min(credit + passed * perSecond, burstSeconds * perSecond);
        refilled = now;
        if (credit < 1.0)
            return false;
        credit -= 1.0;
        return true;
    }
};

ordered_json jsonOf(const EventField::Value &value)
{
    return std::visit(
        [](const auto &held) -> ordered_json {
            if constexpr (std::is_same_v<std::decay_t<decltype(held)>, std::string_view>)
                return std::string(held.substr(0, maximumTextBytes));
            else
                return held;
        },
        value);
}

} // namespace

class JsonEventLog::Impl
{
public:
    Impl(int descriptor, std::string instance, TimerService &timer, LogLimits volume)
        : m_descriptor(descriptor)
        , m_instance(std::move(instance))
        , m_timer(timer)
        , m_limits(volume)
        , m_info{volume.infoPerSecond, burstSeconds * volume.infoPerSecond, timer.now()}
        , m_warnings{volume.warningsPerSecond, burstSeconds * volume.warningsPerSecond, timer.now()}
        , m_report(
              timer.callEvery(reportPeriod, [this](const TimerTick &) { reportDroppedLines(); }))
    {
        // Non-blocking, so that a reader that stops reading does not block the process.
        const int flags = ::fcntl(m_descriptor, F_GETFL);
        if (flags >= 0)
            ::fcntl(m_descriptor, F_SETFL, flags | O_NONBLOCK);
    }

    ~Impl() { flush(); }

    void record(EventId event, const RequestId &request, Fields fields)
    {
        const EventInfo &info = eventInfo(event);
        const bool isInfo = info.severity == EventSeverity::Info;
        if (!(isInfo ? m_info : m_warnings).take(m_timer.now())) {
            dropLine(event);
            return;
        }
        write(event, info, request, fields);
    }

    [[nodiscard]] std::uint64_t droppedLineCount() const { return m_droppedLineCount; }

private:
    void write(EventId event, const EventInfo &info, const RequestId &request, Fields fields)
    {
        ordered_json line;
        line["timeMs"] = m_timer.wallNow().time_since_epoch().count() / 1000;
        line["instance"] = m_instance;
        line["event"] = static_cast<int>(event);
        line["name"] = std::string(info.name);
        if (!request.isEmpty())
            line["request"] = request.text().substr(0, maximumTextBytes);
        for (const EventField &field : fields)
            line[std::string(field.name)] = jsonOf(field.value);
        // Invalid UTF-8 is replaced, since ids may contain data sent by a caller.
        std::string text = line.dump(-1, ' ', true, ordered_json::error_handler_t::replace);
        if (m_buffer.size() + text.size() + 1 > m_limits.bufferBytes) {
            dropLine(event);
            return;
        }
        m_buffer += text;
        m_buffer += '\n';
        if (!m_isFlushSet) {
            m_isFlushSet = true;
            m_flush = m_timer.callAfter(flushPeriod, [this](const TimerTick &) {
                m_isFlushSet = false;
                flush();
            });
        }
    }

    void dropLine(EventId event)
    {
        ++m_droppedLineCount;
        ++m_droppedByEvent[event];
    }

    void reportDroppedLines()
    {
        for (const auto &[event, count] : std::exchange(m_droppedByEvent, {})) {
            write(EventId::LinesDropped, eventInfo(EventId::LinesDropped), {},
                  {{"leftOutEvent", static_cast<int>(event)}, {"count", count}});
        }
        if (!m_buffer.empty())
            flush();
    }

    void flush()
    {
        std::size_t done = 0;
        while (done < m_buffer.size()) {
            const auto written =
                ::write(m_descriptor, m_buffer.data() + done, m_buffer.size() - done);
            if (written < 0 && errno == EINTR)
                continue;
            // Unwritten data stays in the buffer until the next flush.
            if (written <= 0)
                break;
            done += static_cast<std::size_t>(written);
        }
        m_buffer.erase(0, done);
    }

    int m_descriptor;
    std::string m_instance;
    TimerService &m_timer;
    LogLimits m_limits;
    LineRateLimiter m_info;
    LineRateLimiter m_warnings;
    std::string m_buffer;
    bool m_isFlushSet = false;
    std::uint64_t m_droppedLineCount = 0;
    std::map<EventId, std::uint64_t> m_droppedByEvent;
    Subscription m_flush;
    Subscription m_report;
};

JsonEventLog::JsonEventLog(int descriptor, std::string instance, TimerService &timer,
                           LogLimits volume)
    : m_impl(std::make_unique<Impl>(descriptor, std::move(instance), timer, volume))
{
}

JsonEventLog::~JsonEventLog() = default;

void JsonEventLog::record(EventId event, const RequestId &request, std::string_view text)
{
    m_impl->record(event, request, {{"text", text}});
}

void JsonEventLog::record(EventId event, const RequestId &request, Fields fields)
{
    m_impl->record(event, request, fields);
}

std::uint64_t JsonEventLog::droppedLineCount() const
{
    return m_impl->droppedLineCount();
}

} // namespace oleander
