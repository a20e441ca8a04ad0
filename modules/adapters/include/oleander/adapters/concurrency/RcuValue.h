#pragma once

#include <oleander/adapters/concurrency/RcuCell.h>

#include <memory>
#include <utility>

namespace oleander {

/// An immutable value that can be replaced as a whole and that any thread can read without a lock.
///
/// Intended for data that rarely changes and is read for each query: configuration, membership,
/// partition maps. Readers get a shared pointer, so they may keep the value during an asynchronous
/// wait; the read-side critical section only covers the copy of that pointer.
///
/// Several threads may publish values; the last published value remains.
template <typename T>
class RcuValue
{
public:
    RcuValue() = default;
    explicit RcuValue(std::shared_ptr<const T> value) { publish(std::move(value)); }

    /// Returns the current value, or null if none has been published.
    [[nodiscard]] std::shared_ptr<const T> read() const
    {
        return std::static_pointer_cast<const T>(m_cell.read());
    }

    /// Replaces the current value; each later read() returns the new value.
    void publish(std::shared_ptr<const T> value) { m_cell.replace(std::move(value)); }

private:
    RcuCell m_cell;
};

} // namespace oleander
