#pragma once

#include <oleander/core/Ids.h>
#include <oleander/core/Units.h>

#include <functional>
#include <string>

namespace oleander {

enum class PlatformStatus {
    /// The value is in the result.
    Ok,
    /// A watch ended without a newer value.
    NotChanged,
    NotFound,
    /// No answer, or an answer that is no valid one.
    Unreachable,
};

struct PlatformValue
{
    PlatformStatus status = PlatformStatus::Unreachable;
    SectionVersion version;
    std::string body;
};

using PlatformCallback = std::function<void(PlatformValue)>;

/// The platform's configuration service, which can only be read and watched. What it returns may
/// be older than what it returned before. Each call counts against the platform's limit.
class PlatformReader
{
public:
    virtual ~PlatformReader() = default;

    /// Reads a key. The callback is called exactly once, never inside read().
    virtual void read(const std::string &key, PlatformCallback callback) = 0;
    /// Waits up to `wait` for a version above `after`.
    virtual void watch(const std::string &key, SectionVersion after, Duration wait,
                       PlatformCallback callback) = 0;
};

} // namespace oleander
