#pragma once

#include <oleander/ports/PeerMessage.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace oleander::gateway {

using oleander::RegistryItem;
using oleander::RegistryPosition;

/// Whether the changes between two positions can be told. False if the registry was restored from a
/// copy between them.
[[nodiscard]] inline bool isSameHistory(const RegistryPosition &left, const RegistryPosition &right)
{
    return left.epoch == right.epoch;
}

/// The position of content at `held` after an answer at `given`: the later one, and `given` if it
/// belongs to another history.
[[nodiscard]] inline RegistryPosition advanced(const RegistryPosition &held,
                                               const RegistryPosition &given)
{
    return isSameHistory(held, given) ? std::max(held, given) : given;
}

/// The positions of the first and the last page of a listing. The content is complete up to the
/// first; of the changes between the two it has those that were made before their page was read.
struct ListedSpan
{
    ListedSpan() = default;
    /// A listing that is of one position.
    ListedSpan(RegistryPosition position)
        : ListedSpan(position, position)
    {
    }
    ListedSpan(RegistryPosition firstPage, RegistryPosition lastPage)
        : first(firstPage)
        , last(lastPage)
    {
    }

    RegistryPosition first;
    RegistryPosition last;
};

enum class RegistryError {
    None,
    /// No answer, or the connection failed.
    Unreachable,
    /// The registry answered with an error status.
    Refused,
    /// The requested position is no longer in the history; the whole content must be read again.
    HistoryGone,
    /// The answer could not be parsed.
    Malformed,
    /// The answer is larger than any page of the content, and was not read.
    TooLarge,
};

struct RegistryAnswer
{
    RegistryError error = RegistryError::None;
    std::vector<RegistryItem> items;
    RegistryPosition position;
    /// More items follow after the last one.
    bool isTruncated = false;
    /// The answer came from another instance, which last received an answer from the registry `age`
    /// ago.
    bool isFromPeer = false;
    Duration age{};
};

/// Reads the platform's registry. Only one call may be active at a time; each call completes with
/// exactly one answer within its own timeout.
class RegistryReader
{
public:
    using Callback = std::function<void(RegistryAnswer)>;

    virtual ~RegistryReader() = default;

    /// Lists items whose key begins with `prefix`, ordered by key, starting after `afterKey`.
    virtual void list(const std::string &prefix, const std::string &afterKey, Callback done) = 0;
    /// Returns the changes after `position` as soon as there are any, or an empty list after
    /// `wait`. An answer of another epoch does not tell all of them.
    virtual void watch(const std::string &prefix, RegistryPosition position, Duration wait,
                       Callback done) = 0;
};

} // namespace oleander::gateway
