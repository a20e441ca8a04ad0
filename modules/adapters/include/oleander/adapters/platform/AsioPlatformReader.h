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

/// Limits for one call to the configuration service.
struct PlatformReaderLimits
{
    Duration connectTimeout = seconds(1);
    /// Time limit from sending the request to receiving the complete response; a watch adds its own
    /// wait time.
    Duration responseTimeout = seconds(2);
    /// Maximum size of a value in bytes; the service publishes at most a megabyte.
    std::size_t maximumBodyBytes = std::size_t{1024} * 1024;
};

/// PlatformReader over HTTP/1.1. The calls are described in docs/design/published-formats.md.
///
/// Each call opens its own connection: calls are rare, and a connection that stops responding then
/// affects only one call. Addresses ("ip:port") are tried in turn, starting with the last one that
/// responded; a call ends as Unreachable if none responds. All functions must be called on the
/// thread that runs the context. Calls still in progress when the reader is destroyed do not run
/// their callbacks.
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
