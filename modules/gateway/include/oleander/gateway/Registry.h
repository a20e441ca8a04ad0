#pragma once

#include <oleander/ports/PeerMessage.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace oleander::gateway {

using oleander::RegistryItem;

/// Counts all changes of the registry.
using RegistryRevision = std::uint64_t;

enum class RegistryError {
    None,
    /// No answer, or the connection failed.
    Unreachable,
    /// The registry refused the call for load, or as a whole.
    Refused,
    /// Changes since the asked revision are no longer known; everything is to be read anew.
    HistoryGone,
    /// The answer could not be understood.
    Malformed,
};

struct RegistryAnswer
{
    RegistryError error = RegistryError::None;
    std::vector<RegistryItem> items;
    RegistryRevision revision = 0;
    /// More items follow after the last one.
    bool isTruncated = false;
    /// The answer came from another instance, which had heard from the registry `age` ago.
    bool isShared = false;
    Duration age{};
};

/// Reads the platform's registry. One call at a time; each call ends with exactly one answer,
/// within its own timeout.
class RegistryReader
{
public:
    using Callback = std::function<void(RegistryAnswer)>;

    virtual ~RegistryReader() = default;

    /// Items whose key begins with `prefix`, in order of key, from behind `afterKey`.
    virtual void list(const std::string &prefix, const std::string &afterKey, Callback done) = 0;
    /// Changes after `revision`, as soon as there is one, or none when `wait` has passed.
    virtual void watch(const std::string &prefix, RegistryRevision revision, Duration wait,
                       Callback done) = 0;
};

} // namespace oleander::gateway
