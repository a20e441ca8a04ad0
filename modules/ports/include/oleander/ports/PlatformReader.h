#pragma once

#include <oleander/core/Ids.h>
#include <oleander/core/Units.h>

#include <functional>
#include <string>

namespace oleander {

enum class PlatformStatus {
    /// The result contains the value.
    Ok,
    /// A watch timed out without a newer value.
    NotChanged,
    NotFound,
    /// No answer, or an invalid one.
    Unreachable,
};

struct PlatformValue
{
    PlatformStatus status = PlatformStatus::Unreachable;
    SectionVersion version;
    std::string body;
};

using PlatformCallback = std::function<void(PlatformValue)>;

/// Read-only client of the platform's configuration service. The service is not consistent: it may
/// return an older value than before. Each call counts against the platform's rate limit.
class PlatformReader
{
public:
    virtual ~PlatformReader() = default;

    /// Reads a key. The callback is called exactly once, never from within read().
    virtual void read(const std::string &key, PlatformCallback callback) = 0;
    /// Waits up to `wait` for a version higher than `after`.
    virtual void watch(const std::string &key, SectionVersion after, Duration wait,
                       PlatformCallback callback) = 0;
};

} // namespace oleander
