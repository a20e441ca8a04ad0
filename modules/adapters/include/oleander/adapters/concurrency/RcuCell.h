#pragma once

#include <atomic>
#include <memory>

namespace oleander {

/// The untyped part of Published: a pointer that is read under read-copy-update (liburcu).
class RcuCell
{
public:
    RcuCell() = default;
    RcuCell(const RcuCell &) = delete;
    RcuCell &operator=(const RcuCell &) = delete;
    /// Waits until replaced values are reclaimed. No reader may be left.
    ~RcuCell();

    /// A counted reference to the value in force, null before the first one. Wait-free; registers
    /// the calling thread with liburcu on its first use and takes it off when the thread ends.
    [[nodiscard]] std::shared_ptr<const void> read() const;

    /// Puts a value in force. The former one is released later, on a thread of liburcu, or by the
    /// last reader that holds it.
    void replace(std::shared_ptr<const void> value);

private:
    struct Node;
    std::atomic<Node *> m_node = nullptr;
};

} // namespace oleander
