#pragma once

#include <oleander/adapters/concurrency/RcuCell.h>

#include <memory>
#include <utility>

namespace oleander {

/// A value that one thread replaces whole and any thread reads without a lock.
///
/// For what changes seldom and is read with each query: configuration, membership, partition maps.
/// A reader holds a counted reference, so it may keep the value over an asynchronous wait; the
/// read-side critical section spans only the copy of that reference.
///
/// Several threads may write; the value that stays is that of whoever came last.
template <typename T>
class Published
{
public:
    Published() = default;
    explicit Published(std::shared_ptr<const T> value) { publish(std::move(value)); }

    /// The value in force; null before the first one.
    [[nodiscard]] std::shared_ptr<const T> read() const
    {
        return std::static_pointer_cast<const T>(m_cell.read());
    }

    /// Puts a value in force for every later read().
    void publish(std::shared_ptr<const T> value) { m_cell.replace(std::move(value)); }

private:
    RcuCell m_cell;
};

} // namespace oleander
