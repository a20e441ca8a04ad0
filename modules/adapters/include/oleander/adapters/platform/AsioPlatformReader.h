#pragma once

#include <oleander/ports/PlatformReader.h>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace oleander {

/// Bounds on one call to the configuration service.
struct PlatformReaderLimits
{
    Duration connectTimeout = seconds(1);
    /// Longest time from the sent request to the whole answer; a watch adds its own wait.
    Duration answerTimeout = seconds(2);
    /// Largest value in bytes; the service publishes at most a megabyte.
    std::size_t maximumBodyBytes = std::size_t{1024} * 1024;
};

/// PlatformReader over HTTP/1.1, for the calls of docs/design/published-formats.md.
///
/// Each call opens a connection of its own: calls are few, and a connection that went silent can
/// spoil one call only. Addresses ("ip:port") are tried in turn, beginning with the one that
/// answered last; a call ends as Unreachable when none has answered. Belongs to the thread that
/// runs the context. Calls that are under way when the reader is destroyed report nothing.
class AsioPlatformReader final : public PlatformReader
{
public:
    AsioPlatformReader(boost::asio::io_context &context, std::vector<std::string> addresses,
                       PlatformReaderLimits limits);
    ~AsioPlatformReader() override;
    AsioPlatformReader(const AsioPlatformReader &) = delete;
    AsioPlatformReader &operator=(const AsioPlatformReader &) = delete;

    void read(const std::string &key, PlatformCallback callback) override;
    void watch(const std::string &key, SectionVersion after, Duration wait,
               PlatformCallback callback) override;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace oleander
