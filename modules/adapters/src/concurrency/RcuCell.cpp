#include <oleander/adapters/concurrency/RcuCell.h>

#include <urcu/urcu-memb.h>

#include <utility>

#if defined(__SANITIZE_THREAD__)
#include <sanitizer/tsan_interface.h>
#endif

namespace oleander {

namespace {

/// Registers the calling thread with liburcu until the thread ends.
class RcuRegistration
{
public:
    RcuRegistration() { urcu_memb_register_thread(); }
    RcuRegistration(const RcuRegistration &) = delete;
    RcuRegistration &operator=(const RcuRegistration &) = delete;
    ~RcuRegistration() { urcu_memb_unregister_thread(); }
};

class RcuReadLock
{
public:
    RcuReadLock()
    {
        thread_local const RcuRegistration registration;
        urcu_memb_read_lock();
    }
    RcuReadLock(const RcuReadLock &) = delete;
    RcuReadLock &operator=(const RcuReadLock &) = delete;
    ~RcuReadLock() { urcu_memb_read_unlock(); }
};

// ThreadSanitizer does not know that a grace period of liburcu orders reads before reclamation;
// these annotations tell it.
void annotateReadEnd([[maybe_unused]] void *node)
{
#if defined(__SANITIZE_THREAD__)
    __tsan_release(node);
#endif
}

void annotateReclamation([[maybe_unused]] void *node)
{
#if defined(__SANITIZE_THREAD__)
    __tsan_acquire(node);
#endif
}

} // namespace

struct RcuCell::Node : rcu_head
{
    std::shared_ptr<const void> value;

    static void reclaim(rcu_head *head)
    {
        auto *node = static_cast<Node *>(head);
        annotateReclamation(node);
        delete node;
    }
};

RcuCell::~RcuCell()
{
    replace(nullptr);
    urcu_memb_barrier();
}

std::shared_ptr<const void> RcuCell::read() const
{
    const RcuReadLock section;
    Node *const node = m_node.load(std::memory_order_acquire);
    if (!node)
        return nullptr;
    std::shared_ptr<const void> value = node->value;
    annotateReadEnd(node);
    return value;
}

void RcuCell::replace(std::shared_ptr<const void> value)
{
    Node *next = nullptr;
    if (value) {
        next = new Node;
        next->value = std::move(value);
    }
    Node *const former = m_node.exchange(next, std::memory_order_acq_rel);
    if (former)
        urcu_memb_call_rcu(former, &Node::reclaim);
}

} // namespace oleander
