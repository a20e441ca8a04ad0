#pragma once

#include <atomic>
#include <memory>

namespace oleander {

/// Untyped implementation of RcuValue: a shared pointer protected by read-copy-update (liburcu).
class RcuCell
{
public:
    RcuCell() = default;
    RcuCell(const RcuCell &) = delete;
    RcuCell &operator=(const RcuCell &) = delete;
    /// Waits until replaced values have been reclaimed. No thread may call read() any more.
    ~RcuCell();

    /// Returns the current value, or null if none has been set. Wait-free. Registers the calling
    /// thread with liburcu on the first call and unregisters the thread when it ends.
    [[nodiscard]] std::shared_ptr<const void> read() const;

    /// Replaces the current value. The previous value is released later, either on a thread of
    /// liburcu or by the last reader that holds a reference.
    void replace(std::shared_ptr<const void> value);

private:
    struct Node;
    std::atomic<Node *> m_node = nullptr;
};

} // namespace oleander
